//! Orders that a target reads after their sender has given them up.

mod support;

use std::{ops::RangeInclusive, sync::Arc};

use coordinator::{
    GrantOutcome, Incarnation, KeyRange, Millis, Order, OrderKind, ReleaseOutcome, SliceManager,
};
use support::TIMING;

/// When the coordinator gives up the grant to the first owner.
const GIVEN_UP_AT: Millis = 260;

fn incarnation(name: &str) -> Incarnation {
    Incarnation {
        target: Arc::from(name),
        started_ms: 1,
    }
}

fn commit(manager: &mut SliceManager) {
    let (puts, removes) = manager.rows_to_write(90);
    manager.on_commit(puts, &removes);
}

fn grants_to<'a>(orders: &'a [Order], owner: &Incarnation) -> Vec<&'a Order> {
    let is_grant = |it: &&Order| matches!(it.kind, OrderKind::Grant { .. });
    let grants = orders.iter().filter(is_grant);
    grants.filter(|it| it.incarnation == *owner).collect()
}

/// Guards against a second owner of keys whose first owner reads an unanswered grant seconds after
/// the coordinator has given it up, because it was slow to accept the connection.
#[test]
fn keys_move_only_once_an_unread_grant_cannot_take_effect() {
    struct Case {
        name: &'static str,
        /// The outcome of releases at the first owner.
        release: ReleaseOutcome,
        /// The earliest time at which the second owner may be granted the keys.
        from: Millis,
    }
    let latest_read = GIVEN_UP_AT + TIMING.unread_ms;
    let cases = [
        Case {
            name: "released",
            release: ReleaseOutcome::Done { handover: None },
            from: 0,
        },
        Case {
            name: "no answer to any release",
            release: ReleaseOutcome::NoAnswer,
            from: latest_read + TIMING.hold_ms * 100 / 98,
        },
    ];
    for Case {
        name,
        release,
        from,
    } in cases
    {
        let (first, second) = (incarnation("a"), incarnation("b"));
        let mut manager = SliceManager::new(Arc::from("archive"), 1, TIMING, Vec::new(), 0);
        manager.set_incarnations([first.clone(), second.clone()], 0);
        manager.assign(KeyRange::ALL, &first, 0);
        commit(&mut manager);
        let orders = manager.step(10);
        manager.on_grant(orders[0].id, GrantOutcome::NoAnswer, GIVEN_UP_AT);
        manager.assign(KeyRange::ALL, &second, GIVEN_UP_AT);
        commit(&mut manager);

        let mut granted_at = None;
        let mut now = GIVEN_UP_AT;
        while granted_at.is_none() {
            now += 10;
            assert!(now < 20_000, "{name}: the keys are never granted again");
            let orders = manager.step(now);
            if !grants_to(&orders, &second).is_empty() {
                granted_at = Some(now);
            }
            for order in &orders {
                match order.kind {
                    OrderKind::Grant { .. } => {
                        manager.on_grant(order.id, GrantOutcome::NotSent, now);
                    }
                    OrderKind::Release => manager.on_release(order.id, &release, now),
                }
            }
        }
        assert!(
            granted_at >= Some(from),
            "{name}: granted at {granted_at:?}, before {from} ms"
        );
    }
}

/// Guards against a second owner of keys whose first owner was granted them by a coordinator that
/// ended at once, and reads that grant as late as it can.
#[test]
fn a_new_coordinator_waits_for_grants_that_are_read_late() {
    struct Case {
        name: &'static str,
        extended: bool,
        hold_ms: u64,
    }
    let cases = [
        Case {
            name: "usual duration",
            extended: false,
            hold_ms: TIMING.hold_ms,
        },
        Case {
            name: "longest duration",
            extended: true,
            hold_ms: TIMING.max_hold_ms,
        },
    ];
    let mut early = Vec::new();
    for Case {
        name,
        extended,
        hold_ms,
    } in cases
    {
        let (first, second) = (incarnation("a"), incarnation("b"));
        let mut manager = SliceManager::new(Arc::from("archive"), 1, TIMING, Vec::new(), 0);
        manager.set_incarnations([first.clone(), second.clone()], 0);
        manager.set_extended_grants(extended, 0);
        manager.assign(KeyRange::ALL, &first, 0);
        let (rows, _) = manager.rows_to_write(90);
        commit(&mut manager);
        let sent_at = 10;
        assert_eq!(grants_to(&manager.step(sent_at), &first).len(), 1);

        let mut manager = SliceManager::new(Arc::from("archive"), 2, TIMING, rows, sent_at);
        manager.set_incarnations([first.clone(), second.clone()], sent_at);
        manager.assign(KeyRange::ALL, &second, sent_at);
        commit(&mut manager);
        let granted_at = first_grant_to(&second, &mut manager, sent_at);
        let from = GIVEN_UP_AT + TIMING.unread_ms + hold_ms * 100 / 98;
        if granted_at < from {
            early.push((name, granted_at, from));
        }
    }
    assert!(
        early.is_empty(),
        "granted too early (case, time, earliest time): {early:?}"
    );
}

/// Guards against keys that wait for grants of an earlier coordinator which their owner would
/// refuse, and against a second owner: the first one may have accepted a longer grant of the earlier
/// coordinator before, which the new one does not shorten, or may be replaced by a process that
/// would not refuse a late one.
#[test]
fn an_accepted_grant_shortens_the_wait_for_those_of_earlier_coordinators() {
    struct Case {
        name: &'static str,
        /// Start of the process that the first owner's id names in the end.
        started_ms: u64,
        /// Earliest and latest time at which the second owner may be granted the keys.
        within: RangeInclusive<Millis>,
    }
    let longest = TIMING.longest_grant_ms();
    let cases = [
        Case {
            name: "the same process",
            started_ms: 1,
            within: 20 + TIMING.max_hold_ms * 100 / 98..=TIMING.latest_end(100, TIMING.max_hold_ms),
        },
        Case {
            name: "a restarted process",
            started_ms: 2,
            within: longest..=longest + 100,
        },
    ];
    let (first, second) = (incarnation("a"), incarnation("b"));
    for case in cases {
        let mut manager = SliceManager::new(Arc::from("archive"), 1, TIMING, Vec::new(), 0);
        manager.set_incarnations([first.clone(), second.clone()], 0);
        manager.assign(KeyRange::ALL, &first, 0);
        let (rows, _) = manager.rows_to_write(90);

        let mut manager = SliceManager::new(Arc::from("archive"), 2, TIMING, rows, 0);
        manager.set_incarnations([first.clone(), second.clone()], 0);
        let orders = manager.step(10);
        manager.on_grant(orders[0].id, GrantOutcome::Accepted, 20);
        let restarted = Incarnation {
            started_ms: case.started_ms,
            ..first.clone()
        };
        manager.set_incarnations([restarted, second.clone()], 30);
        manager.assign(KeyRange::ALL, &second, 40);
        commit(&mut manager);
        let granted_at = first_grant_to(&second, &mut manager, 50);
        let name = case.name;
        assert!(case.within.contains(&granted_at), "{name}: {granted_at}");
    }
}

/// Guards against keys that are never granted again, because they returned to the owner that the
/// store names before the store named another.
#[test]
fn keys_that_return_to_their_owner_are_granted_again() {
    let (first, second) = (incarnation("a"), incarnation("b"));
    let mut manager = SliceManager::new(Arc::from("archive"), 1, TIMING, Vec::new(), 0);
    manager.set_incarnations([first.clone(), second.clone()], 0);
    manager.assign(KeyRange::ALL, &first, 0);
    commit(&mut manager);
    let orders = manager.step(10);
    manager.on_grant(orders[0].id, GrantOutcome::Accepted, 20);
    let expired = 20_000;
    manager.assign(KeyRange::ALL, &second, expired);
    manager.assign(KeyRange::ALL, &first, expired + 100);
    commit(&mut manager);
    let orders = manager.step(expired + 200);
    assert_eq!(grants_to(&orders, &first).len(), 1);
}

/// Returns when `owner` is first granted keys, while no other target answers an order.
fn first_grant_to(owner: &Incarnation, manager: &mut SliceManager, from: Millis) -> Millis {
    for now in (from..from + 60_000).step_by(10) {
        let orders = manager.step(now);
        if !grants_to(&orders, owner).is_empty() {
            return now;
        }
        for order in orders {
            match order.kind {
                OrderKind::Grant { .. } => manager.on_grant(order.id, GrantOutcome::NotSent, now),
                OrderKind::Release => manager.on_release(order.id, &ReleaseOutcome::NoAnswer, now),
            }
        }
    }
    panic!("{owner:?} is never granted keys");
}
