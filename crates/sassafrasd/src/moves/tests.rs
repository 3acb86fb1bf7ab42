use std::net::SocketAddr;

use super::*;
use crate::{fake, gateway_target::GatewayTarget};

fn host_and_gateway_target() -> (Arc<Host>, Arc<GatewayTarget>) {
    let host = fake::host(SocketAddr::from(([127, 0, 0, 1], 1)));
    let gateway_target = fake::gateway_target(&host, host.settings.platform);
    host.gateway_targets_mut()
        .insert(gateway_target.id.clone(), Arc::clone(&gateway_target));
    (host, gateway_target)
}

fn one_move() -> [SliceMove; 1] {
    let to = Arc::from("a02");
    [SliceMove { low: 0, to }]
}

/// Guards against slices that are released for a planned move while the store is not reachable,
/// and so have no owner until it is back.
#[test]
fn no_planned_move_without_store_contact() {
    let (host, gateway_target) = host_and_gateway_target();
    let moves = one_move();
    let result = begin(&host, &gateway_target.id, &moves);
    assert_eq!(result, MoveResult::StoreUnreachable);
    host.confirm(host.clock.now());
    let result = begin(&host, &gateway_target.id, &moves);
    assert_eq!(result, MoveResult::Started);
}

/// Guards against a planned move of slices that a data centre still serves while it is cut off:
/// they would move after its end although nothing was lost.
#[test]
fn no_planned_move_off_an_unreachable_target() {
    let (host, gateway_target) = host_and_gateway_target();
    host.confirm(host.clock.now());
    gateway_target.lock().gateway.target_lost(host.clock.now());
    let result = begin(&host, &gateway_target.id, &one_move());
    assert_eq!(result, MoveResult::TargetUnreachable);
    gateway_target
        .lock()
        .gateway
        .target_recovered(host.clock.now());
    let result = begin(&host, &gateway_target.id, &one_move());
    assert_eq!(result, MoveResult::Started);
}
