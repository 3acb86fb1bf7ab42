use std::net::SocketAddr;

use super::*;

const NAME: &str = "a";

fn rev(generation: u64, number: u64) -> Revision {
    Revision { generation, number }
}

fn entry(started_ms: u64, heartbeats: u64, state: TargetState) -> TargetEntry {
    TargetEntry {
        service: "archive".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        place: "catania".into(),
        slots: 2,
        state,
        cold_ms: 0,
        started_ms,
        heartbeats,
    }
}

/// Guards against a target that is used again although it is draining or gone, because a restored
/// store lists an older entry of it.
#[test]
fn older_entries_of_a_restored_store_are_not_used() {
    struct Case {
        name: &'static str,
        /// Entry in the copy; `None` if the target is not in it.
        copied: Option<TargetEntry>,
        /// State before the restore; `None` if the target was removed.
        before: Option<TargetState>,
        after: Option<TargetState>,
    }
    use TargetState::{Draining, Ready};
    let cases = [
        Case {
            name: "draining, ready in the copy",
            copied: Some(entry(1_000, 3, Ready)),
            before: Some(Draining),
            after: Some(Draining),
        },
        Case {
            name: "gone, ready in the copy",
            copied: Some(entry(1_000, 5, Ready)),
            before: None,
            after: None,
        },
        Case {
            name: "gone, draining in the copy",
            copied: Some(entry(1_000, 5, Draining)),
            before: None,
            after: None,
        },
        Case {
            name: "ready, draining in a newer entry",
            copied: Some(entry(1_000, 6, Draining)),
            before: Some(Ready),
            after: Some(Draining),
        },
        Case {
            name: "gone, back with a newer entry",
            copied: Some(entry(1_000, 6, Ready)),
            before: None,
            after: Some(Ready),
        },
        Case {
            name: "gone, started again",
            copied: Some(entry(2_000, 1, Ready)),
            before: None,
            after: Some(Ready),
        },
        Case {
            name: "ready, an earlier run in the copy",
            copied: Some(entry(500, 70, Draining)),
            before: Some(Ready),
            after: Some(Ready),
        },
        Case {
            name: "ready, missing from the copy",
            copied: None,
            before: Some(Ready),
            after: Some(Ready),
        },
    ];
    for case in cases {
        let name: Arc<str> = NAME.into();
        let mut targets = Targets::default();
        let state = case.before.unwrap_or(Ready);
        targets.apply(&name, rev(0, 90), Some(entry(1_000, 5, state)), 10);
        if case.before.is_none() {
            targets.apply(&name, rev(0, 91), None, 20);
        }
        if case.copied.is_some() {
            targets.apply(&name, rev(1, 40), case.copied, 30);
        }
        let state = targets.get(NAME).map(|it| it.state);
        assert_eq!(state, case.after, "{}", case.name);
        // What the target writes after the restore counts.
        let changed = targets.apply(&name, rev(1, 41), Some(entry(1_000, 9, Ready)), 40);
        assert!(changed, "{}", case.name);
    }
}

/// Guards against targets that count as gone because a restored store does not list them before
/// they have registered again.
#[test]
fn targets_register_again_after_a_restore() {
    let mut targets = Targets::default();
    targets.on_generation(3, 100);
    assert_eq!(targets.complete_at(), 0, "no restore was seen");
    assert!(!targets.remembers_before(3));
    targets.on_generation(4, 500);
    targets.on_generation(4, 900);
    targets.on_generation(3, 950);
    assert_eq!(targets.complete_at(), 2_500);
    assert!(targets.remembers_before(4));
}

/// Guards against a leaving target that is used again because it has written its entry again, and
/// against one that is not used after it has started again.
#[test]
fn a_departure_ends_with_the_incarnation() {
    use TargetState::{Draining, Leaving, Ready};
    struct Case {
        name: &'static str,
        entry: TargetEntry,
        state: TargetState,
    }
    let cases = [
        Case {
            name: "ready again",
            entry: entry(1_000, 9, Ready),
            state: Leaving,
        },
        Case {
            name: "draining",
            entry: entry(1_000, 9, Draining),
            state: Draining,
        },
        Case {
            name: "started again",
            entry: entry(2_000, 1, Ready),
            state: Ready,
        },
    ];
    let name: Arc<str> = NAME.into();
    for case in cases {
        let mut targets = Targets::default();
        let first = entry(1_000, 3, Ready);
        targets.apply(&name, rev(1, 1), Some(first.clone()), 0);
        let version = targets.version();
        assert!(targets.on_leaving(&first.incarnation(&name), 100));
        assert!(targets.version() > version);
        assert_eq!(targets.get(NAME).map(|it| it.state), Some(Leaving));
        targets.apply(&name, rev(1, 2), Some(case.entry), 200);
        let state = targets.get(NAME).map(|it| it.state);
        assert_eq!(state, Some(case.state), "{}", case.name);
    }
}
