//! Guards against invalid documents that are accepted, and against problems that hide others.

use super::examples::{CAVALLUCCI, document};
use crate::parse;

/// An edit of a valid document and the paths of the problems that it must cause.
struct Case {
    from: &'static str,
    to: &'static str,
    paths: &'static [&'static str],
}

fn check(case: &Case) {
    assert!(CAVALLUCCI.contains(case.from), "{:?}", case.from);
    let text = CAVALLUCCI.replacen(case.from, case.to, 1);
    let problems = parse(&text).err().unwrap_or_default();
    let paths: Vec<_> = problems.iter().map(|it| it.path.as_str()).collect();
    assert_eq!(paths, case.paths, "{:?}: {problems:#?}", case.to);
}

const fn case(from: &'static str, to: &'static str, paths: &'static [&'static str]) -> Case {
    Case { from, to, paths }
}

#[test]
fn field_rules() {
    let first = &["services[0].targets[0].name"];
    let slots = &["services[0].targets[0].slots"];
    let address = &["services[0].targets[0].address"];
    let cases = [
        case("format: 1", "format: 2", &["format"]),
        case("name: cavallucci", "name: \"\"", &["name"]),
        case("name: a01", "name: A01", first),
        case("name: a01", "name: a_01", first),
        case("growth: 0.3", "growth: 1.1", &["balance.growth"]),
        case("hold_s: 7200", "hold_s: 0", &["balance.hold_s"]),
        case("hold_s: 7200", "hold_s: 86401", &["balance.hold_s"]),
        case("mbit_s: 30", "mbit_s: 0", &["places.link.mbit_s"]),
        case(
            "client_ms: 3",
            "client_ms: -1",
            &["places.latency.client_ms"],
        ),
        case("/archive", "archive", &["services[0].prefix"]),
        case("/archive", "/archive/", &["services[0].prefix"]),
        case("/archive", "/..", &["services[0].prefix"]),
        case("x-horse", "\"x horse\"", &["services[1].key.header"]),
        case("x-horse", "Sassafras-Epoch", &["services[1].key.header"]),
        case("x-horse", "Upgrade", &["services[1].key.header"]),
        case("HEAD", "head", &["services[0].idempotent.methods[1]"]),
        case(
            "deadline_ms: 2000",
            "deadline_ms: 9",
            &["services[0].deadline_ms"],
        ),
        case(
            "deadline_ms: 2000",
            "deadline_ms: 600001",
            &["services[0].deadline_ms"],
        ),
        case(
            "body_limit: 1048576",
            "body_limit: 0",
            &["services[0].body_limit"],
        ),
        case(
            "body_limit: 1048576",
            "body_limit: 67108865",
            &["services[0].body_limit"],
        ),
        case("queue: 16", "queue: 10001", &["services[0].queue"]),
        case("slots: 2", "slots: 0", slots),
        case("127.0.0.1:7101", "localhost:7101", address),
        case("127.0.0.1:7101", "127.0.0.1", address),
        case("127.0.0.1:7101", "0.0.0.0:7101", address),
        case(
            "pardons: []",
            "pardons: [\"0123456789ABCDEF\"]",
            &["pardons[0]"],
        ),
        case("pardons: []", "pardons: [\"012345678\"]", &["pardons[0]"]),
        case("queue: 16", "queue: 0", &[]),
        case("pardons: []", "pardons: [\"0123456789abcdef\"]", &[]),
    ];
    cases.iter().for_each(check);
}

#[test]
fn cross_field_rules() {
    let prefix = &["services[1].prefix"];
    let address = &["services[0].targets[1].address"];
    let cases = [
        case("churn: 0.6", "churn: 0.5", &["balance"]),
        case("name: a02", "name: a01", &["services[0].targets[1].name"]),
        case("name: workshop", "name: archive", &["services[1].name"]),
        case(
            "name: siracusa",
            "name: sicilia-est",
            &[
                "services[0].targets[6].data_centre",
                "services[0].targets[7].data_centre",
                "services[0].targets[8].data_centre",
                "services[0].targets[9].data_centre",
                "services[0].targets[10].data_centre",
                "services[0].targets[11].data_centre",
                "services[1].targets[2].data_centre",
                "services[1].targets[3].data_centre",
            ],
        ),
        case(
            "name: sicilia-ovest",
            "name: sicilia-est",
            &["places.regions[1].name"],
        ),
        case(
            "{name: trapani}",
            "{name: trapani}, {name: catania}",
            &["places.regions[1].data_centres[2].name"],
        ),
        case("prefix: /workshop", "prefix: /archive/x", prefix),
        case("prefix: /workshop", "prefix: /archive", prefix),
        case("prefix: /workshop", "prefix: /", prefix),
        case("prefix: /workshop", "prefix: /archives", &[]),
        case("{segment: 1}", "{}", &["services[0].key"]),
        case(
            "{segment: 1}",
            "{segment: 1, header: x-a}",
            &["services[0].key"],
        ),
        case("{segment: 1}", "{segment: 0}", &["services[0].key.segment"]),
        case(
            "connections: 120",
            "connections: 1",
            &["services[0].targets[0].connections"],
        ),
        case("127.0.0.1:7102", "127.0.0.1:7101", address),
        case("127.0.0.1:7102", "[::ffff:127.0.0.1]:7101", address),
        case(
            "paths: []",
            "paths: [/workshop/x]",
            &["services[0].idempotent.paths[0]"],
        ),
        case(
            "pardons: []",
            "pardons: [\"0000000000000000\", \"0000000000000000\"]",
            &["pardons[1]"],
        ),
    ];
    cases.iter().for_each(check);
}

#[test]
fn types_and_fields() {
    let slots = &["services[0].targets[0].slots"];
    let cases = [
        case("slots: 2", "slots: two", slots),
        case("slots: 2", "slots: 2.5", slots),
        case("slots: 2", "slots: -2", slots),
        case("slots: 2", "slots: 99999999999999999999", slots),
        case("slots: 2", "slots: 1, slots: 2", slots),
        case("growth: 0.3", "growth: .nan", &["balance.growth"]),
        case("name: cavallucci", "name: 7", &["name"]),
        case("name: cavallucci", "nome: cavallucci", &["name", "nome"]),
        case("pardons: []", "1: {2: 3}", &["1"]),
        case("pardons: []", "\"a.b\": 3", &["[\"a.b\"]"]),
        case("pardons: []", "pardons: {}", &["pardons"]),
        case("priority: 1", "priority: 256", &["services[0].priority"]),
        case("format: 1", "format: !tag 1", &["document"]),
        case("format: 1", "format: [", &["document"]),
    ];
    cases.iter().for_each(check);
}

/// Guards against a problem that prevents others from being reported.
#[test]
fn all_problems_are_reported() {
    let text = CAVALLUCCI
        .replace("slots: 2,", "slots: two,")
        .replace("format: 1", "format: []");
    assert_eq!(parse(&text).map_err(|it| it.len()), Err(33));
    let text = CAVALLUCCI
        .replace("slots: 2,", "slots: 0,")
        .replace("data_centre: trapani", "data_centre: roma");
    assert_eq!(parse(&text).map_err(|it| it.len()), Err(40));
}

/// Guards against invalid values in documents that are built by code; not all of them can be
/// written in a text.
#[test]
fn built_documents() {
    let mut built = document(CAVALLUCCI);
    built.balance.growth = f64::NAN;
    built.services[1].targets.clear();
    built.places.regions[0].data_centres.clear();
    let paths: Vec<_> = built.problems().into_iter().map(|it| it.path).collect();
    assert_eq!(
        paths[..3],
        [
            "balance.growth",
            "places.regions[0].data_centres",
            "services[1].targets",
        ]
    );
    let mut all_lost = document(CAVALLUCCI);
    let regions = all_lost.places.regions.iter_mut();
    regions.for_each(|it| it.data_centres.iter_mut().for_each(|it| it.lost = true));
    assert_eq!(all_lost.problems()[0].path, "places.regions");
}

/// Guards against an error message that does not tell an operator what to change.
#[test]
fn message_for_slots() {
    let text = CAVALLUCCI.replacen("slots: 2,", "slots: 0,", 1);
    let problems = parse(&text).expect_err("zero slots are invalid");
    assert_eq!(
        problems[0].to_string(),
        "services[0].targets[0].slots (line 26): must be a whole number from 1 to 10000, but is 0; \
         change `slots`: requests that the target runs at once"
    );
}
