use http::{HeaderMap, Method, uri::PathAndQuery};
use http_body_util::BodyExt;
use hyper::client::conn::http2;

use super::*;
use crate::{
    fake,
    gateway::{QueueId, WaitLimit, hop},
};

/// Sends a request to the gateway of a host; returns the outcome that it reports.
async fn send(node: Arc<Node>, request: Request<Full<Bytes>>) -> AttemptOutcome {
    let address = node.settings.forward;
    tokio::spawn(bind(node).await.expect("the port is free"));
    let stream = TcpStream::connect(address).await;
    let io = TokioIo::new(stream.expect("the port is open"));
    let (mut sender, connection) = http2::handshake(TokioExecutor::new(), io)
        .await
        .expect("the gateway speaks HTTP/2");
    tokio::spawn(connection);
    let answer = sender.send_request(request).await;
    let (parts, body) = answer.expect("the gateway answers").into_parts();
    let body = body
        .collect()
        .await
        .expect("the body is complete")
        .to_bytes();
    hop::outcome_of(Response::from_parts(parts, body))
}

/// Guards against mistaking a gateway's own answer for the answer of a target.
#[tokio::test]
async fn a_request_that_cannot_be_read_did_not_run() {
    let node = Arc::new(fake::node("h1", 7_300));
    let request = Request::get("http://h1/slots/7").body(Full::<Bytes>::default());
    let outcome = send(node, request.expect("the request is valid")).await;
    let not_run = matches!(
        outcome,
        AttemptOutcome::NotRun {
            reason: Reason::NotGateway,
            offered: false,
            ..
        }
    );
    assert!(not_run, "{outcome:?}");
}

/// Guards against a forwarded request that a stopping gateway takes and aborts when it ends, against
/// the refusal of one that it can answer, and against one that waits for an owner at a host which
/// has started while the store was away and knows no targets.
#[tokio::test]
async fn a_gateway_takes_only_requests_that_it_can_answer() {
    struct Case {
        port: u16,
        synced: bool,
        stopping: bool,
        /// Time until the request must have been answered.
        timeout_ms: u64,
        reason: Reason,
    }
    let cases = [
        Case {
            port: 7_310,
            synced: true,
            stopping: false,
            timeout_ms: 9_000,
            reason: Reason::NoOwner,
        },
        Case {
            port: 7_320,
            synced: true,
            stopping: true,
            timeout_ms: 1_000,
            reason: Reason::NoOwner,
        },
        Case {
            port: 7_330,
            synced: true,
            stopping: true,
            timeout_ms: 9_000,
            reason: Reason::OwnerUnreachable,
        },
        Case {
            port: 7_370,
            synced: false,
            stopping: false,
            timeout_ms: 1_000,
            reason: Reason::OwnerUnreachable,
        },
    ];
    for case in cases {
        let node = Arc::new(fake::node("h1", case.port));
        if case.synced {
            node.set_synced_at(node.clock.now());
        }
        if case.stopping {
            node.stop();
        }
        let now = node.clock.now();
        let end = now + case.timeout_ms;
        let request = GatewayRequest {
            queue: QueueId::Pool {
                service: "workshop".into(),
                place: "catania".into(),
            },
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
        };
        let outcome = send(node, hop::request_of(&request, "h1", now)).await;
        // The fake platform has no targets.
        let AttemptOutcome::NotRun {
            reason, offered, ..
        } = outcome
        else {
            panic!("{outcome:?}");
        };
        assert_eq!((reason, offered), (case.reason, false));
    }
}
