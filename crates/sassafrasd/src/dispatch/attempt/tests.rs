//! Guards against a request that is sent after the tenure has ended, for example by a host that was
//! paused while the request waited for its slot (G1).

use std::net::SocketAddr;

use ownership::VOTE_MS;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

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

/// A server that answers each request with `status` and keeps its connections open.
async fn start_server(status: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = Vec::new();
                while stream.read_buf(&mut request).await.is_ok_and(|it| it > 0) {
                    if request.ends_with(b"\r\n\r\n") {
                        request.clear();
                        let answer =
                            format!("HTTP/1.1 {status} Odd\r\ncontent-length: 2\r\n\r\nok");
                        stream.write_all(answer.as_bytes()).await.unwrap();
                    }
                }
            });
        }
    });
    address
}

/// Guards against an answer with an invalid status that reaches a caller, and against a refusal which
/// says that a request that was answered so has not run.
#[tokio::test]
async fn an_invalid_status_is_no_answer() {
    for (status, valid) in [
        ("000", false),
        ("099", false),
        ("101", false),
        ("103", false),
        ("200", true),
        ("599", true),
        ("600", false),
        ("999", false),
    ] {
        let host = fake::host(SocketAddr::from(([127, 0, 0, 1], 1)));
        let target = fake::gateway_target(&host, start_server(status).await);
        let inbound = fake::inbound(&host, 5_000);
        let mut slot = acquire_slot(&host, &target, &inbound).await.ok().unwrap();
        let mut guards = HeldGuards {
            slot: &mut slot,
            claim: &mut None,
        };
        let limit = Duration::from_secs(5);
        let sent = send(&host, &target, &inbound, &mut guards, Freshness::Any, limit).await;
        let refusal = sent.err().map(|it| (it.refusal.reason, it.refusal.ran));
        let expected = (!valid).then_some((Reason::TargetLost, Ran::Unknown));
        assert_eq!(refusal, expected, "{status}");
    }
}
