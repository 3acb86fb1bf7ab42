//! Listening port and control port of the proxy.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
};

use super::{Rule, relay::relay};
use crate::serve::{Body, Closed, empty, json_answer, read_body};

/// Counters of the proxy.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct ProxyCounts {
    /// Bytes passed from the connecting side.
    pub up: u64,
    /// Bytes passed towards the connecting side.
    pub down: u64,
    /// Connections accepted.
    pub connections: u64,
    /// Connections open now.
    pub open: u64,
}

/// Connections that wait to be accepted: as many as the standard library allows.
const BACKLOG: u32 = 128;

#[derive(Default)]
pub(super) struct Shared {
    pub(super) up: AtomicU64,
    pub(super) down: AtomicU64,
    connections: AtomicU64,
    open: AtomicU64,
    pub(super) rules: watch::Sender<Rule>,
    /// Whether the listening port is open.
    listening: watch::Sender<bool>,
}

/// The proxy; clones share one state.
#[derive(Clone)]
pub struct ProxyServer {
    shared: Arc<Shared>,
    to: Arc<Mutex<SocketAddr>>,
}

impl ProxyServer {
    /// Creates a proxy that connects to `to`.
    #[must_use]
    pub fn new(to: SocketAddr) -> Self {
        Self {
            shared: Arc::default(),
            to: Arc::new(Mutex::new(to)),
        }
    }

    /// Connects to another address from now on.
    ///
    /// # Panics
    ///
    /// Does not panic: no holder of the lock does.
    pub fn retarget(&self, to: SocketAddr) {
        *self.to.lock().expect("no holder of the lock panics") = to;
    }

    /// Accepts and relays connections for ever.
    ///
    /// # Panics
    ///
    /// Panics if the port cannot be bound again after a time of refusal.
    pub async fn serve(self, mut listener: TcpListener) {
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        let mut rules = self.shared.rules.subscribe();
        self.shared.listening.send_replace(true);
        loop {
            let accepted = tokio::select! {
                it = listener.accept() => Some(it),
                _ = rules.wait_for(Rule::refuses) => None,
            };
            match accepted {
                Some(Ok((near, _))) => {
                    tokio::spawn(self.clone().connection(near));
                }
                Some(Err(_)) => {}
                None => {
                    drop(listener);
                    // Keeps the port, which another process could take otherwise. A socket that
                    // does not listen refuses connections.
                    let socket = TcpSocket::new_v4().expect("there are sockets");
                    let bound = socket
                        .set_reuseaddr(true)
                        .and_then(|()| socket.bind(address));
                    bound.expect("the port is free at once");
                    self.shared.listening.send_replace(false);
                    // The sender is a field of `self`, so the wait cannot fail.
                    let _ = rules.wait_for(|it| !it.refuses()).await;
                    listener = socket.listen(BACKLOG).expect("the port is still bound");
                    self.shared.listening.send_replace(true);
                }
            }
        }
    }

    /// Answers a call on the control port.
    ///
    /// # Errors
    ///
    /// Fails if the caller goes away.
    pub async fn control(self, request: Request<Incoming>) -> Result<Response<Body>, Closed> {
        let (head, body) = request.into_parts();
        let body = read_body(body).await?;
        match (&head.method, head.uri.path()) {
            (&Method::PUT, "/control") => {
                let rule: Rule = match serde_json::from_slice(&body) {
                    Ok(it) => it,
                    Err(err) => {
                        let error = json!({"error": err.to_string()});
                        return Ok(json_answer(StatusCode::BAD_REQUEST, &error));
                    }
                };
                Ok(json_answer(StatusCode::OK, &self.set(rule).await))
            }
            (&Method::GET, "/counts") => Ok(json_answer(StatusCode::OK, &self.counts())),
            _ => Ok(empty(StatusCode::NOT_FOUND)),
        }
    }

    /// Puts a rule in force. It holds for all bytes that are read after the return.
    pub async fn set(&self, mut rule: Rule) -> Rule {
        rule.boundary = self.shared.connections.load(Ordering::SeqCst);
        self.shared.rules.send_replace(rule);
        // The caller may rely on the state of the port. The sender is a field of `self`, so the
        // wait cannot fail.
        let open = !rule.refuses();
        let mut listening = self.shared.listening.subscribe();
        let _ = listening.wait_for(|it| *it == open).await;
        rule
    }

    fn counts(&self) -> ProxyCounts {
        let shared = &self.shared;
        ProxyCounts {
            up: shared.up.load(Ordering::Relaxed),
            down: shared.down.load(Ordering::Relaxed),
            connections: shared.connections.load(Ordering::SeqCst),
            open: shared.open.load(Ordering::SeqCst),
        }
    }

    async fn connection(self, near: TcpStream) {
        let number = self.shared.connections.fetch_add(1, Ordering::SeqCst);
        self.shared.open.fetch_add(1, Ordering::SeqCst);
        let to = *self.to.lock().expect("no holder of the lock panics");
        if let Ok(far) = TcpStream::connect(to).await {
            relay(&self.shared, number, near, far).await;
        }
        self.shared.open.fetch_sub(1, Ordering::SeqCst);
    }
}
