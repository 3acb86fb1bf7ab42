//! Forwarding of requests to the gateway on another host, over HTTP/2.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, Uri};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use pool::MAX_HEADER_LIST_BYTES;
use refusal::{Ran, Reason, Refusal};

use crate::{
    answer_buffer::{self, AnswerBody},
    body::{Body, RAN, REFUSED, REPLAYED, full},
    host::Host,
    inbound::{
        CALLER, DEADLINE, Execution, HOP, IDEMPOTENCY_KEY, Inbound, REGION, REQUEST_ID,
        answer_headers,
    },
    progress::ProgressBody,
};

/// Interval of HTTP/2 pings while requests are in flight, which detect silent connections. Interval
/// and timeout together are 600 ms, so that a request that hits two silent connections in a row can
/// still be answered within the examples' deadline of 2 s.
const PING_INTERVAL: Duration = Duration::from_millis(200);

/// Longest wait for the answer to a ping.
const PING_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest wait for a new connection to another host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The deadline that the gateway receives is earlier by this time, so that the gateway's own
/// refusal, which states whether the request ran, arrives before this host stops waiting.
const HOP_ALLOWANCE: Duration = Duration::from_millis(30);

/// HTTP/2 window of one answer. A photograph of 200 KB fits into it without waiting for a window
/// update.
const STREAM_WINDOW_BYTES: u32 = 512 * 1024;

/// HTTP/2 window of one connection.
const CONNECTION_WINDOW_BYTES: u32 = 8 * 1024 * 1024;

/// Maximum size of an HTTP/2 frame. The default of 16 KiB splits long answers into many small
/// writes.
pub const MAX_FRAME_BYTES: u32 = 256 * 1024;

/// HTTP/2 client with one multiplexed connection to each other host.
pub struct Forwarder {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Whether an exchange stays in the region of this host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Route {
    /// Both hosts are in one region.
    SameRegion,
    /// The exchange crosses the link between regions.
    BetweenRegions,
}

impl Forwarder {
    /// Creates a forwarder without connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .timer(TokioTimer::new())
            .pool_timer(TokioTimer::new())
            .http2_only(true)
            .http2_max_header_list_size(MAX_HEADER_LIST_BYTES)
            .http2_keep_alive_interval(PING_INTERVAL)
            .http2_keep_alive_timeout(PING_TIMEOUT)
            .http2_initial_stream_window_size(STREAM_WINDOW_BYTES)
            .http2_initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .http2_max_frame_size(MAX_FRAME_BYTES)
            .build(connector);
        Self { client }
    }

    /// Sends the request to the host at `address`. A refusal by that host is returned as an error.
    pub async fn send(
        &self,
        host: &Arc<Host>,
        address: SocketAddr,
        inbound: &Inbound,
        route: Route,
    ) -> Result<Response<Body>, Refusal> {
        let request = request_of(host, address, inbound);
        let service = Arc::clone(&inbound.service().name);
        if route == Route::BetweenRegions {
            host.metrics
                .link(&service, "out", inbound.body.len() as u64);
        }
        let remaining = host.clock.until(inbound.deadline);
        let answer = match tokio::time::timeout(remaining, self.client.request(request)).await {
            Err(_) => return Err(Refusal::new(Reason::DeadlineAfterStart)),
            Ok(Err(err)) if err.is_connect() => return Err(Reason::OwnerUnreachable.into()),
            Ok(Err(err)) => {
                log::debug!("forwarding to {address} failed: {err}");
                return Err(Reason::GatewayLost.into());
            }
            Ok(Ok(answer)) => answer,
        };
        let (mut parts, body) = answer.into_parts();
        if let Some(refusal) = refusal_of(&parts.headers) {
            return Err(refusal);
        }
        let replayed = parts.headers.get(REPLAYED).cloned();
        parts.headers = answer_headers(parts.headers);
        if let Some(replayed) = replayed {
            parts.headers.insert(REPLAYED, replayed);
        }
        parts.version = http::Version::HTTP_11;
        let frame_timeout = Duration::from_millis(inbound.service().deadline_ms);
        let Ok(body) = answer_buffer::buffer_if_short(&parts.headers, body, frame_timeout).await
        else {
            return Err(Reason::GatewayLost.into());
        };
        let body = match body {
            AnswerBody::Buffered(bytes) => {
                if route == Route::BetweenRegions {
                    host.count_link_bytes(&service, "in", bytes.len() as u64);
                }
                full(bytes)
            }
            AnswerBody::Stream(body) => {
                let body = ProgressBody::new(body, frame_timeout);
                match route {
                    Route::SameRegion => body.boxed(),
                    Route::BetweenRegions => body.with_link(Arc::clone(host), service).boxed(),
                }
            }
        };
        Ok(Response::from_parts(parts, body))
    }
}

fn request_of(host: &Host, address: SocketAddr, inbound: &Inbound) -> Request<Full<Bytes>> {
    let uri = Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query(inbound.path.clone())
        .build()
        .expect("an address and a parsed path make a URI");
    let mut headers = inbound.headers.clone();
    headers.remove(http::header::HOST);
    let mut put = |name: &'static str, value: &str| {
        let value = HeaderValue::from_str(value).expect("identifiers and numbers are header text");
        headers.insert(name, value);
    };
    put(HOP, "1");
    put(REQUEST_ID, &inbound.id);
    put(CALLER, &format!("{:016x}", inbound.caller));
    let remaining = host
        .clock
        .until(inbound.deadline)
        .saturating_sub(HOP_ALLOWANCE);
    put(DEADLINE, &remaining.as_millis().to_string());
    put(
        REGION,
        &inbound.view.region_name(&host.settings.data_centre),
    );
    if let Execution::AtMostOnce(key) = &inbound.execution {
        put(IDEMPOTENCY_KEY, key);
    }
    let mut request = Request::new(Full::new(inbound.body.clone()));
    *request.method_mut() = inbound.method.clone();
    *request.uri_mut() = uri;
    *request.headers_mut() = headers;
    request
}

/// The refusal that an answer of another host carries, if any.
fn refusal_of(headers: &HeaderMap) -> Option<Refusal> {
    let label = headers.get(REFUSED)?.to_str().ok()?;
    let reason = Reason::from_label(label)?;
    let mut refusal = Refusal::new(reason);
    if headers.get(RAN).is_some_and(|it| it == "unknown") {
        refusal.ran = Ran::Unknown;
    }
    Some(refusal)
}
