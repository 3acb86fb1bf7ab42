//! One connection of a caller.

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
use routing::Repeat;
use tokio::{net::TcpStream, sync::watch, task::JoinHandle};

use super::{ahead::Ahead, answer, deliver, request::Call, server::Body};
use crate::{node::Node, observe};

/// Time limits while no configuration states any: for the head of a request and for an idle
/// connection.
const HEAD_LIMIT: Duration = Duration::from_secs(15);

/// Longest time for which a closed connection is read on, so that the caller gets the last answer.
const LINGER: Duration = Duration::from_secs(1);

/// Requests of one connection that run ahead of their turn.
const EARLY: usize = 16;

/// What the connection and its requests share.
struct Shared {
    node: Arc<Node>,
    /// Requests whose turn has come.
    begun: AtomicU64,
    /// Requests that run ahead of their turn, by number.
    early: Mutex<HashMap<u64, Early>>,
}

/// A request that runs ahead of its turn; it ends with the connection.
struct Early(JoinHandle<Response<Body>>);

impl Drop for Early {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Serves a connection until the caller closes it, or `closing` turns true and the requests that
/// have begun are answered.
pub(super) async fn serve(node: Arc<Node>, stream: TcpStream, mut closing: watch::Receiver<bool>) {
    let limits = node.catalog.load().as_ref().map(|it| *it.limits());
    let idle = limits.map_or(HEAD_LIMIT, |it| {
        Duration::from_millis(it.idle_ms.max(it.head_ms))
    });
    let ahead = Ahead::new(stream);
    let shared = Arc::new(Shared {
        node,
        begun: AtomicU64::new(0),
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
        .header_read_timeout(idle)
        .serve_connection(TokioIo::new(ahead.clone()), service);
    let mut close = pin!(async move {
        // The sender lives as long as the port.
        let _ = closing.wait_for(|it| *it).await;
    });
    let mut asked = false;
    let ended = poll_fn(|cx| {
        if !asked && shared.early().is_empty() && close.as_mut().poll(cx).is_ready() {
            asked = true;
            Pin::new(&mut connection).graceful_shutdown();
        }
        if let Poll::Ready(ended) = connection.poll_without_shutdown(cx) {
            return Poll::Ready(ended.is_ok());
        }
        let gone = ahead.poll_ahead(cx).is_ready();
        let heads = ahead.take_heads();
        if !asked {
            shared.begin_early(heads);
        }
        if gone {
            // The caller has closed the connection, so nobody waits for the answers.
            return Poll::Ready(false);
        }
        Poll::Pending
    })
    .await;
    drop(connection);
    if ended {
        // Whether the caller closes the connection or the time is over, nothing more is to be done.
        let _ = tokio::time::timeout(LINGER, ahead.linger()).await;
    }
}

impl Shared {
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let number = self.begun.fetch_add(1, Ordering::Relaxed);
        let early = self.early().remove(&number);
        if let Some(mut early) = early
            && let Ok(response) = (&mut early.0).await
        {
            return response;
        }
        let (parts, body) = request.into_parts();
        let id = parts.headers.get(&self.node.profile.attempt).cloned();
        let call = match Call::new(&self.node, parts) {
            Ok(call) => call.with_body(body).await,
            Err(reason) => Err(reason),
        };
        match call {
            Ok(call) => run(&self.node, &call).await,
            Err(reason) => {
                observe::unread(&self.node, id.as_ref(), reason);
                answer::refuse(&self.node, &reason.into())
            }
        }
    }

    /// Starts idempotent requests that came behind one that is being answered.
    fn begin_early(&self, heads: Vec<(u64, Parts)>) {
        for (number, parts) in heads {
            if number < self.begun.load(Ordering::Relaxed) {
                continue;
            }
            let mut early = self.early();
            if early.len() >= EARLY {
                return;
            }
            let Ok(call) = Call::new(&self.node, parts) else {
                continue;
            };
            if call.route.repeat == Repeat::Forbidden {
                continue;
            }
            let node = Arc::clone(&self.node);
            let task = tokio::spawn(async move { run(&node, &call).await });
            early.insert(number, Early(task));
        }
    }

    fn early(&self) -> std::sync::MutexGuard<'_, HashMap<u64, Early>> {
        self.early.lock().expect("no holder of the lock panics")
    }
}

async fn run(node: &Arc<Node>, call: &Call) -> Response<Body> {
    match deliver::run(node, call).await {
        Ok(response) => response,
        Err(refusal) => answer::refuse(node, &refusal),
    }
}
