//! HTTP/1.1 client for tests, which reports answers as a caller receives them.

use std::{net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use serde_json::Value;
use thiserror::Error;
use tokio::net::TcpStream;

/// Time limit for one request and its answer; longer than any deadline that the tests use.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Most headers of an answer; more than any test sends.
const MAX_HEADERS: usize = 20_000;

/// The reason why a request got no answer.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum CallError {
    /// the connection was refused: {0}
    Refused(String),
    /// the connection closed before the head of the answer: {0}
    Closed(String),
    /// no complete answer within 10 s
    Timeout,
}

/// The answer that a caller received.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status code.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body as far as it was received.
    pub body: Bytes,
    /// Whether the body was received up to its proper end.
    pub complete: bool,
}

impl Reply {
    /// The reason given in the header `sassafras-refused`, or `None` if the request was not
    /// refused.
    #[must_use]
    pub fn refused(&self) -> Option<&str> {
        self.headers.get("sassafras-refused")?.to_str().ok()
    }

    /// The body as JSON.
    ///
    /// # Panics
    ///
    /// Panics if the body is not JSON of this type.
    #[must_use]
    pub fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.body).unwrap_or_else(|err| {
            panic!(
                "{err} in an answer with status {}: {:?}",
                self.status, self.body
            )
        })
    }
}

/// A request of a test.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
}

impl Call {
    /// Creates a GET.
    #[must_use]
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: "GET",
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Creates a POST.
    #[must_use]
    pub fn post(path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self {
            method: "POST",
            body: body.into(),
            ..Self::get(path)
        }
    }

    /// Creates a PUT of JSON.
    #[must_use]
    pub fn put(path: impl Into<String>, body: &Value) -> Self {
        Self {
            method: "PUT",
            body: body.to_string().into(),
            ..Self::get(path)
        }
    }

    /// The bytes of the request on a connection of HTTP/1.1.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        let mut lines = vec![format!("{} {} HTTP/1.1", self.method, self.path)];
        lines.extend(self.headers.iter().map(|it| format!("{}: {}", it.0, it.1)));
        lines.push(format!("content-length: {}\r\n\r\n", self.body.len()));
        [lines.join("\r\n").as_bytes(), &self.body].concat().into()
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_owned(), value.into()));
        self
    }
}

/// A client that keeps one connection alive and reopens it after the server has closed it.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    sender: Option<http1::SendRequest<Full<Bytes>>>,
}

impl HttpClient {
    /// Creates a client of `address`; it connects at the first call.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            sender: None,
        }
    }

    /// Sends a call and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Fails if the connection is refused or closes before the head of the answer, or if the whole
    /// answer does not arrive within 10 s.
    pub async fn send(&mut self, call: &Call) -> Result<Reply, CallError> {
        let exchange = async {
            let answer = self.send_head(call).await?;
            let (head, mut body) = answer.into_parts();
            let mut bytes = BytesMut::new();
            let complete = loop {
                match body.frame().await {
                    None => break true,
                    Some(Err(_)) => break false,
                    Some(Ok(frame)) => {
                        if let Ok(data) = frame.into_data() {
                            bytes.extend_from_slice(&data);
                        }
                    }
                }
            };
            Ok(Reply {
                status: head.status,
                headers: head.headers,
                body: bytes.freeze(),
                complete,
            })
        };
        let reply = tokio::time::timeout(TIMEOUT, exchange).await;
        let reply = reply.unwrap_or(Err(CallError::Timeout));
        let ends_connection = |it: &Reply| {
            !it.complete
                || it
                    .headers
                    .get(header::CONNECTION)
                    .is_some_and(|it| it == "close")
        };
        if reply.as_ref().map_or(true, ends_connection) {
            self.sender = None;
        }
        reply
    }

    /// Sends a call and returns once the head of its answer has arrived.
    async fn send_head(&mut self, call: &Call) -> Result<http::Response<Incoming>, CallError> {
        let mut request = build_request(self.address, call);
        if let Some(sender) = &mut self.sender
            && sender.ready().await.is_ok()
        {
            match sender.try_send_request(request).await {
                Ok(answer) => return Ok(answer),
                Err(mut err) => match err.take_message() {
                    // Nothing was sent, so sending on a new connection is not a second attempt.
                    Some(unsent) => request = unsent,
                    None => return Err(CallError::Closed(err.into_error().to_string())),
                },
            }
        }
        let refused = |err: std::io::Error| CallError::Refused(err.to_string());
        let stream = TcpStream::connect(self.address).await.map_err(refused)?;
        stream.set_nodelay(true).map_err(refused)?;
        let closed = |err: hyper::Error| CallError::Closed(err.to_string());
        let (mut sender, connection) = http1::Builder::new()
            .max_headers(MAX_HEADERS)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(closed)?;
        tokio::spawn(connection);
        let answer = sender.send_request(request).await.map_err(closed)?;
        self.sender = Some(sender);
        Ok(answer)
    }
}

/// Sends a call on a new connection.
///
/// # Errors
///
/// Fails if the connection is refused or closes before the head of the answer, or if the whole
/// answer does not arrive within 10 s.
pub async fn send(address: SocketAddr, call: &Call) -> Result<Reply, CallError> {
    HttpClient::new(address).send(call).await
}

fn build_request(address: SocketAddr, call: &Call) -> Request<Full<Bytes>> {
    let mut builder = Request::builder().method(call.method).uri(&call.path);
    let has_host = call.headers.iter().any(|it| it.0 == header::HOST.as_str());
    if !has_host {
        builder = builder.header(header::HOST, address.to_string());
    }
    for (name, value) in &call.headers {
        builder = builder.header(name, value);
    }
    builder
        .body(Full::new(call.body.clone()))
        .expect("test call is a valid request")
}
