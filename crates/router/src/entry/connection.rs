//! Serves one connection of a caller.

use std::{
    collections::HashMap,
    convert::Infallible,
    future::poll_fn,
    pin::{Pin, pin},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    task::Poll,
    time::Duration,
};

use http::{Request, Response, request::Parts};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use pool::{MAX_HEAD_BYTES, max_headers};
use routing::Repeat;
use tokio::{net::TcpStream, sync::watch, task::JoinHandle};

use super::{answer, deliver, read_ahead::ReadAhead, request::RoutedRequest, server::Body};
use crate::{node::Node, observe};

/// Timeout for the head of a request and for an idle connection while there is no configuration.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(15);

/// Longest time for which a closed connection is still read, so that the caller gets the last
/// answer.
const LINGER_LIMIT: Duration = Duration::from_secs(1);

/// Maximum number of pipelined requests of one connection that run early.
const MAX_EARLY: usize = 16;

/// Bytes that are buffered unread, and the longest head of a request, unless the configuration allows
/// longer ones.
const MIN_BUFFER_BYTES: usize = 64 << 10;

/// Number of headers that a request may have whatever the configuration says, as in most servers.
const MIN_HEADERS: usize = 100;

/// State shared by the connection and its requests.
struct Shared {
    node: Arc<Node>,
    /// Number of requests that the HTTP server has started to handle.
    started: AtomicU64,
    /// Pipelined requests that run early, by number.
    early: Mutex<HashMap<u64, EarlyRequest>>,
}

/// A pipelined request that runs before the HTTP server handles it; aborted on drop.
struct EarlyRequest(JoinHandle<Response<Body>>);

impl Drop for EarlyRequest {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Serves a connection until the caller closes it, or until `closed` turns true and the requests in
/// flight are answered. Pipelined requests that arrive later do not run early, since a caller that
/// always has some in flight would keep the connection open for ever.
pub(super) async fn serve(node: Arc<Node>, stream: TcpStream, mut closed: watch::Receiver<bool>) {
    let limits = node.catalog.load().as_ref().map(|it| *it.limits());
    // One timer covers both the head of a request and the time without a request, so the longer
    // limit applies.
    let timeout = limits.map_or(DEFAULT_TIMEOUT, |it| {
        Duration::from_millis(it.idle_ms.max(it.head_ms))
    });
    let head_bytes = limits.map_or(MIN_BUFFER_BYTES, |it| it.head_bytes);
    let head_bytes = head_bytes.min(MAX_HEAD_BYTES);
    let ahead = ReadAhead::new(stream);
    let shared = Arc::new(Shared {
        node,
        started: AtomicU64::new(0),
        early: Mutex::default(),
    });
    let service = {
        let shared = Arc::clone(&shared);
        service_fn(move |request| {
            let shared = Arc::clone(&shared);
            Box::pin(async move { Ok::<_, Infallible>(shared.answer(request).await) })
        })
    };
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(timeout)
        .max_buf_size(head_bytes.max(MIN_BUFFER_BYTES))
        .max_headers(max_headers(head_bytes).max(MIN_HEADERS))
        .serve_connection(TokioIo::new(ahead.clone()), service);
    let mut close = pin!(async move {
        // The sender outlives the connections.
        let _ = closed.wait_for(|it| *it).await;
    });
    let mut closing = false;
    let mut shutting_down = false;
    let ended = poll_fn(|cx| {
        closing = closing || close.as_mut().poll(cx).is_ready();
        if let Poll::Ready(ended) = connection.poll_without_shutdown(cx) {
            return Poll::Ready(ended.is_ok());
        }
        if closing && !shutting_down && shared.early().is_empty() {
            shutting_down = true;
            Pin::new(&mut connection).graceful_shutdown();
            if let Poll::Ready(ended) = connection.poll_without_shutdown(cx) {
                return Poll::Ready(ended.is_ok());
            }
        }
        let gone = ahead.poll_read_ahead(cx).is_ready();
        let heads = ahead.take_heads();
        if !closing {
            shared.start_early(heads);
        }
        if gone {
            // The caller has closed the connection, so no answer is needed.
            return Poll::Ready(false);
        }
        Poll::Pending
    })
    .await;
    drop(connection);
    if ended {
        // Nothing is left to do whether the caller closed the connection or the time limit passed.
        let _ = tokio::time::timeout(LINGER_LIMIT, ahead.linger()).await;
    }
}

impl Shared {
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let number = self.started.fetch_add(1, Ordering::Relaxed);
        let early = self.early().remove(&number);
        if let Some(mut early) = early
            && let Ok(response) = (&mut early.0).await
        {
            return response;
        }
        let (parts, body) = request.into_parts();
        let id = parts.headers.get(&self.node.profile.attempt).cloned();
        let routed = match RoutedRequest::new(&self.node, parts) {
            Ok(routed) => routed.with_body(&self.node, body).await,
            Err(reason) => Err(reason),
        };
        match routed {
            Ok(routed) => run(&self.node, &routed).await,
            Err(reason) => {
                observe::refused_unread(&self.node, id.as_ref(), reason);
                answer::refuse(&self.node, &reason.into())
            }
        }
    }

    /// Starts idempotent pipelined requests while an earlier one is being answered.
    fn start_early(&self, heads: Vec<(u64, Parts)>) {
        for (number, parts) in heads {
            if number < self.started.load(Ordering::Relaxed) {
                continue;
            }
            let mut early = self.early();
            if early.len() >= MAX_EARLY {
                return;
            }
            let Ok(routed) = RoutedRequest::new(&self.node, parts) else {
                continue;
            };
            if routed.route.repeat != Repeat::Allowed {
                continue;
            }
            let node = Arc::clone(&self.node);
            let task = tokio::spawn(async move { run(&node, &routed).await });
            early.insert(number, EarlyRequest(task));
        }
    }

    fn early(&self) -> std::sync::MutexGuard<'_, HashMap<u64, EarlyRequest>> {
        self.early.lock().expect("lock is not poisoned")
    }
}

async fn run(node: &Arc<Node>, routed: &RoutedRequest) -> Response<Body> {
    match deliver::run(node, routed).await {
        Ok(response) => response,
        Err(refusal) => answer::refuse(node, &refusal),
    }
}
