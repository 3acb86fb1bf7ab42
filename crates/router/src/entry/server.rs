//! The port for requests of callers.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use tokio::net::{TcpListener, TcpStream};

use super::{answer, deliver, request::Call};
use crate::node::Node;

/// Pause after a failed accept, for example when all file descriptors are in use.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time limit for the head of a request while no configuration states one; also for idle
/// connections.
const HEAD_LIMIT: Duration = Duration::from_secs(15);

/// Part of the time between the request to stop and the end of the process in which requests may
/// still end, in percent.
const GRACE_PERCENT: u32 = 95;

/// Body of an answer to a caller.
pub type Body = Full<Bytes>;

/// Serves requests until `stop` resolves; then lets the requests in flight end.
pub async fn serve(node: Arc<Node>, listener: TcpListener, stop: impl Future<Output = ()>) {
    let graceful = GracefulShutdown::new();
    let mut stop = std::pin::pin!(stop);
    loop {
        let accepted = tokio::select! {
            () = &mut stop => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => connection(&node, &graceful, stream),
            Err(err) => {
                log::warn!("a connection of a caller cannot be accepted: {err}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    let limit = Duration::from_secs_f64(node.settings.bounds.grace) * GRACE_PERCENT / 100;
    if tokio::time::timeout(limit, graceful.shutdown())
        .await
        .is_err()
    {
        log::warn!("requests in flight did not end in time");
    }
}

fn connection(node: &Arc<Node>, graceful: &GracefulShutdown, stream: TcpStream) {
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!("TCP_NODELAY cannot be set: {err}");
    }
    let node = Arc::clone(node);
    let service = service_fn(move |request| {
        let node = Arc::clone(&node);
        async move { Ok::<_, Infallible>(answer(&node, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_LIMIT)
        .pipeline_flush(true)
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(err) = connection.await {
            log::debug!("a connection of a caller ended: {err}");
        }
    });
}

async fn answer(node: &Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let call = match Call::read(node, request).await {
        Ok(call) => call,
        Err(reason) => return answer::refuse(node, &reason.into()),
    };
    match deliver::run(node, &call).await {
        Ok(response) => response,
        Err(refusal) => answer::refuse(node, &refusal),
    }
}
