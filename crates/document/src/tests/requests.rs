//! Guards against requests that are mapped to the wrong service or key, or wrongly treated as
//! idempotent and so run twice.

use super::examples::{CAVALLUCCI, TROIS_RIVIERES, document};

#[test]
fn services_of_paths() {
    let document = document(CAVALLUCCI);
    let cases = [
        ("/archive", Some("archive")),
        ("/archive/", Some("archive")),
        ("/archive/a1/photo", Some("archive")),
        ("/archives/a1", None),
        ("/workshop/x", Some("workshop")),
        ("/", None),
        ("", None),
        ("//archive/a1", None),
    ];
    for (path, name) in cases {
        let found = document.service_of_path(path).map(|it| &*it.name);
        assert_eq!(found, name, "{path}");
    }
}

#[test]
fn keys() {
    let document = document(CAVALLUCCI);
    let archive = &document.services[0];
    let cases = [
        ("/archive/a1/photo", Some("a1")),
        ("/archive/%61%31/photo", Some("a1")),
        ("/archive/caf%c3%A9", Some("caf%C3%A9")),
        ("/archive/a%2fb", Some("a/b")),
        ("/archive/100%", Some("100%25")),
        ("/archive/100%25", Some("100%25")),
        ("/archive/%zz%é", Some("%25zz%25%C3%A9")),
        ("/archive/%2561", Some("%2561")),
        ("/archive", None),
        ("/archive/", None),
        ("/archive//a1", None),
        ("/archive/..", None),
        ("/archive/%2e%2E", None),
    ];
    for (path, key) in cases {
        assert_eq!(archive.key_of(path, |_| None).as_deref(), key, "{path}");
    }
    let workshop = &document.services[1];
    let header = |name: &str| (name == "x-horse").then_some("bella");
    assert_eq!(
        workshop.key_of("/workshop", header).as_deref(),
        Some("bella")
    );
    assert_eq!(workshop.key_of("/workshop", |_| Some("")), None);
    assert_eq!(workshop.key_of("/workshop/bella", |_| None), None);
}

#[test]
fn idempotent_requests() {
    let document = document(TROIS_RIVIERES);
    let portal = &document.services[0];
    let cases = [
        ("GET", "/portal/k1", true),
        ("HEAD", "/portal/k1", true),
        ("get", "/portal/k1", false),
        ("POST", "/portal/k1", false),
        ("POST", "/portal/search", true),
        ("POST", "/portal/search/", true),
        ("POST", "/portal/search/k1", true),
        ("POST", "/portal/search/caf%C3%A9", true),
        ("POST", "/portal/search/%c0%ae%c0%ae/k1", false),
        ("POST", "/portal/search/%00", false),
        ("POST", "/portal/searches", false),
        ("POST", "/portal/search/../k1", false),
        ("POST", "/portal/search/%2e%2e/k1", false),
        ("POST", "/portal/search/..%2fk1", false),
        ("POST", "/portal/search/..;/k1", false),
        ("POST", "/portal/search//k1", false),
        ("POST", "/portal/search/%252e%252e/k1", false),
        ("POST", "/portal/search/..\\k1", false),
    ];
    for (method, path, expected) in cases {
        assert_eq!(
            portal.is_idempotent(method, path),
            expected,
            "{method} {path}"
        );
    }
}
