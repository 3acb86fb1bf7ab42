use std::net::SocketAddr;

use super::*;
use crate::{fake, gate::Gate};

fn host_and_gate() -> (Arc<Host>, Arc<Gate>) {
    let host = fake::host(SocketAddr::from(([127, 0, 0, 1], 1)));
    let gate = fake::gate(&host, host.settings.platform);
    host.gates_mut().insert(gate.id.clone(), Arc::clone(&gate));
    (host, gate)
}

fn one_move() -> [SliceMove; 1] {
    let to = Arc::from("a02");
    [SliceMove { low: 0, to }]
}

/// Guards against slices that are released for a planned move while the store cannot be reached:
/// they would have no owner until it is back.
#[test]
fn no_planned_move_without_store_contact() {
    let (host, gate) = host_and_gate();
    let moves = one_move();
    let verdict = begin(&host, &gate.id, &moves);
    assert_eq!(verdict, MoveVerdict::StoreUnreachable);
    host.confirm(host.clock.now());
    let verdict = begin(&host, &gate.id, &moves);
    assert_eq!(verdict, MoveVerdict::Started);
}

/// Guards against a planned move of slices that a data centre still serves behind a cut: they
/// would move after its end although nothing was lost.
#[test]
fn no_planned_move_off_an_unreachable_target() {
    let (host, gate) = host_and_gate();
    host.confirm(host.clock.now());
    gate.lock().gateway.target_lost(host.clock.now());
    let verdict = begin(&host, &gate.id, &one_move());
    assert_eq!(verdict, MoveVerdict::TargetUnreachable);
    gate.lock().gateway.target_recovered(host.clock.now());
    let verdict = begin(&host, &gate.id, &one_move());
    assert_eq!(verdict, MoveVerdict::Started);
}
