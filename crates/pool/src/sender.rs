//! Requests on one connection.

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::{
        TrySendError,
        http1::{self, SendRequest},
    },
};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::{
    AnswerError, AnswerLimits,
    allowance::{Allowance, LimitedStream},
};

/// Longest head of an answer, and most bytes that are buffered unread.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Most bytes that are read for the head of an answer. They include informational answers before
/// it, and the start of the body, which is read ahead.
const HEAD_ALLOWANCE_BYTES: usize = 8 * MAX_HEAD_BYTES;

/// Sender of requests on one connection, which is closed when the sender is dropped.
#[derive(Debug)]
pub struct Sender {
    requests: SendRequest<Full<Bytes>>,
    allowance: Allowance,
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
            .handshake(TokioIo::new(stream))
            .await?;
        let sender = Self {
            requests,
            allowance,
        };
        Ok((sender, connection))
    }

    /// Whether a request can be sent at once.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.requests.is_ready()
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
    /// Fails if the connection fails or the answer exceeds a limit. The sender must be dropped
    /// then.
    pub async fn fetch(
        &mut self,
        request: Request<Full<Bytes>>,
        limits: &AnswerLimits,
    ) -> Result<Response<Bytes>, AnswerError> {
        let (parts, body) = self.fetch_head(request, limits).await?.into_parts();
        let body = limits.read(body).await?;
        Ok(Response::from_parts(parts, body))
    }

    /// Sends a request and reads the head of the answer. The body must be read with `limits`.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails or the head exceeds its limit. The sender must be dropped
    /// then.
    pub async fn fetch_head(
        &mut self,
        request: Request<Full<Bytes>>,
        limits: &AnswerLimits,
    ) -> Result<Response<Incoming>, AnswerError> {
        self.allowance.set(HEAD_ALLOWANCE_BYTES);
        let answer = self.requests.send_request(request).await?;
        // Chunks may add to the body as many bytes as it has, besides a minimum for short ones.
        let allowance = 2 * limits.each() + HEAD_ALLOWANCE_BYTES;
        self.allowance.set(allowance);
        Ok(answer)
    }

    /// Sends a request and reads the head of the answer. The body is read as the caller consumes
    /// it and has no limit.
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
        self.allowance.set(usize::MAX);
        Ok(answer)
    }
}
