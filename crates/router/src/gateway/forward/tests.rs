use std::{
    convert::Infallible,
    sync::atomic::{AtomicUsize, Ordering},
    time::Instant,
};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, uri::PathAndQuery};
use hyper::{body::Incoming, server::conn::http2, service::service_fn};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::{TcpListener, TcpStream};

use super::*;
use crate::{
    fake,
    gateway::{QueueId, WaitLimit},
};

/// How a fake gateway treats a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PeerMode {
    /// It answers checks, and no requests.
    Slow,
    /// It refuses each request, and closes the connection after the first.
    Closes,
    /// It reads nothing and answers nothing.
    Silent,
}

/// A fake gateway.
#[derive(Default)]
struct Peer {
    connections: AtomicUsize,
    /// Number of requests that are being handled.
    running: AtomicUsize,
    /// Number of requests that were cancelled.
    cancelled: AtomicUsize,
}

/// Counts a request as cancelled when it is dropped.
struct Running(Arc<Peer>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
        self.0.cancelled.fetch_add(1, Ordering::Relaxed);
    }
}

impl Peer {
    async fn start(mode: PeerMode) -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let peer = Arc::<Self>::default();
        let it = Arc::clone(&peer);
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("a connection");
                it.connections.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(Arc::clone(&it).serve(mode, stream));
            }
        });
        (peer, address)
    }

    async fn serve(self: Arc<Self>, mode: PeerMode, stream: TcpStream) {
        if mode == PeerMode::Silent {
            tokio::time::sleep(Duration::from_mins(1)).await;
            return;
        }
        let answered = Arc::new(tokio::sync::Notify::new());
        let first = Arc::clone(&answered);
        let service = service_fn(move |request: Request<Incoming>| {
            let peer = Arc::clone(&self);
            let answered = Arc::clone(&answered);
            async move {
                if hop::is_check(request.headers()) {
                    return Ok::<_, Infallible>(hop::check_answer());
                }
                if mode == PeerMode::Slow {
                    peer.running.fetch_add(1, Ordering::Relaxed);
                    let _running = Running(peer);
                    std::future::pending::<()>().await;
                }
                answered.notify_one();
                let refused = AttemptOutcome::not_sent(Reason::QueueFull);
                Ok(hop::response_of(refused))
            }
        });
        let io = TokioIo::new(stream);
        let mut connection =
            pin!(http2::Builder::new(TokioExecutor::new()).serve_connection(io, service));
        tokio::select! {
            _ = connection.as_mut() => return,
            () = first.notified() => connection.as_mut().graceful_shutdown(),
        }
        let _ = connection.await;
    }
}

fn host(node: &Node, address: SocketAddr) -> HostInfo {
    HostInfo {
        name: "h2".into(),
        forward: address,
        ..node.info.clone()
    }
}

fn request(node: &Node, timeout_ms: u64) -> GatewayRequest {
    let now = node.clock.now();
    let end = now + timeout_ms;
    GatewayRequest {
        queue: QueueId::Target("w1".into()),
        service: "workshop".into(),
        route: "slots".into(),
        key: None,
        priority: 0,
        wait_limit: WaitLimit::Deadline,
        arrived: now,
        objective: end,
        end,
        deadline: end,
        method: Method::GET,
        path: PathAndQuery::from_static("/slots/7"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    }
}

async fn holds(mut condition: impl FnMut() -> bool) -> bool {
    for _ in 0..200 {
        if condition() {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    false
}

/// Guards against a request that may run only once and is abandoned because its gateway does not
/// answer a check, against one that can be retried and waits in vain, and against new requests on a
/// connection that went silent.
#[tokio::test]
async fn a_silent_connection_fails_only_requests_that_can_be_retried() {
    struct Case {
        name: &'static str,
        port: u16,
        repeat: Repeat,
        stopping: bool,
        outcome: Reason,
        took_ms: std::ops::Range<u128>,
    }
    let cases = [
        Case {
            name: "idempotent",
            port: 7_800,
            repeat: Repeat::Allowed,
            stopping: false,
            outcome: Reason::GatewayLost,
            took_ms: 1_150..1_700,
        },
        Case {
            name: "not idempotent",
            port: 7_810,
            repeat: Repeat::Forbidden,
            stopping: false,
            outcome: Reason::DeadlineAfterStart,
            took_ms: 2_000..2_500,
        },
        Case {
            name: "idempotent, on a stopping host",
            port: 7_820,
            repeat: Repeat::Allowed,
            stopping: true,
            outcome: Reason::DeadlineAfterStart,
            took_ms: 2_000..2_500,
        },
    ];
    for case in cases {
        let node = fake::node("h1", case.port);
        let (peer, address) = Peer::start(PeerMode::Silent).await;
        let host = host(&node, address);
        if case.stopping {
            node.stop();
        }
        let began = Instant::now();
        let gateway_request = request(&node, 2_000);
        let sent = node
            .forwarder
            .send(&node, &host, &gateway_request, case.repeat);
        let outcome = sent.await;
        let took = began.elapsed().as_millis();
        let AttemptOutcome::Unknown(reason) = outcome else {
            panic!("{}: {outcome:?}", case.name);
        };
        assert_eq!(reason, case.outcome, "{}", case.name);
        assert!(case.took_ms.contains(&took), "{}: {took} ms", case.name);
        assert!(
            node.suspects.is_suspect("h2", node.clock.now()),
            "{}",
            case.name
        );
        let metrics = String::from_utf8(node.metrics.render()).expect("metrics are text");
        let counted = metrics
            .lines()
            .any(|it| it.starts_with("retired_connections_total") && it.ends_with(" 1"));
        assert!(counted, "{}: {metrics}", case.name);

        assert_eq!(peer.connections.load(Ordering::Relaxed), 1, "{}", case.name);
        let next = request(&node, 50);
        node.forwarder.send(&node, &host, &next, case.repeat).await;
        assert_eq!(peer.connections.load(Ordering::Relaxed), 2, "{}", case.name);
    }
}

/// Guards against connections that are retired because a target is slow, and against requests that
/// stay at the gateway when their caller has gone.
#[tokio::test]
async fn a_cancelled_request_is_cancelled_at_the_gateway() {
    let node = Arc::new(fake::node("h1", 7_830));
    let (peer, address) = Peer::start(PeerMode::Slow).await;
    let host = host(&node, address);
    let sender = Arc::clone(&node);
    let sent = tokio::spawn(async move {
        let gateway_request = request(&sender, 9_000);
        let forwarder = &sender.forwarder;
        forwarder
            .send(&sender, &host, &gateway_request, Repeat::Allowed)
            .await
    });
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert!(!sent.is_finished(), "checks are answered");
    assert_eq!(peer.running.load(Ordering::Relaxed), 1);
    sent.abort();
    let cancelled = holds(|| peer.cancelled.load(Ordering::Relaxed) == 1).await;
    assert!(cancelled, "the stream is reset");
    assert_eq!(peer.connections.load(Ordering::Relaxed), 1);
}

/// Guards against a request that fails because its gateway has closed an idle connection, and against
/// one connection for each request.
#[tokio::test]
async fn a_closed_connection_is_replaced() {
    let node = fake::node("h1", 7_840);
    let (peer, address) = Peer::start(PeerMode::Closes).await;
    let host = host(&node, address);
    for number in 1..=3 {
        let gateway_request = request(&node, 1_000);
        let sent = node
            .forwarder
            .send(&node, &host, &gateway_request, Repeat::Forbidden);
        let outcome = sent.await;
        let answered = matches!(
            outcome,
            AttemptOutcome::NotRun {
                reason: Reason::QueueFull,
                ..
            }
        );
        assert!(answered, "request {number}: {outcome:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(peer.connections.load(Ordering::Relaxed), 3);
}

/// Guards against requests that count as possibly run although no connection could be established,
/// and against a failure that is remembered.
#[tokio::test]
async fn a_request_without_a_connection_did_not_run() {
    let node = fake::node("h1", 7_850);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    drop(listener);
    let host = host(&node, address);
    let gateway_request = request(&node, 1_000);
    let sent = node
        .forwarder
        .send(&node, &host, &gateway_request, Repeat::Forbidden);
    let outcome = sent.await;
    let not_sent = matches!(
        outcome,
        AttemptOutcome::NotRun {
            reason: Reason::OwnerUnreachable,
            offered: false,
            ..
        }
    );
    assert!(not_sent, "{outcome:?}");
    let listener = TcpListener::bind(address).await.expect("the port is free");
    let sent = node
        .forwarder
        .send(&node, &host, &gateway_request, Repeat::Forbidden);
    let (accepted, _) = tokio::join!(listener.accept(), sent);
    assert!(accepted.is_ok());
}
