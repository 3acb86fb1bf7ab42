use std::{net::SocketAddr, time::Duration};

use super::*;
use crate::fake;

/// Whether the gateway has ended all requests of a host that stops.
fn is_stopped(host: &Host, gate: &Gate) -> bool {
    let mut inner = gate.lock();
    inner.gateway.tick(host.clock.now());
    inner.gateway.is_stopped()
}

/// Guards against a slice that moves while a target without grants still works on a request whose
/// caller is gone: the target may go on until the deadline.
#[tokio::test]
async fn cancelled_request_counts_until_its_deadline() {
    let host = fake::host(SocketAddr::from(([127, 0, 0, 1], 1)));
    let gate = fake::gate(&host, host.settings.platform);
    let now = host.clock.now();
    let deadline = now + 600;
    let mut turn = Turn::new(Arc::clone(&host), Arc::clone(&gate), 0).with_linger(deadline);
    let permit = gate.lock().permit(now, 7).unwrap();
    turn.begin(&mut gate.lock(), now, permit);
    gate.lock().gateway.stop(now);
    drop(turn);
    assert!(!is_stopped(&host, &gate), "the target may still work");
    let limit = host.clock.now() + 10_000;
    while !is_stopped(&host, &gate) {
        assert!(host.clock.now() < limit, "the request never ended");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(host.clock.now() >= deadline);
}
