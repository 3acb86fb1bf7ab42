//! Parses and routes a caller's request.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use coordinator::{Key, Millis};
use http::{HeaderMap, header, request::Parts, uri::PathAndQuery};
use hyper::body::Incoming;
use pool::AnswerError;
use refusal::Reason;
use routing::{Ownership, Route};

use crate::{
    gateway::{GatewayRequest, QueueId, WaitLimit},
    node::Node,
};

/// Hop-by-hop headers.
const CONNECTION_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
];

/// Longest body of a request or an answer that the router carries, whatever the configuration
/// allows.
pub const MAX_BODY_BYTES: usize = 8 << 20;

/// A request with its route, and in the form that is sent to gateways.
#[derive(Clone, Debug)]
pub struct RoutedRequest {
    /// Its route.
    pub route: Arc<Route>,
    /// When it arrived.
    pub arrived: Millis,
    /// Version of the configuration that its route was taken from.
    pub version: u64,
    /// The request as it is sent to gateways; its queue is chosen later.
    pub gateway_request: GatewayRequest,
    /// Longest accepted body in bytes.
    body_limit: usize,
}

impl RoutedRequest {
    /// Parses and routes the head of a request.
    ///
    /// # Errors
    ///
    /// Fails if there is no configuration or route for the request, or a header is missing or
    /// malformed.
    pub fn new(node: &Node, parts: Parts) -> Result<Self, Reason> {
        let arrived = node.clock.now();
        let catalog = node.catalog.load_full().ok_or(Reason::NotReady)?;
        let host = parts.headers.get(header::HOST);
        let host = host.and_then(|it| it.to_str().ok()).unwrap_or_default();
        let route = catalog
            .find(host, parts.uri.path())
            .ok_or(Reason::UnknownService)?;
        let service = {
            let mut pickers = node.pickers();
            let picker = pickers.entry(Arc::clone(&route.name)).or_default();
            let share = picker.pick(&route.shares);
            let service = share.and_then(|it| catalog.service(&it.service));
            service.ok_or(Reason::UnknownService)?
        };
        let key = match service.ownership {
            Ownership::Shared => None,
            Ownership::Keyed { .. } => Some(key_of(node, &parts.headers)?),
        };
        let timeout = arrived + route.timeout_ms;
        let deadline = match parts.headers.get(&node.profile.deadline) {
            None => timeout,
            Some(value) => {
                let ms: Option<u64> = value.to_str().ok().and_then(|it| it.trim().parse().ok());
                arrived + ms.ok_or(Reason::DeadlineInvalid)?
            }
        };
        let path = parts.uri.into_parts().path_and_query;
        let gateway_request = GatewayRequest {
            queue: QueueId::Target(Arc::from("")),
            service: Arc::clone(&service.name),
            route: Arc::clone(&route.name),
            key,
            priority: route.priority,
            wait_limit: WaitLimit::Deadline,
            arrived,
            objective: arrived + route.objective_ms,
            end: deadline.min(timeout),
            deadline,
            method: parts.method,
            path: path.unwrap_or_else(|| PathAndQuery::from_static("/")),
            headers: end_to_end(parts.headers),
            body: Bytes::new(),
        };
        Ok(Self {
            route: Arc::clone(route),
            arrived,
            version: catalog.version(),
            body_limit: catalog.limits().body_bytes.min(MAX_BODY_BYTES),
            gateway_request,
        })
    }

    /// Reads the body of the request.
    ///
    /// # Errors
    ///
    /// Fails if the body is too long, does not arrive before the deadline, or does not fit into the
    /// memory for bodies.
    pub async fn with_body(mut self, node: &Node, body: Incoming) -> Result<Self, Reason> {
        let timeout =
            Duration::from_millis(self.gateway_request.deadline.saturating_sub(self.arrived));
        let body = node.request_limits.read_kept(body, self.body_limit);
        self.gateway_request.body = match tokio::time::timeout(timeout, body).await {
            Ok(Ok(body)) => body,
            Ok(Err(AnswerError::TooLong(_))) => return Err(Reason::BodyTooLarge),
            Ok(Err(AnswerError::TooManyBytes)) => return Err(Reason::QueueFull),
            Ok(Err(
                AnswerError::Connection(_) | AnswerError::Stalled(_) | AnswerError::Status(_),
            ))
            | Err(_) => {
                return Err(Reason::BodyIncomplete);
            }
        };
        Ok(self)
    }
}

fn key_of(node: &Node, headers: &HeaderMap) -> Result<Key, Reason> {
    let value = headers.get(&node.profile.key).ok_or(Reason::KeyMissing)?;
    let key = value.to_str().ok().and_then(|it| it.trim().parse().ok());
    key.ok_or(Reason::KeyInvalid)
}

/// Removes hop-by-hop headers.
pub fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .map(|it| it.trim().to_ascii_lowercase())
        .collect();
    for name in named.iter().map(String::as_str).chain(CONNECTION_HEADERS) {
        headers.remove(name);
    }
    headers
}
