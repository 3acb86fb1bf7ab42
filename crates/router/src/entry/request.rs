//! Reading a caller's request.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use coordinator::{Key, Millis};
use http::{HeaderMap, Method, Request, header, uri::PathAndQuery};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use refusal::Reason;
use routing::{Ownership, Route, Service};

use crate::node::Node;

/// Headers that concern one connection only.
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

/// Bytes of a body for which the router has room; larger ones are refused.
const BODY_BYTES: usize = 8 << 20;

/// A request with the route, the service and the key that were found for it.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its route.
    pub route: Arc<Route>,
    /// The service that serves it.
    pub service: Arc<Service>,
    /// Its key, if the service has keys.
    pub key: Option<Key>,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub path: PathAndQuery,
    /// Its headers, without those that concern one connection only.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// When it arrived.
    pub arrived: Millis,
    /// When its caller gives up.
    pub deadline: Millis,
    /// When the operator wants it answered at the latest.
    pub timeout: Millis,
}

impl Call {
    /// Reads and checks a request.
    pub async fn read(node: &Node, request: Request<Incoming>) -> Result<Self, Reason> {
        let arrived = node.clock.now();
        let catalog = node.catalog.load_full().ok_or(Reason::NotReady)?;
        let (parts, body) = request.into_parts();
        let host = parts.headers.get(header::HOST);
        let host = host.and_then(|it| it.to_str().ok()).unwrap_or_default();
        let route = catalog
            .find(host, parts.uri.path())
            .ok_or(Reason::UnknownService)?;
        let share = {
            let mut pickers = node.pickers();
            let picker = pickers.entry(Arc::clone(&route.name)).or_default();
            picker.pick(&route.shares).ok_or(Reason::UnknownService)?
        };
        let service = catalog
            .service(&share.service)
            .ok_or(Reason::UnknownService)?;
        let key = match service.ownership {
            Ownership::Shared => None,
            Ownership::Keyed { .. } => Some(key_of(node, &parts.headers)?),
        };
        let timeout = arrived + route.timeout_ms;
        let deadline = match parts.headers.get(&node.dialect.deadline) {
            None => timeout,
            Some(value) => {
                let ms: Option<u64> = value.to_str().ok().and_then(|it| it.trim().parse().ok());
                arrived + ms.ok_or(Reason::DeadlineInvalid)?
            }
        };
        let limit = Duration::from_millis(deadline.saturating_sub(arrived));
        let body = read_body(body, catalog.limits().body_bytes.min(BODY_BYTES), limit).await?;
        Ok(Self {
            route: Arc::clone(route),
            service: Arc::clone(service),
            key,
            method: parts.method,
            path: parts
                .uri
                .into_parts()
                .path_and_query
                .unwrap_or_else(|| PathAndQuery::from_static("/")),
            headers: end_to_end(parts.headers),
            body,
            arrived,
            deadline,
            timeout,
        })
    }

    /// When the request must have its final answer.
    pub fn end(&self) -> Millis {
        self.deadline.min(self.timeout)
    }
}

async fn read_body(body: Incoming, limit: usize, time: Duration) -> Result<Bytes, Reason> {
    match tokio::time::timeout(time, Limited::new(body, limit).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if err.is::<LengthLimitError>() => Err(Reason::BodyTooLarge),
        Ok(Err(_)) | Err(_) => Err(Reason::BodyIncomplete),
    }
}

fn key_of(node: &Node, headers: &HeaderMap) -> Result<Key, Reason> {
    let value = headers.get(&node.dialect.key).ok_or(Reason::KeyMissing)?;
    let key = value.to_str().ok().and_then(|it| it.trim().parse().ok());
    key.ok_or(Reason::KeyInvalid)
}

/// Removes the headers that concern one connection only.
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
