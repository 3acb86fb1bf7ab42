//! When a new coordinator grants keys after the store has lost rows.

mod support;

use std::{collections::BTreeSet, sync::Arc};

use coordinator::{
    Incarnation, KeyRange, LeaseRow, Memory, OrderKind, Phase, ReleaseOutcome, Slice, SliceManager,
    SliceRow,
};
use support::TIMING;

/// When the coordinator takes over.
const START: u64 = 100_000;

fn incarnation(target: &str) -> Incarnation {
    Incarnation {
        target: target.into(),
        started_ms: 1,
    }
}

/// Guards against a grant of keys that another target may hold, and against owners that lose their
/// keys although no other target can hold them.
#[test]
fn keys_are_granted_when_no_other_target_can_hold_them() {
    struct Case {
        name: &'static str,
        knows_targets: bool,
        departed: &'static [&'static str],
        /// Targets that do not answer.
        silent: &'static [&'static str],
        phase: Phase,
        /// When the owner is granted its keys.
        granted_at: u64,
    }
    // The longest grant of an earlier coordinator lasts 10 s, with drift.
    let latest_end = 10_205;
    let cases = [
        Case {
            name: "all targets answer",
            knows_targets: true,
            departed: &[],
            silent: &[],
            phase: Phase::Held,
            granted_at: 50,
        },
        Case {
            name: "a target is silent",
            knows_targets: true,
            departed: &[],
            silent: &["b"],
            phase: Phase::Held,
            granted_at: latest_end,
        },
        Case {
            name: "a target that left is silent",
            knows_targets: true,
            departed: &["b"],
            silent: &["b"],
            phase: Phase::Held,
            granted_at: 50,
        },
        Case {
            name: "a target that left is silent, and the owner may not have had the keys yet",
            knows_targets: true,
            departed: &["b"],
            silent: &["b"],
            phase: Phase::Pending,
            granted_at: latest_end,
        },
        Case {
            name: "the targets are not known",
            knows_targets: false,
            departed: &[],
            silent: &[],
            phase: Phase::Held,
            granted_at: latest_end,
        },
    ];
    for case in cases {
        let service: Arc<str> = "s".into();
        // The row is older than what the coordinator remembers.
        let row = SliceRow {
            service: Arc::clone(&service),
            range: KeyRange::ALL,
            owner: incarnation("c"),
            previous_owners: Vec::new(),
            token: 5,
        };
        let slice = Slice {
            range: KeyRange::ALL,
            owner: incarnation("a"),
            token: 9,
            phase: case.phase,
        };
        let departed: BTreeSet<_> = case.departed.iter().map(|it| Arc::from(*it)).collect();
        let memory = Memory {
            slices: vec![slice],
            knows_targets: case.knows_targets,
            departed,
            lease_end: START,
        };
        let mut manager = SliceManager::recover(service, 7, TIMING, &[row], memory, START);
        manager.set_incarnations(["a", "b", "c"].map(incarnation), START);
        assert!(manager.needs_commit(), "{}: the row is outdated", case.name);
        let (puts, removes) = manager.rows_to_write(10);
        manager.on_commit(puts, &removes);
        let mut now = START;
        let granted_at = loop {
            let orders = manager.step(now);
            if let Some(grant) = orders.iter().find(|it| it.kind != OrderKind::Release) {
                assert_eq!(grant.incarnation, incarnation("a"), "{}", case.name);
                break now - START;
            }
            now += 5;
            for order in orders {
                let silent = case.silent.contains(&&*order.incarnation.target);
                let outcome = if silent {
                    ReleaseOutcome::NoAnswer
                } else {
                    ReleaseOutcome::Done { handover: None }
                };
                manager.on_release(order.id, &outcome, now);
            }
        };
        let lateness = granted_at.abs_diff(case.granted_at);
        assert!(lateness <= 50, "{}: granted at {granted_at}", case.name);
    }
}

/// Guards against terms and fencing tokens that are given out again because the store has lost the
/// latest lease, and against tokens that a JSON parser rounds.
#[test]
fn terms_are_above_those_that_the_store_has_lost() {
    assert_eq!(LeaseRow::next_term(0, 0), 1);
    assert_eq!(LeaseRow::next_term(41, 0), 42);
    let lost = LeaseRow::next_term(500, 3);
    assert!(LeaseRow::next_term(2, 4) > lost);
    assert!(LeaseRow::next_term(lost, 3) > lost);
    assert!(LeaseRow::next_term(0, 8_191) < 1 << (53 - 24));
}
