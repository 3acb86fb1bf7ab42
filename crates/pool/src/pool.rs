//! Connections to one server.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use http::HeaderValue;
use tokio::{
    net::TcpStream,
    sync::Notify,
    time::{Instant, timeout_at},
};

use crate::Sender;

/// Longest wait for a connection that is being closed, while as many are open as the limit allows.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(50);

/// A bounded set of HTTP/1.1 connections to one server.
pub struct Pool {
    address: SocketAddr,
    limit: AtomicUsize,
    idle: Mutex<Vec<Sender>>,
    /// Whether the server has closed an idle connection since the last call of `take_broken`.
    broken: AtomicBool,
    open: Arc<OpenCount>,
}

/// Whether a connection may have been used before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// An idle or a new connection.
    Any,
    /// Only a new connection, because existing ones may no longer get answers.
    New,
}

/// Why no connection is available.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectError {
    /// The server refused the connection: nothing listens at its address.
    Refused,
    /// The connection failed for another reason or was not established within the timeout.
    Unreachable,
    /// As many connections are in use as the limit of the pool allows.
    Exhausted,
}

impl Pool {
    /// Creates an empty pool of at most `limit` connections, which the server must accept at the
    /// same time.
    #[must_use]
    pub fn new(address: SocketAddr, limit: usize) -> Self {
        Self {
            address,
            limit: AtomicUsize::new(limit),
            idle: Mutex::default(),
            broken: AtomicBool::new(false),
            open: Arc::default(),
        }
    }

    /// The address of the server as the authority of a request.
    ///
    /// # Panics
    ///
    /// Does not panic: the text of an address is a valid header value.
    #[must_use]
    pub fn authority(&self) -> HeaderValue {
        HeaderValue::from_str(&self.address.to_string())
            .expect("an address is a valid header value")
    }

    /// Changes the maximum number of connections.
    pub fn set_limit(&self, limit: usize) {
        self.limit.store(limit, Ordering::Relaxed);
    }

    /// Takes an idle connection if `freshness` allows it, or opens a new one.
    ///
    /// # Errors
    ///
    /// Fails if no connection is available within `timeout`.
    pub async fn checkout(
        &self,
        freshness: Freshness,
        timeout: Duration,
    ) -> Result<Sender, ConnectError> {
        if freshness == Freshness::Any {
            let mut idle = self.idle();
            while let Some(sender) = idle.pop() {
                if sender.is_ready() {
                    return Ok(sender);
                }
                if !sender.is_expired() {
                    self.broken.store(true, Ordering::Relaxed);
                }
            }
        }
        let until = Instant::now() + timeout;
        if self.is_full() {
            // Closes idle connections, so that the new one does not exceed the limit. Others may be
            // closing too: of answers that said so, or that were not read.
            let closed = std::mem::take(&mut *self.idle());
            let is_any_open = closed.iter().any(|it| !it.is_closed());
            drop(closed);
            let soon = until.min(Instant::now() + CLOSE_TIMEOUT);
            let room_until = if is_any_open { until } else { soon };
            if timeout_at(room_until, self.room()).await.is_err() {
                return Err(ConnectError::Exhausted);
            }
        }
        timeout_at(until, self.connect())
            .await
            .unwrap_or(Err(ConnectError::Unreachable))
    }

    fn is_full(&self) -> bool {
        self.open.number.load(Ordering::Relaxed) >= self.limit.load(Ordering::Relaxed)
    }

    /// Waits until another connection is allowed.
    async fn room(&self) {
        loop {
            let closed = self.open.closed.notified();
            if !self.is_full() {
                return;
            }
            closed.await;
        }
    }

    /// Returns a connection to the pool after its last response was read completely.
    pub fn put_back(&self, sender: Sender) {
        if sender.is_closed() || sender.is_expired() {
            return;
        }
        self.idle().push(sender);
    }

    /// Whether since the last call a connection that was to be used had been closed by the server
    /// while it was idle, for example because its process ended.
    pub fn take_broken(&self) -> bool {
        self.broken.swap(false, Ordering::Relaxed)
    }

    /// Closes all idle connections. Used after a connection got no answer or broke, because others
    /// of the same age may be broken too.
    pub fn close_idle(&self) {
        self.idle().clear();
    }

    async fn connect(&self) -> Result<Sender, ConnectError> {
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|err| match err.kind() {
                std::io::ErrorKind::ConnectionRefused => ConnectError::Refused,
                _ => ConnectError::Unreachable,
            })?;
        if let Err(err) = stream.set_nodelay(true) {
            log::debug!("TCP_NODELAY cannot be set: {err}");
        }
        // An abandoned connection is reset instead of closed, so that bytes that are still in
        // flight are discarded and not acted upon later.
        if let Err(err) = stream.set_zero_linger() {
            log::debug!("SO_LINGER cannot be set: {err}");
        }
        let (sender, connection) = Sender::new(stream)
            .await
            .map_err(|_| ConnectError::Unreachable)?;
        let open = OpenGuard::new(Arc::clone(&self.open));
        tokio::spawn(async move {
            let _open = open;
            if let Err(err) = connection.await {
                log::debug!("connection to a server failed: {err}");
            }
        });
        Ok(sender)
    }

    fn idle(&self) -> std::sync::MutexGuard<'_, Vec<Sender>> {
        self.idle.lock().expect("lock is not poisoned")
    }
}

/// The number of open connections.
#[derive(Default)]
struct OpenCount {
    number: AtomicUsize,
    /// Notified when a connection has been closed.
    closed: Notify,
}

/// Counts one open connection until it is dropped.
struct OpenGuard(Arc<OpenCount>);

impl OpenGuard {
    fn new(open: Arc<OpenCount>) -> Self {
        open.number.fetch_add(1, Ordering::Relaxed);
        Self(open)
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.number.fetch_sub(1, Ordering::Relaxed);
        self.0.closed.notify_waiters();
    }
}

#[cfg(test)]
mod tests;
