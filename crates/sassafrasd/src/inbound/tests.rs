//! Guards against a request head that makes the host panic, that bypasses a check, or whose
//! reserved headers reach a target.

use http::{HeaderName, HeaderValue};
use proptest::{collection::vec, prelude::any, proptest, sample::select};

use super::*;

const DOCUMENT: &str = include_str!("../../../../examples/cavallucci.yaml");

/// Names of headers that the checks read, and some that they do not.
const NAMES: [&str; 14] = [
    "connection",
    "content-length",
    "te",
    "x-a",
    "x-horse",
    "authorization",
    IDEMPOTENCY_KEY,
    DEADLINE,
    HOP,
    CALLER,
    REGION,
    REQUEST_ID,
    "sassafras-epoch",
    "sassafras-refused",
];

fn headers(pairs: &[(&'static str, Vec<u8>)]) -> HeaderMap {
    let mut out = HeaderMap::new();
    for (name, value) in pairs {
        if let Ok(value) = HeaderValue::from_bytes(value) {
            out.append(HeaderName::from_static(name), value);
        }
    }
    out
}

fn one_header(name: &'static str, value: &str) -> HeaderMap {
    headers(&[(name, value.as_bytes().to_vec())])
}

proptest! {
    #[test]
    fn arbitrary_heads(
        pairs in vec((select(&NAMES[..]), vec(any::<u8>(), 0..300)), 0..12),
        words in vec((select(&NAMES[..]), "[a-z0-9, -]{0,20}"), 0..6),
        path in "/(archive|workshop|[a-z]{0,4})/[ -~é%]{0,300}",
    ) {
        let mut pairs = pairs;
        pairs.extend(words.into_iter().map(|(name, text)| (name, text.into_bytes())));
        let headers = headers(&pairs);
        let document = document::parse(DOCUMENT).unwrap();
        for service in &document.services {
            if let Ok(key) = key_of(service, &path, &headers) {
                assert!((1..=KEY_LIMIT_BYTES).contains(&key.len()));
                assert!(key.bytes().all(|it| it.is_ascii_graphic()));
            }
        }
        if let Ok(key) = idempotency_key(&headers) {
            // The key becomes a header and a part of a JSON row.
            assert!((1..=IDEMPOTENCY_KEY_LIMIT_BYTES).contains(&key.len()));
            HeaderValue::from_str(&key).unwrap();
        }
        assert!(remaining_ms(&headers, 2_000).is_ok_and(|it| it <= 2_000)
            || headers.contains_key(DEADLINE));
        caller_of(&headers, ([127, 0, 0, 1], 1).into(), Hop::Second);
        let passed = end_to_end(headers.clone());
        for name in RESERVED_HEADERS.into_iter().chain(["connection", "te", "content-length"]) {
            assert!(!passed.contains_key(name), "{name}");
        }
        for name in headers.keys() {
            let named = headers.get_all(header::CONNECTION).iter().any(|it| {
                it.to_str().is_ok_and(|it| it.contains(name.as_str()))
            });
            if name.as_str().starts_with("x-") && !named {
                assert!(passed.contains_key(name), "{name} is an end-to-end header");
            }
        }
    }
}

#[test]
fn header_size() {
    for (bytes, result) in [
        (HEADER_LIMIT_BYTES, Ok(())),
        (HEADER_LIMIT_BYTES + 1, Err(Reason::HeaderTooLong)),
    ] {
        let headers = headers(&[("x-a", vec![b'a'; bytes])]);
        assert_eq!(check_headers(&headers), result, "{bytes}");
    }
}

#[test]
fn deadlines() {
    for (text, result) in [
        ("0", Ok(0)),
        ("1999", Ok(1_999)),
        ("2001", Ok(2_000)),
        ("18446744073709551615", Ok(2_000)),
        ("18446744073709551616", Err(Reason::DeadlineInvalid)),
        ("-1", Err(Reason::DeadlineInvalid)),
        ("1.5", Err(Reason::DeadlineInvalid)),
        ("", Err(Reason::DeadlineInvalid)),
    ] {
        assert_eq!(
            remaining_ms(&one_header(DEADLINE, text), 2_000),
            result,
            "{text:?}"
        );
    }
}

/// Guards against callers behind one address that use up each other's share of the queue, and
/// against a caller header that is accepted without the hop header.
#[test]
fn callers() {
    let remote = SocketAddr::from(([127, 0, 0, 1], 1));
    let of = |headers: &HeaderMap, hop| caller_of(headers, remote, hop);
    let (a, b) = (
        one_header("authorization", "a"),
        one_header("authorization", "b"),
    );
    assert_ne!(of(&a, Hop::First), of(&b, Hop::First));
    let claimed = one_header(CALLER, "1f");
    assert_eq!(of(&claimed, Hop::Second), 0x1f);
    assert_eq!(of(&claimed, Hop::First), of(&HeaderMap::new(), Hop::First));
}

#[test]
fn connection_headers_are_removed() {
    let headers = headers(&[
        ("connection", b"X-A, close".to_vec()),
        ("x-a", b"1".to_vec()),
        ("x-horse", b"2".to_vec()),
    ]);
    let passed = end_to_end(headers);
    assert!(!passed.contains_key("x-a"));
    assert!(passed.contains_key("x-horse"));
}
