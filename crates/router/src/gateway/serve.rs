//! The port for requests that other hosts forward.

use std::{convert::Infallible, io, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body::Body as _;
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http2, service::service_fn};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use pool::{AnswerError, MAX_HEADER_LIST_BYTES};
use refusal::Reason;
use tokio::net::{TcpListener, TcpStream};

use super::{AttemptOutcome, GatewayRequest, exchange, hop};
use crate::{accept::accept, entry::MAX_BODY_BYTES, node::Node, observe::LineKind};

/// Bytes of a body that another host may send before this one reads it. Most bodies fit; the rest of a
/// longer one does not use up the link between regions if the request is refused.
const UNREAD_BODY_BYTES: u32 = 16 << 10;

/// Binds the port; resolves to the loop that serves it.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn bind(node: Arc<Node>) -> io::Result<impl Future<Output = ()>> {
    let listener = TcpListener::bind(node.settings.forward).await?;
    Ok(async move {
        loop {
            serve(&node, accept(&listener, "a host").await);
        }
    })
}

fn serve(node: &Arc<Node>, stream: TcpStream) {
    let node = Arc::clone(node);
    let service = service_fn(move |request| {
        let node = Arc::clone(&node);
        async move { Ok::<_, Infallible>(answer(&node, request).await) }
    });
    let connection = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .max_concurrent_streams(4_096)
        .max_header_list_size(MAX_HEADER_LIST_BYTES)
        .initial_stream_window_size(UNREAD_BODY_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::spawn(async move {
        if let Err(err) = connection.await {
            log::debug!("a connection of a host ended: {err}");
        }
    });
}

async fn answer(node: &Arc<Node>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    if hop::is_check(request.headers()) {
        return hop::check_answer();
    }
    let (parts, body) = request.into_parts();
    let head = Request::from_parts(parts, Bytes::new());
    let Some(request) = hop::gateway_request_of(head, node.clock.now()) else {
        log_unreadable(node);
        return hop::response_of(AttemptOutcome::not_sent(Reason::NotGateway));
    };
    if !can_answer(node, &request) {
        // The entry host tries the next gateway.
        return hop::response_of(AttemptOutcome::not_sent(Reason::OwnerUnreachable));
    }
    let is_long = body.size_hint().lower() > u64::from(UNREAD_BODY_BYTES);
    if is_long && let Err(reason) = exchange::check_room(node, &request) {
        return hop::response_of(AttemptOutcome::not_sent(reason));
    }
    let queue = request.queue.clone();
    let outcome = match with_body(node, request, body).await {
        Ok(it) => exchange::run(node, &it).await,
        Err(reason) => AttemptOutcome::not_sent(reason),
    };
    let mut response = hop::response_of(outcome);
    if let Some(wait_ms) = node.queues.pool_wait_ms(&queue) {
        hop::put_wait(&mut response, wait_ms);
    }
    response
}

/// Reads the body of a forwarded request.
async fn with_body(
    node: &Node,
    mut request: GatewayRequest,
    body: Incoming,
) -> Result<GatewayRequest, Reason> {
    let left = Duration::from_millis(request.end.saturating_sub(node.clock.now()));
    let body = node.request_limits.read_kept(body, MAX_BODY_BYTES);
    match tokio::time::timeout(left, body).await {
        Ok(Ok(body)) => {
            request.body = body;
            Ok(request)
        }
        Ok(Err(AnswerError::TooManyBytes)) => Err(Reason::QueueFull),
        Ok(Err(_)) => {
            log_unreadable(node);
            Err(Reason::NotGateway)
        }
        Err(_) => Err(Reason::DeadlineBeforeStart),
    }
}

fn log_unreadable(node: &Node) {
    if let Some(left_out) = node.may_log(LineKind::Attempt) {
        log::warn!(left_out; "a forwarded request is truncated, too long or malformed");
    }
}

/// Whether this host can answer a forwarded request: it knows targets, and does not end before the
/// request must have been answered. Without a coordinator, hosts forward to a host that has
/// restarted as they did before.
fn can_answer(node: &Node, request: &GatewayRequest) -> bool {
    let period = node.grace_period.get();
    node.is_synced() && period.is_none_or(|it| it.admits_forwarded(request))
}

#[cfg(test)]
mod tests;
