//! Guards against a request that is sent after the tenure has ended, for example by a host that was
//! paused while the request waited for its slot (G1).

use std::net::SocketAddr;

use ownership::VOTE_MS;

use super::*;
use crate::{dispatch::acquire_slot, fake};

#[tokio::test]
async fn request_does_not_start_after_the_tenure() {
    let host = fake::host(SocketAddr::from(([127, 0, 0, 1], 1)));
    let target = fake::gateway_target(&host, host.settings.platform);
    let inbound = fake::inbound(&host, 60_000);
    let mut slot = acquire_slot(&host, &target, &inbound).await.ok().unwrap();
    target
        .lock()
        .permit(host.clock.now(), inbound.hash)
        .unwrap();
    // The pause is longer than the votes are valid.
    std::thread::sleep(Duration::from_millis(VOTE_MS + 300));
    let result = begin(&host, &target, &inbound, &mut slot);
    let refusal = result.err().map(|it| it.refusal);
    assert_eq!(
        refusal.map(|it| (it.reason, it.ran)),
        Some((Reason::NotGateway, Ran::NotRun))
    );
}

/// Guards against new work on a target that has said in an answer that it is draining (G6).
#[test]
fn draining_answer_ends_new_work() {
    for (value, drains) in [("true", true), ("false", false), ("", false)] {
        let host = fake::host(SocketAddr::from(([127, 0, 0, 1], 1)));
        let target = fake::gateway_target(&host, host.settings.platform);
        let mut headers = HeaderMap::new();
        headers.insert(DRAINING, HeaderValue::from_static(value));
        let update = apply_headers(&host, &target, &headers);
        assert_eq!(update == TargetUpdate::DrainBegan, drains, "{value:?}");
        let permit = target.lock().permit(host.clock.now(), 7);
        assert_eq!(
            permit.err() == Some(Reason::TargetDraining),
            drains,
            "{value:?}"
        );
    }
}

/// Whether the gateway of a stopping host has no requests in flight.
fn is_stopped(host: &Host, target: &GatewayTarget) -> bool {
    let mut inner = target.lock();
    inner.gateway.tick(host.clock.now());
    inner.gateway.is_stopped()
}

/// Guards against a request that counts as in flight for ever after its second attempt, so that its
/// slice never leaves a draining target (G6) and the host never stops (G7). The first attempt,
/// whose connection failed, counts until the deadline, because the target checks no grants.
#[tokio::test]
async fn second_attempt_replaces_the_first() {
    for attempts in [1, 2] {
        let host = fake::host(SocketAddr::from(([127, 0, 0, 1], 1)));
        let target = fake::gateway_target(&host, host.settings.platform);
        let inbound = fake::inbound(&host, 300);
        let mut slot = acquire_slot(&host, &target, &inbound).await.ok().unwrap();
        for _ in 0..attempts {
            begin(&host, &target, &inbound, &mut slot).ok().unwrap();
        }
        slot.end(RequestEnd::Answered);
        target.lock().gateway.stop(host.clock.now());
        let limit = host.clock.now() + if attempts == 1 { 0 } else { 10_000 };
        while !is_stopped(&host, &target) {
            assert!(host.clock.now() < limit, "after {attempts} attempts");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}
