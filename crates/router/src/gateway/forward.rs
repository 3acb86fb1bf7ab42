//! Forwards requests to the gateway on another host.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use pool::MAX_HEADER_LIST_BYTES;
use refusal::Reason;

use super::{AttemptOutcome, GatewayRequest, hop};
use crate::{entry::MAX_BODY_BYTES, node::Node};

/// Interval of HTTP/2 pings while requests are in flight; they detect connections that went silent.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Longest wait for the answer to a ping.
const PING_TIMEOUT: Duration = Duration::from_millis(700);

/// Longest wait for a new connection to another host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How much longer this host waits than the gateway, because only the gateway's own refusal states
/// whether the request ran.
const ANSWER_ALLOWANCE: Duration = Duration::from_millis(30);

/// HTTP/2 flow-control window of one answer.
const STREAM_WINDOW_BYTES: u32 = 64 * 1024;

/// HTTP/2 flow-control window of one connection.
const CONNECTION_WINDOW_BYTES: u32 = 1024 * 1024;

type Http2Client = Client<HttpConnector, Full<Bytes>>;

/// Multiplexed connections to the other hosts, one or two to each.
pub struct Forwarder {
    /// Fails the requests on a connection that does not answer pings.
    pinging: Http2Client,
    /// Waits for the answer until the request must have been answered. A stopping host uses this
    /// client, because it must not abort a request whose gateway is merely slow.
    without_pings: Http2Client,
}

impl Forwarder {
    /// Creates a forwarder without connections.
    pub fn new() -> Self {
        let mut builder = Client::builder(TokioExecutor::new());
        builder
            .timer(TokioTimer::new())
            .pool_timer(TokioTimer::new())
            .http2_only(true)
            .http2_max_header_list_size(MAX_HEADER_LIST_BYTES)
            .http2_initial_stream_window_size(STREAM_WINDOW_BYTES)
            .http2_initial_connection_window_size(CONNECTION_WINDOW_BYTES);
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let without_pings = builder.build(connector.clone());
        builder
            .http2_keep_alive_interval(PING_INTERVAL)
            .http2_keep_alive_timeout(PING_TIMEOUT);
        let pinging = builder.build(connector);
        Self {
            pinging,
            without_pings,
        }
    }

    /// Sends a request to the gateway at `address`.
    pub async fn send(
        &self,
        node: &Node,
        address: SocketAddr,
        gateway_request: &GatewayRequest,
    ) -> AttemptOutcome {
        let now = node.clock.now();
        let request = hop::request_of(gateway_request, &address.to_string(), now);
        let limit =
            Duration::from_millis(gateway_request.end.saturating_sub(now)) + ANSWER_ALLOWANCE;
        let client = if *node.stopping.borrow() {
            &self.without_pings
        } else {
            &self.pinging
        };
        let exchange = async {
            let answer = match client.request(request).await {
                Ok(answer) => answer,
                Err(err) if err.is_connect() => {
                    return AttemptOutcome::not_sent(Reason::OwnerUnreachable);
                }
                Err(err) => {
                    log::debug!("forwarding to {address} failed: {err}");
                    return AttemptOutcome::Unknown(Reason::GatewayLost);
                }
            };
            let (parts, body) = answer.into_parts();
            match node.answer_limits.read_kept(body, MAX_BODY_BYTES).await {
                Ok(body) => hop::outcome_of(http::Response::from_parts(parts, body)),
                Err(err) => {
                    log::debug!("the answer of {address} is incomplete: {err}");
                    AttemptOutcome::Unknown(Reason::GatewayLost)
                }
            }
        };
        match tokio::time::timeout(limit, exchange).await {
            Ok(outcome) => outcome,
            Err(_) => AttemptOutcome::Unknown(Reason::DeadlineAfterStart),
        }
    }
}
