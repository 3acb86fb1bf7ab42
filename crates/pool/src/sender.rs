//! Requests on one connection.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::{
        TrySendError,
        http1::{self, SendRequest},
    },
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::Instant};

use crate::{
    AnswerError, AnswerLimits, MAX_ANSWER_HEADERS,
    allowance::{Allowance, LimitedStream},
    answer::is_final,
};

/// Longest head of an answer, and most bytes that are buffered unread.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Most bytes that are read for the head of an answer. They include informational answers before
/// it, and the start of the body, which is read ahead.
const HEAD_ALLOWANCE_BYTES: usize = 8 * MAX_HEAD_BYTES;

/// How much earlier than its server says a connection is no longer used, because the server may close
/// it while a request is on its way.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Sender of requests on one connection, which is closed when the sender is dropped.
#[derive(Debug)]
pub struct Sender {
    requests: SendRequest<Full<Bytes>>,
    allowance: Allowance,
    /// When the connection is no longer used; `None` if its server states no timeout.
    expiry: Option<Instant>,
}

impl Sender {
    /// Starts HTTP/1.1 on a connection. Returns the sender and the task of the connection.
    pub(crate) async fn new(
        stream: TcpStream,
    ) -> hyper::Result<(Self, impl Future<Output = hyper::Result<()>> + use<>)> {
        let allowance = Allowance::new(HEAD_ALLOWANCE_BYTES);
        let stream = LimitedStream::new(stream, allowance.clone());
        let (requests, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .max_header_size(MAX_HEAD_BYTES)
            .max_headers(MAX_ANSWER_HEADERS)
            .handshake(TokioIo::new(stream))
            .await?;
        let sender = Self {
            requests,
            allowance,
            expiry: None,
        };
        Ok((sender, connection))
    }

    /// Whether a request can be sent at once.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.requests.is_ready() && !self.is_expired()
    }

    /// Whether the timeout that the server stated with its last answer is over, or will be soon.
    #[must_use]
    pub fn is_expired(&self) -> bool {
        self.expiry.is_some_and(|it| it <= Instant::now())
    }

    /// Whether the connection is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.requests.is_closed()
    }

    /// Resolves when a request can be sent.
    ///
    /// # Errors
    ///
    /// Fails if the connection is closed.
    pub async fn ready(&mut self) -> hyper::Result<()> {
        self.requests.ready().await
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails, or the answer exceeds a limit or has no final status. The
    /// sender must be dropped then.
    pub async fn fetch(
        &mut self,
        request: Request<Full<Bytes>>,
        limits: &AnswerLimits,
    ) -> Result<Response<Bytes>, AnswerError> {
        let (parts, body) = self.fetch_head(request, limits).await?.into_parts();
        let body = limits.read_kept(body, limits.each()).await?;
        Ok(Response::from_parts(parts, body))
    }

    /// Sends a request and reads the head of the answer. The body must be read with `limits`.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails, or the head exceeds its limit or has no final status. The
    /// sender must be dropped then.
    pub async fn fetch_head(
        &mut self,
        request: Request<Full<Bytes>>,
        limits: &AnswerLimits,
    ) -> Result<Response<Incoming>, AnswerError> {
        self.allowance.set(HEAD_ALLOWANCE_BYTES);
        let answer = self.requests.send_request(request).await?;
        if !is_final(answer.status()) {
            return Err(AnswerError::Status(answer.status()));
        }
        self.note_timeout(answer.headers());
        // Chunks may add to the body as many bytes as it has, besides a minimum for short ones.
        let allowance = 2 * limits.each() + HEAD_ALLOWANCE_BYTES;
        self.allowance.set(allowance);
        Ok(answer)
    }

    /// Sends a request and reads the head of the answer. The body is read as the caller consumes
    /// it and has no limit. Its status may be any; see [`crate::is_final`].
    ///
    /// # Errors
    ///
    /// Fails if the connection fails or the head exceeds its limit. The error contains the request
    /// if it was not sent.
    pub async fn try_send_request(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.allowance.set(HEAD_ALLOWANCE_BYTES);
        let answer = self.requests.try_send_request(request).await?;
        self.note_timeout(answer.headers());
        self.allowance.set(usize::MAX);
        Ok(answer)
    }

    fn note_timeout(&mut self, headers: &HeaderMap) {
        let left = |it: Duration| it.saturating_sub(KEEP_ALIVE_MARGIN);
        // A timeout that no clock can express does not expire.
        self.expiry = timeout_of(headers).and_then(|it| Instant::now().checked_add(left(it)));
    }
}

/// The time for which the server of an answer keeps an idle connection; `None` if it states none that
/// is readable.
fn timeout_of(headers: &HeaderMap) -> Option<Duration> {
    let values = headers.get_all(KEEP_ALIVE);
    let parameters = values.iter().filter_map(|it| it.to_str().ok());
    let mut parameters = parameters
        .flat_map(|it| it.split(','))
        .filter_map(|it| it.split_once('='));
    let (_, seconds) = parameters.find(|it| it.0.trim().eq_ignore_ascii_case("timeout"))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
