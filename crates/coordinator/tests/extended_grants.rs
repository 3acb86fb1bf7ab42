//! Extended grants while the store does not answer.

mod support;

use std::sync::Arc;

use coordinator::{
    GrantOutcome, Incarnation, KeyRange, Order, OrderKind, ReleaseOutcome, SliceManager,
};
use support::TIMING;

fn granted_hold_ms(orders: &[Order]) -> Option<u64> {
    match orders {
        [order] => match order.kind {
            OrderKind::Grant { hold_ms, .. } => Some(hold_ms),
            OrderKind::Release => None,
        },
        _ => None,
    }
}

/// Guards against an owner that loses its keys in an outage of the store, because its grant was in
/// flight when extended grants began.
#[test]
fn a_grant_in_flight_is_followed_by_an_extended_one() {
    let owner = Incarnation {
        target: Arc::from("a"),
        started_ms: 1,
    };
    let mut manager = SliceManager::new(Arc::from("archive"), 1, TIMING, Vec::new(), 0);
    manager.set_incarnations([owner.clone()], 0);
    manager.assign(KeyRange::ALL, &owner, 0);
    let (puts, removes) = manager.rows_to_write(90);
    manager.on_commit(puts, &removes);
    let orders = manager.step(10);
    assert_eq!(granted_hold_ms(&orders), Some(3_000), "{orders:?}");
    manager.set_extended_grants(true, 12);
    manager.on_grant(orders[0].id, GrantOutcome::Accepted, 15);
    let orders = manager.step(16);
    assert_eq!(granted_hold_ms(&orders), Some(10_000), "{orders:?}");
    manager.on_grant(orders[0].id, GrantOutcome::Accepted, 20);
    assert!(
        manager.step(500).is_empty(),
        "the next one is due after 1 s"
    );
}

/// Guards against keys that no target serves in an outage of the store that begins between the
/// decision to move them and the write of their new owner.
#[test]
fn keys_stay_with_their_owner_until_the_store_names_the_next() {
    let incarnation = |name: &str| Incarnation {
        target: Arc::from(name),
        started_ms: 1,
    };
    let (old, new) = (incarnation("a"), incarnation("b"));
    let mut manager = SliceManager::new(Arc::from("archive"), 1, TIMING, Vec::new(), 0);
    manager.set_incarnations([old.clone(), new.clone()], 0);
    manager.assign(KeyRange::ALL, &old, 0);
    let (puts, removes) = manager.rows_to_write(90);
    manager.on_commit(puts, &removes);
    let orders = manager.step(10);
    manager.on_grant(orders[0].id, GrantOutcome::Accepted, 15);
    let moved = KeyRange::new(100, 200);
    manager.assign(moved, &new, 20);
    let (puts, removes) = manager.rows_to_write(90);

    manager.set_extended_grants(true, 30);
    let mut renewed = 0;
    for order in manager.step(31) {
        assert_eq!(order.incarnation, old, "{order:?}");
        assert_eq!(granted_hold_ms(std::slice::from_ref(&order)), Some(10_000));
        renewed += u32::from(order.range == moved);
        manager.on_grant(order.id, GrantOutcome::Accepted, 40);
    }
    assert_eq!(renewed, 1, "the keys that move are granted as well");
    assert!(
        manager.step(500).is_empty(),
        "the next ones are due after 1 s"
    );

    manager.on_commit(puts, &removes);
    let orders = manager.step(510);
    assert_eq!(orders.len(), 1, "{orders:?}");
    assert_eq!(
        (orders[0].kind.clone(), orders[0].incarnation.clone()),
        (OrderKind::Release, old)
    );
    let outcome = ReleaseOutcome::Done { handover: None };
    manager.on_release(orders[0].id, &outcome, 515);
    let orders = manager.step(520);
    assert_eq!(orders[0].incarnation, new, "{orders:?}");
}
