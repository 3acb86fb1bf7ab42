//! HTTP/1.1 server of the stand-ins.

use std::{convert::Infallible, fmt, future::Future, net::SocketAddr};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};

/// The body of an answer; an error in it closes the connection.
pub type Body = BoxBody<Bytes, Closed>;

/// Error of a handler that closes the connection before the answer or in the middle of it.
#[derive(Clone, Copy, Debug)]
pub struct Closed;

impl fmt::Display for Closed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection is closed on purpose")
    }
}

impl std::error::Error for Closed {}

/// Binds `address`; port 0 picks a free port.
///
/// # Panics
///
/// Panics if the address cannot be bound.
pub async fn bind(address: &str) -> TcpListener {
    TcpListener::bind(address)
        .await
        .unwrap_or_else(|err| panic!("{address} cannot be bound: {err}"))
}

/// Prints the bound addresses as one JSON line, from which the parent process reads them.
///
/// # Panics
///
/// Panics if a listener has no local address.
pub fn announce(listener: &TcpListener, control: Option<&TcpListener>) {
    let local = |it: &TcpListener| it.local_addr().expect("bound listener has an address");
    let mut line = json!({"listening": local(listener)});
    if let Some(control) = control {
        line["control"] = json!(local(control));
    }
    println!("{line}");
}

/// Accepts connections until the process ends and serves each in its own task.
pub async fn accept_all<F, R>(listener: TcpListener, handler: F)
where
    F: Clone + Fn(Request<Incoming>) -> R + Send + 'static,
    R: Future<Output = Result<Response<Body>, Closed>> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        tokio::spawn(serve_connection(stream, handler.clone()));
    }
}

/// Most headers of a request; more than any test sends.
const MAX_HEADERS: usize = 20_000;

/// Serves one connection until either side closes it.
pub async fn serve_connection<F, R>(stream: TcpStream, handler: F)
where
    F: Fn(Request<Incoming>) -> R,
    R: Future<Output = Result<Response<Body>, Closed>>,
{
    // Latencies are measured in milliseconds, so small answers must not wait for delayed
    // acknowledgements.
    let _ = stream.set_nodelay(true);
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service_fn(handler))
        .await;
}

/// Reads a request body to its end; an incomplete one closes the connection.
///
/// # Errors
///
/// Fails if the caller disconnects before the end of the body.
pub async fn read_body(body: Incoming) -> Result<Bytes, Closed> {
    let body = body.collect().await.map_err(|_| Closed)?;
    Ok(body.to_bytes())
}

/// Creates a body from complete bytes.
#[must_use]
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed()
}

/// Creates an answer with a JSON body.
///
/// # Panics
///
/// Panics if the value cannot be written as JSON.
pub fn json_answer<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(value).expect("answer can be serialised as JSON");
    let mut answer = Response::new(full(bytes));
    *answer.status_mut() = status;
    answer.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    answer
}

/// Creates an answer without a body.
#[must_use]
pub fn empty(status: StatusCode) -> Response<Body> {
    let mut answer = Response::new(full(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

/// Returns the value of a `--listen` or `--control` option; by default 127.0.0.1 with port 0.
#[must_use]
pub fn listen_address(option: Option<String>) -> String {
    option.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)).to_string())
}
