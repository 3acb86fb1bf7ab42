use super::*;
use crate::{fake::node, ports::Record, state::Access};

fn rev(generation: u64, number: u64) -> Revision {
    Revision { generation, number }
}

fn read(rev: Revision, unreadable: usize, evacuated: &[&str]) -> Read {
    let record = |place: &&str| Record {
        rev: Revision {
            number: rev.number - 1,
            ..rev
        },
        update: Update::Evacuation((*place).into(), true),
    };
    Read {
        records: evacuated.iter().map(record).collect(),
        rev,
        unreadable,
        ..Read::default()
    }
}

/// Guards against requests to an evacuated data centre because its row is not readable, or missing
/// from a store that has come back from an older copy, and against one that stays evacuated although
/// its row is gone.
#[test]
fn a_complete_list_ends_only_evacuations_that_it_cannot_hide() {
    struct Case {
        name: &'static str,
        read: Read,
        complete: bool,
        active: bool,
    }
    let case = |name, read, complete, active| Case {
        name,
        read,
        complete,
        active,
    };
    let cases = [
        case("the row is gone", read(rev(1, 9), 0, &[]), true, false),
        case("there is no change", read(rev(1, 9), 0, &[]), false, true),
        case("a row is odd", read(rev(1, 9), 1, &[]), true, true),
        case("just restored", read(rev(2, 4), 0, &[]), true, true),
        case("still there", read(rev(2, 4), 0, &["palermo"]), true, true),
    ];
    for case in cases {
        let node = node("h1", 7_000);
        apply(
            &node,
            Topic::Catalog,
            read(rev(1, 5), 0, &["palermo"]),
            true,
        );
        assert!(node.evacuations().is_active("palermo"), "{}", case.name);
        apply(&node, Topic::Catalog, case.read, case.complete);
        let active = node.evacuations().is_active("palermo");
        assert_eq!(active, case.active, "{}", case.name);
        let access = node.access("palermo", node.clock.now());
        assert_eq!(access != Access::Open, active, "{}", case.name);
    }
}
