//! Targets that start again under their name, and lists that show another start of a target.

mod support;

use std::sync::Arc;

use coordinator::{
    GrantOutcome, Incarnation, KeyRange, Millis, OrderKind, ReleaseOutcome, SliceManager,
};
use support::TIMING;

/// When the first owner accepts the grant of its keys.
const ACCEPTED_AT: Millis = 20;

/// When the list shows another start of the first owner.
const LISTED_AT: Millis = 100;

fn incarnation(name: &str, started_ms: u64) -> Incarnation {
    Incarnation {
        target: Arc::from(name),
        started_ms,
    }
}

fn commit(manager: &mut SliceManager) {
    let (puts, removes) = manager.rows_to_write(90);
    manager.on_commit(puts, &removes);
}

/// Returns when `second` is granted keys that were granted to `first`, if the list shows `listed`
/// instead of `first` from `LISTED_AT` on and all releases end with `release`.
fn granted_at(
    first: &Incarnation,
    listed: &Incarnation,
    second: &Incarnation,
    release: &ReleaseOutcome,
) -> Millis {
    let mut manager = SliceManager::new(Arc::from("archive"), 1, TIMING, Vec::new(), 0);
    manager.set_incarnations([first.clone(), second.clone()], 0);
    manager.assign(KeyRange::ALL, first, 0);
    commit(&mut manager);
    let orders = manager.step(10);
    manager.on_grant(orders[0].id, GrantOutcome::Accepted, ACCEPTED_AT);
    manager.set_incarnations([listed.clone(), second.clone()], LISTED_AT);
    manager.assign(KeyRange::ALL, second, LISTED_AT);
    commit(&mut manager);
    for now in (LISTED_AT..60_000).step_by(10) {
        for order in manager.step(now) {
            match order.kind {
                OrderKind::Grant { .. } if order.incarnation == *second => return now,
                OrderKind::Grant { .. } => {
                    manager.on_grant(order.id, GrantOutcome::NotSent, now);
                }
                OrderKind::Release => manager.on_release(order.id, release, now),
            }
        }
    }
    panic!("the keys are never granted again");
}

/// Guards against a second owner of keys while their first owner holds them: it started again under
/// its name, which is all that orders name, and accepted the grant before the list showed that.
#[test]
fn keys_do_not_move_while_a_restarted_target_may_hold_them() {
    let (first, listed, second) = (
        incarnation("a", 1_000),
        incarnation("a", 2_000),
        incarnation("b", 1_000),
    );
    let hold_end = ACCEPTED_AT + TIMING.hold_ms * 100 / 98;
    let at = granted_at(&first, &listed, &second, &ReleaseOutcome::NoAnswer);
    assert!(at >= hold_end, "granted at {at} ms, before {hold_end} ms");

    let released = ReleaseOutcome::Done { handover: None };
    let at = granted_at(&first, &listed, &second, &released);
    assert!(at < hold_end, "not granted before {at} ms after a release");
}

/// Guards against a second owner of keys whose first owner counts as restarted because the list
/// shows an older start of it, or none.
#[test]
fn a_list_without_a_later_start_ends_no_hold() {
    struct Case {
        name: &'static str,
        granted: u64,
        listed: u64,
    }
    let cases = [
        Case {
            name: "a list of an earlier time",
            granted: 2_000,
            listed: 1_000,
        },
        Case {
            name: "an entry without a start",
            granted: 2_000,
            listed: 0,
        },
        Case {
            name: "the first entry with a start",
            granted: 0,
            listed: 2_000,
        },
    ];
    let hold_end = ACCEPTED_AT + TIMING.hold_ms * 100 / 98;
    let mut early = Vec::new();
    for Case {
        name,
        granted,
        listed,
    } in cases
    {
        let (first, listed) = (incarnation("a", granted), incarnation("a", listed));
        let second = incarnation("b", 1_000);
        let at = granted_at(&first, &listed, &second, &ReleaseOutcome::NoAnswer);
        if at < hold_end {
            early.push((name, at));
        }
    }
    assert!(
        early.is_empty(),
        "granted before {hold_end} ms (case, time): {early:?}"
    );
}
