//! One connection to another host.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use displaydoc::Display;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    client::conn::http2::{self, SendRequest},
    rt::Executor,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use pool::{AnswerError, AnswerLimits, MAX_HEADER_LIST_BYTES};
use process::BootClock;
use thiserror::Error;
use tokio::{net::TcpStream, sync::Notify};
use tokio_util::sync::CancellationToken;

use super::{
    liveness::{CHECK_TIMEOUT_MS, Liveness, Step},
    received::{Received, ReceivingStream},
    task_scope::TaskScope,
};
use crate::{gateway::hop, observe::Metrics};

/// Longest wait for a new connection to another host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after which a connection without requests is closed, so that those to hosts that have left
/// without closing them do not accumulate.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);

/// HTTP/2 flow-control window of one answer.
const STREAM_WINDOW_BYTES: u32 = 64 * 1024;

/// HTTP/2 flow-control window of one connection.
const CONNECTION_WINDOW_BYTES: u32 = 1024 * 1024;

/// Why a connection could not be established.
#[derive(Debug, Display, Error)]
pub enum ConnectError {
    /// it was refused or failed: {0}
    Io(#[from] io::Error),
    /// HTTP/2 could not be started: {0}
    Protocol(#[from] hyper::Error),
    /// it took too long
    Timeout,
}

/// Why a request was not answered.
#[derive(Debug)]
pub enum FetchError {
    /// The connection is closed; no byte of the request was handed to it.
    NotSent,
    /// The request may have arrived.
    Lost(AnswerError),
}

#[derive(Debug, Default)]
struct Usage {
    requests: usize,
    retired: bool,
}

/// A connection that carries requests to another host until it fails or is retired.
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    received: Arc<Received>,
    usage: Mutex<Usage>,
    /// Notified when a request begins.
    request_begun: Notify,
    retirement: CancellationToken,
    tasks: TaskScope,
}

impl Connection {
    /// Connects to a host.
    pub async fn connect(
        address: SocketAddr,
        clock: BootClock,
        metrics: Arc<Metrics>,
    ) -> Result<Arc<Self>, ConnectError> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| ConnectError::Timeout)??;
        stream.set_nodelay(true)?;
        let (stream, received) = ReceivingStream::new(stream, clock);
        let tasks = TaskScope::default();
        // hyper's own keep-alive is not used, because it ends the connection and all requests on it.
        let (sender, driver) = http2::Builder::new(tasks.clone())
            .timer(TokioTimer::new())
            .max_header_list_size(MAX_HEADER_LIST_BYTES)
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .handshake(TokioIo::new(stream))
            .await?;
        let connection = Arc::new(Self {
            address,
            sender,
            received,
            usage: Mutex::default(),
            request_begun: Notify::new(),
            retirement: CancellationToken::new(),
            tasks,
        });
        let watched = Arc::clone(&connection);
        connection.tasks.execute(async move {
            tokio::select! {
                ended = driver => {
                    if let Err(err) = ended {
                        log::debug!("the connection to {address} failed: {err}");
                    }
                }
                () = watched.watch(clock, &metrics) => {}
            }
        });
        Ok(connection)
    }

    /// Whether new requests may use the connection.
    pub fn is_usable(&self) -> bool {
        !self.sender.is_closed() && !self.usage().retired
    }

    /// Lets a request use the connection, unless it is retired.
    pub fn begin(self: &Arc<Self>) -> Option<Permit> {
        let mut usage = self.usage();
        if usage.retired {
            return None;
        }
        usage.requests += 1;
        drop(usage);
        self.request_begun.notify_one();
        Some(Permit(Arc::clone(self)))
    }

    /// Resolves when the connection is retired.
    pub async fn retired(&self) {
        self.retirement.cancelled().await;
    }

    /// Checks the connection while it carries requests. Does not end if it is retired with requests,
    /// since they may still be answered.
    async fn watch(&self, clock: BootClock, metrics: &Metrics) {
        let mut liveness = Liveness::default();
        loop {
            let now = clock.now();
            let busy = self.usage().requests > 0;
            match liveness.step(now, self.received.arrivals(), busy) {
                Step::Check => self.send_check(),
                Step::Retire => {
                    let requests = self.retire();
                    metrics.retired_connection();
                    log::warn!(
                        address:% = self.address, requests;
                        "a host did not answer a check for {CHECK_TIMEOUT_MS} ms; new requests use \
                         another connection"
                    );
                    return std::future::pending().await;
                }
                Step::WaitForRequest => {
                    let begun = self.request_begun.notified();
                    let waited = tokio::time::timeout(IDLE_TIMEOUT, begun).await;
                    if waited.is_err() && self.retire_unused() {
                        return;
                    }
                }
                Step::WaitUntil(time) => {
                    tokio::time::sleep(Duration::from_millis(time.saturating_sub(now))).await;
                }
            }
        }
    }

    fn send_check(&self) {
        let check = hop::check_request(&self.address.to_string());
        let answer = self.sender.clone().send_request(check);
        // Any byte shows that the connection works, so the answer itself is not needed.
        self.tasks.execute(answer);
    }

    /// Lets no new request use the connection. Returns the number of those that still do; if there is
    /// none, the connection is closed.
    fn retire(&self) -> usize {
        let mut usage = self.usage();
        usage.retired = true;
        let requests = usage.requests;
        drop(usage);
        self.retirement.cancel();
        if requests == 0 {
            self.tasks.end();
        }
        requests
    }

    /// Retires and closes the connection if no request uses it.
    fn retire_unused(&self) -> bool {
        let mut usage = self.usage();
        usage.retired |= usage.requests == 0;
        let retired = usage.retired;
        drop(usage);
        if retired {
            self.tasks.end();
        }
        retired
    }

    fn usage(&self) -> MutexGuard<'_, Usage> {
        self.usage.lock().expect("lock is not poisoned")
    }
}

/// Lets one request use a connection. The last one closes a retired connection when it is dropped.
pub struct Permit(Arc<Connection>);

impl Permit {
    /// Sends a request and reads the whole answer. The request is cancelled if the future is dropped.
    pub async fn fetch(
        self,
        request: Request<Full<Bytes>>,
        limits: &AnswerLimits,
    ) -> Result<Response<Bytes>, FetchError> {
        let answer = self.0.sender.clone().try_send_request(request).await;
        let answer = answer.map_err(|mut err| match err.take_message() {
            Some(_) => FetchError::NotSent,
            None => FetchError::Lost(err.into_error().into()),
        })?;
        let (parts, body) = answer.into_parts();
        let body = limits.read_kept(body, limits.each()).await;
        let body = body.map_err(FetchError::Lost)?;
        Ok(Response::from_parts(parts, body))
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut usage = self.0.usage();
        usage.requests -= 1;
        let closes = usage.retired && usage.requests == 0;
        drop(usage);
        if closes {
            self.0.tasks.end();
        }
    }
}
