use hyper::client::conn::http2;

use super::*;
use crate::{fake, gateway::hop};

/// Guards against mistaking a gateway's own answer for the answer of a target.
#[tokio::test]
async fn a_request_that_cannot_be_read_did_not_run() {
    let node = Arc::new(fake::node("h1", 7_300));
    tokio::spawn(bind(Arc::clone(&node)).await.expect("the port is free"));
    let stream = TcpStream::connect(node.settings.forward).await;
    let io = TokioIo::new(stream.expect("the port is open"));
    let (mut sender, connection) = http2::handshake(TokioExecutor::new(), io)
        .await
        .expect("the gateway speaks HTTP/2");
    tokio::spawn(connection);
    let request = Request::get("http://h1/slots/7").body(Full::<Bytes>::default());
    let answer = sender
        .send_request(request.expect("the request is valid"))
        .await;
    let (parts, body) = answer.expect("the gateway answers").into_parts();
    let body = body
        .collect()
        .await
        .expect("the body is complete")
        .to_bytes();
    let outcome = hop::outcome_of(Response::from_parts(parts, body));
    let not_run = matches!(
        outcome,
        AttemptOutcome::NotRun {
            reason: Reason::NotGateway,
            offered: false
        }
    );
    assert!(not_run, "{outcome:?}");
}
