//! Orders that a target reads after their sender has given them up.

use std::sync::Arc;

use coordinator::{
    GrantOutcome, GrantTiming, Incarnation, KeyRange, Millis, Order, OrderKind, ReleaseOutcome,
    SliceManager,
};

const TIMING: GrantTiming = GrantTiming {
    hold_ms: 3_000,
    max_hold_ms: 10_000,
    renew_ms: 1_000,
    retry_ms: 300,
    unread_ms: 7_000,
    drift_percent: 2,
};

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
