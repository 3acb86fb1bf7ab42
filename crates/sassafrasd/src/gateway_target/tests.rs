use std::{net::SocketAddr, time::Duration};

use super::*;
use crate::fake;

/// Whether the gateway of a stopping host has no requests in flight.
fn is_stopped(host: &Host, target: &GatewayTarget) -> bool {
    let mut inner = target.lock();
    inner.gateway.tick(host.clock.now());
    inner.gateway.is_stopped()
}

/// Guards against a slice that moves while a target that checks no grants still works on a request
/// whose caller has cancelled it: the target may go on until the deadline.
#[tokio::test]
async fn cancelled_request_counts_until_its_deadline() {
    let host = fake::host(SocketAddr::from(([127, 0, 0, 1], 1)));
    let target = fake::gateway_target(&host, host.settings.platform);
    let now = host.clock.now();
    let deadline = now + 600;
    let mut slot =
        SlotGuard::new(Arc::clone(&host), Arc::clone(&target), 0).with_in_flight_until(deadline);
    let permit = target.lock().permit(now, 7).unwrap();
    slot.begin(&mut target.lock(), now, permit);
    target.lock().gateway.stop(now);
    drop(slot);
    assert!(!is_stopped(&host, &target), "the target may still work");
    let limit = host.clock.now() + 10_000;
    while !is_stopped(&host, &target) {
        assert!(host.clock.now() < limit, "the request never ended");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(host.clock.now() >= deadline);
}
