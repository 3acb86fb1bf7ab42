//! Guards against changes that are not shown to an operator before a document is applied.

use super::examples::{CAVALLUCCI, TROIS_RIVIERES, document};
use crate::diff;

struct Case {
    from: &'static str,
    to: &'static str,
    shown: &'static str,
}

fn check(case: &Case) {
    let before = document(CAVALLUCCI);
    let after = document(&CAVALLUCCI.replacen(case.from, case.to, 1));
    let shown: Vec<_> = diff(&before, &after)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(shown.join("\n"), case.shown);
}

#[test]
fn shows_each_change() {
    let cases = [
        Case {
            from: "hold_s: 7200",
            to: "hold_s: 900",
            shown: "~ balance.hold_s: 7200 -> 900",
        },
        Case {
            from: "{name: catania}, {name: siracusa}",
            to: "{name: siracusa}, {name: catania}",
            shown: "",
        },
        Case {
            from: "{name: trapani}",
            to: "{name: trapani, lost: true}",
            shown: "~ places.regions[sicilia-ovest].data_centres[trapani].lost: false -> true",
        },
        Case {
            from: "{segment: 1}",
            to: "{header: x-a}",
            shown: "- services[archive].key.segment: 1\n+ services[archive].key.header: \"x-a\"",
        },
        Case {
            from: "quarantine_s: 600",
            to: "quarantine_s: 600\n    claim_s: 172800",
            shown: "~ services[archive].claim_s: 86400 -> 172800",
        },
        Case {
            from: "pardons: []",
            to: "pardons: [\"0123456789abcdef\"]",
            shown: "~ pardons: [] -> [\"0123456789abcdef\"]",
        },
    ];
    cases.iter().for_each(check);
}

#[test]
fn shows_added_and_removed_entries() {
    let before = document(CAVALLUCCI);
    let mut after = before.clone();
    let target = after.services[0].targets.remove(3);
    after.services[1].targets.insert(0, target);
    let paths: Vec<_> = diff(&before, &after)
        .into_iter()
        .map(|it| (it.path, it.before.is_some(), it.after.is_some()))
        .collect();
    assert_eq!(
        paths,
        [
            ("services[archive].targets[a04]".to_owned(), true, false),
            ("services[workshop].targets[a04]".to_owned(), false, true),
        ]
    );
}

#[test]
fn equal_documents_do_not_differ() {
    let document = document(TROIS_RIVIERES);
    assert_eq!(diff(&document, &document), []);
}
