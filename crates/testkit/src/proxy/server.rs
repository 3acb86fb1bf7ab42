//! The listening port and the control port of the proxy.

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
    /// Connections accepted so far.
    pub connections: u64,
    /// Connections open now.
    pub open: u64,
}

/// Maximum number of connections that wait to be accepted; the same as in the standard library.
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
    /// Creates a proxy to `to`.
    #[must_use]
    pub fn new(to: SocketAddr) -> Self {
        Self {
            shared: Arc::default(),
            to: Arc::new(Mutex::new(to)),
        }
    }

    /// Sets the address to which connections accepted from now on are relayed.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned, which does not happen: no code panics while it holds it.
    pub fn retarget(&self, to: SocketAddr) {
        *self.to.lock().expect("lock is not poisoned") = to;
    }

    /// Accepts and relays connections until the process ends.
    ///
    /// # Panics
    ///
    /// Panics if the port cannot be bound again after a rule has closed it.
    pub async fn serve(self, mut listener: TcpListener) {
        let address = listener
            .local_addr()
            .expect("bound listener has an address");
        let mut rules = self.shared.rules.subscribe();
        self.shared.listening.send_replace(true);
        loop {
            let accepted = tokio::select! {
                it = listener.accept() => Some(it),
                _ = rules.wait_for(Rule::closes_port) => None,
            };
            match accepted {
                Some(Ok((client, _))) => {
                    tokio::spawn(self.clone().relay_connection(client));
                }
                Some(Err(_)) => {}
                None => {
                    drop(listener);
                    // Reserves the port, which another process could bind otherwise. A bound socket
                    // that does not listen refuses connections.
                    let socket = TcpSocket::new_v4().expect("socket can be created");
                    let bound = socket
                        .set_reuseaddr(true)
                        .and_then(|()| socket.bind(address));
                    bound.expect("port can be bound again at once");
                    self.shared.listening.send_replace(false);
                    // The sender is a field of `self`, so the wait cannot fail.
                    let _ = rules.wait_for(|it| !it.closes_port()).await;
                    listener = socket.listen(BACKLOG).expect("socket is still bound");
                    self.shared.listening.send_replace(true);
                }
            }
        }
    }

    /// Answers a call on the control port.
    ///
    /// # Errors
    ///
    /// Fails if the caller disconnects.
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
                Ok(json_answer(StatusCode::OK, &self.set_rule(rule).await))
            }
            (&Method::GET, "/counts") => Ok(json_answer(StatusCode::OK, &self.counts())),
            _ => Ok(empty(StatusCode::NOT_FOUND)),
        }
    }

    /// Replaces the rule in force. The new rule applies to all bytes that are read after the
    /// return.
    pub async fn set_rule(&self, mut rule: Rule) -> Rule {
        rule.boundary = self.shared.connections.load(Ordering::SeqCst);
        self.shared.rules.send_replace(rule);
        // Returns only after the port has been opened or closed, so that the caller can rely on it.
        // The sender is a field of `self`, so the wait cannot fail.
        let open = !rule.closes_port();
        let mut listening = self.shared.listening.subscribe();
        let _ = listening.wait_for(|it| *it == open).await;
        rule
    }

    /// Returns the counters.
    #[must_use]
    pub fn counts(&self) -> ProxyCounts {
        let shared = &self.shared;
        ProxyCounts {
            up: shared.up.load(Ordering::Relaxed),
            down: shared.down.load(Ordering::Relaxed),
            connections: shared.connections.load(Ordering::SeqCst),
            open: shared.open.load(Ordering::SeqCst),
        }
    }

    async fn relay_connection(self, client: TcpStream) {
        let number = self.shared.connections.fetch_add(1, Ordering::SeqCst);
        self.shared.open.fetch_add(1, Ordering::SeqCst);
        let to = *self.to.lock().expect("lock is not poisoned");
        if let Ok(server) = TcpStream::connect(to).await {
            relay(&self.shared, number, client, server).await;
        }
        self.shared.open.fetch_sub(1, Ordering::SeqCst);
    }
}
