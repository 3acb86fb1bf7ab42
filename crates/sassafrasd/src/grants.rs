//! Client of the grant endpoint of targets.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{
        Client,
        connect::{CaptureConnection, HttpConnector, capture_connection},
    },
    rt::TokioExecutor,
};
use ownership::{GRANT_TIMEOUT_MS, GrantOrder, GrantOutcome, GrantState, Renewal, RenewalReply};

/// Timeout of an exchange with the grant endpoint.
const TIMEOUT: Duration = Duration::from_millis(GRANT_TIMEOUT_MS);

/// Maximum size of an answer in bytes.
const ANSWER_LIMIT_BYTES: usize = 4 << 20;

/// Clocks, epochs and generations that a target reports must be below this. The gateway counts up
/// from them, and a deployment never reaches the limit.
const COUNTER_LIMIT: u64 = 1 << 62;

/// Path for orders and for reads of the grant state.
const GRANT_PATH: &str = "/sassafras/grant";

/// Path for renewals.
const RENEW_PATH: &str = "/sassafras/renew";

/// A client that keeps at most one idle connection to each target.
#[derive(Clone)]
pub struct GrantClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl GrantClient {
    /// Creates a client that has no connections yet.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(1)
            .pool_idle_timeout(Duration::from_secs(2))
            .build(connector);
        Self { client }
    }

    /// Reads the grant state of a target.
    pub async fn read(&self, address: SocketAddr) -> GrantOutcome {
        self.call(address, Method::GET, GRANT_PATH, Bytes::new())
            .await
    }

    /// Sends an order to a target.
    pub async fn send(&self, address: SocketAddr, order: &GrantOrder) -> GrantOutcome {
        let body = serde_json::to_vec(order).expect("orders are serialisable");
        self.call(address, Method::PUT, GRANT_PATH, body.into())
            .await
    }

    /// Sends a renewal to a target.
    pub async fn renew(&self, address: SocketAddr, renewal: Renewal) -> GrantOutcome {
        let body = Bytes::copy_from_slice(&renewal.to_bytes());
        self.call(address, Method::PUT, RENEW_PATH, body).await
    }

    /// Sends a request with only the headers that HTTP requires, because headers are most of the
    /// bytes of a renewal.
    async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> GrantOutcome {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(Full::new(body))
            .expect("a socket address and a path form a URI");
        let connection = capture_connection(&mut request);
        let exchange = async {
            let answer = self.client.request(request).await.ok()?;
            let status = answer.status();
            if status != StatusCode::OK {
                close_after_answer(&connection);
            }
            let body = Limited::new(answer.into_body(), ANSWER_LIMIT_BYTES)
                .collect()
                .await
                .ok()?
                .to_bytes();
            if path == RENEW_PATH && status == StatusCode::OK {
                let renewed = RenewalReply::from_bytes(&body)?;
                return (renewed.clock < COUNTER_LIMIT).then_some(GrantOutcome::Renewed(renewed));
            }
            let state: GrantState = serde_json::from_slice(&body).ok()?;
            if !is_in_range(&state) {
                log::warn!(target:% = address; "ignoring the grant state of a target, in which a counter is out of range");
                return None;
            }
            match status {
                StatusCode::OK => Some(GrantOutcome::Accepted(state)),
                StatusCode::CONFLICT => Some(GrantOutcome::Fenced(state)),
                _ => None,
            }
        };
        match tokio::time::timeout(TIMEOUT, exchange).await {
            Ok(Some(outcome)) => outcome,
            Ok(None) | Err(_) => GrantOutcome::Lost,
        }
    }
}

/// Closes the connection after its current answer. A faulty target may write a refusal once more,
/// which cannot be distinguished from the answer to a later message on that connection.
fn close_after_answer(connection: &CaptureConnection) {
    if let Some(connected) = connection.connection_metadata().as_ref() {
        connected.poison();
    }
}

/// Whether the clock, the epoch and the generations are below the limit.
fn is_in_range(state: &GrantState) -> bool {
    let generations = state.held.iter().map(|it| it.generation);
    [state.clock, state.epoch]
        .into_iter()
        .chain(generations)
        .all(|it| it < COUNTER_LIMIT)
}

#[cfg(test)]
mod tests;
