//! Reading and validation of the requests that arrive at a host.

use std::{borrow::Cow, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, header, uri::PathAndQuery};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use ownership::hash_key;
use refusal::Reason;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    clock::{Clock, Millis},
    view::View,
};

/// Longest key in bytes.
const KEY_LIMIT_BYTES: usize = 256;

/// Longest idempotency key in bytes.
const IDEMPOTENCY_KEY_LIMIT_BYTES: usize = 128;

/// Longest header value in bytes.
const HEADER_LIMIT_BYTES: usize = 8 * 1024;

/// Header with the time until the caller's deadline in milliseconds.
pub const DEADLINE: &str = "sassafras-deadline-ms";

/// Header with the request's identifier.
pub const REQUEST_ID: &str = "sassafras-request-id";

/// Header that an entry host adds when it forwards a request.
pub const HOP: &str = "sassafras-hop";

/// Header with the hash by which the gateway identifies the caller.
pub const CALLER: &str = "sassafras-caller";

/// Header with the region of the entry host.
pub const REGION: &str = "sassafras-region";

/// Header with the key that identifies a non-idempotent request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Headers that hosts and targets exchange. They are removed from requests of callers and from
/// answers of targets.
const RESERVED_HEADERS: [&str; 13] = [
    "sassafras-caller",
    "sassafras-deadline-ms",
    "sassafras-draining",
    "sassafras-epoch",
    "sassafras-generation",
    "sassafras-hop",
    "sassafras-incarnation",
    "sassafras-key-hash",
    "sassafras-ran",
    "sassafras-refused",
    "sassafras-region",
    "sassafras-replayed",
    "sassafras-service",
];

/// Where the request came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Hop {
    /// From a caller.
    First,
    /// From another host.
    Second,
}

impl Hop {
    fn of(headers: &HeaderMap) -> Self {
        if headers.contains_key(HOP) {
            Self::Second
        } else {
            Self::First
        }
    }
}

/// Whether the request may run more than once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Execution {
    /// It is idempotent and may run several times.
    Idempotent,
    /// It runs at most once under this idempotency key.
    AtMostOnce(Arc<str>),
}

/// A request with its key, deadline and whole body.
#[derive(Debug)]
pub struct Inbound {
    /// The document in force when the request arrived.
    pub view: Arc<View>,
    /// Index of the service in the document.
    pub service: usize,
    /// Hash of service and key.
    pub hash: u64,
    pub method: Method,
    /// Path and query.
    pub path: PathAndQuery,
    /// End-to-end headers.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// When the request arrived.
    pub arrived: Millis,
    /// When the caller stops waiting for the answer.
    pub deadline: Millis,
    /// Whether the request may run more than once.
    pub execution: Execution,
    /// Hash that identifies the caller.
    pub caller: u64,
    /// Where the request came from.
    pub hop: Hop,
    /// Region of the entry host, if the request came from another host.
    pub region: Option<Arc<str>>,
    /// Identifier of the request.
    pub id: Arc<str>,
    /// Fingerprint of service, key, method, path and body.
    pub fingerprint: u64,
}

impl Inbound {
    /// The service of the request.
    pub fn service(&self) -> &document::Service {
        &self.view.document.services[self.service]
    }

    /// Reads and checks a request.
    pub async fn read(
        request: Request<Incoming>,
        remote: SocketAddr,
        view: Arc<View>,
        clock: &Clock,
    ) -> Result<Self, Reason> {
        let arrived = clock.now();
        let (parts, body) = request.into_parts();
        check_headers(&parts.headers)?;
        let path = parts.uri.path();
        let service = view
            .document
            .service_of_path(path)
            .ok_or(Reason::UnknownService)?;
        let idx = view
            .document
            .services
            .iter()
            .position(|it| it.name == service.name)
            .expect("service_of_path returns a service of the document");
        let key = key_of(service, path, &parts.headers)?.into_owned();
        let hop = Hop::of(&parts.headers);
        let execution = if service.is_idempotent(parts.method.as_str(), path) {
            Execution::Idempotent
        } else {
            Execution::AtMostOnce(idempotency_key(&parts.headers)?)
        };
        let deadline = arrived + remaining_ms(&parts.headers, service.deadline_ms)?;
        let body = read_body(body, service.body_limit, clock.until(deadline)).await?;
        let method = parts.method;
        let path = path_and_query(&parts.uri);
        let (method_text, path_text) = (method.as_str(), path.as_str());
        let fingerprint =
            admission::fingerprint(&service.name, &key, method_text, path_text, &body);
        let hash = hash_key(&service.name, &key);
        let caller = caller_of(&parts.headers, remote, hop);
        let id = request_id(&parts.headers, hop);
        let region = text(&parts.headers, REGION)
            .filter(|_| hop == Hop::Second)
            .map(Arc::from);
        Ok(Self {
            service: idx,
            hash,
            method,
            path,
            headers: end_to_end(parts.headers),
            body,
            arrived,
            deadline,
            execution,
            caller,
            hop,
            region,
            id,
            fingerprint,
            view,
        })
    }
}

/// Reads the whole body within `limit_bytes` and `timeout`.
async fn read_body(body: Incoming, limit_bytes: usize, timeout: Duration) -> Result<Bytes, Reason> {
    let collected = Limited::new(body, limit_bytes).collect();
    match tokio::time::timeout(timeout, collected).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if err.is::<LengthLimitError>() => Err(Reason::BodyTooLarge),
        Ok(Err(_)) | Err(_) => Err(Reason::BodyIncomplete),
    }
}

/// The identifier that the entry host gave the request, or a new one.
fn request_id(headers: &HeaderMap, hop: Hop) -> Arc<str> {
    match text(headers, REQUEST_ID) {
        Some(id) if hop == Hop::Second => Arc::from(id),
        _ => Arc::from(format!("{:016x}", rand::random::<u64>())),
    }
}

fn path_and_query(uri: &http::Uri) -> PathAndQuery {
    uri.path_and_query()
        .cloned()
        .unwrap_or_else(|| PathAndQuery::from_static("/"))
}

fn check_headers(headers: &HeaderMap) -> Result<(), Reason> {
    for value in headers.values() {
        if value.len() > HEADER_LIMIT_BYTES {
            return Err(Reason::HeaderTooLong);
        }
    }
    Ok(())
}

fn key_of<'a>(
    service: &document::Service,
    path: &'a str,
    headers: &'a HeaderMap,
) -> Result<Cow<'a, str>, Reason> {
    if let Some(value) = service
        .key
        .header
        .as_ref()
        .and_then(|it| headers.get(&**it))
        && value.to_str().is_err()
    {
        return Err(Reason::KeyInvalid);
    }
    let key = service
        .key_of(path, |name| text(headers, name))
        .ok_or(Reason::KeyMissing)?;
    if key.len() > KEY_LIMIT_BYTES || !key.bytes().all(|it| it.is_ascii_graphic()) {
        return Err(Reason::KeyInvalid);
    }
    Ok(key)
}

fn idempotency_key(headers: &HeaderMap) -> Result<Arc<str>, Reason> {
    let value = headers
        .get(IDEMPOTENCY_KEY)
        .ok_or(Reason::IdempotencyKeyMissing)?;
    let key = value.to_str().map_err(|_| Reason::IdempotencyKeyInvalid)?;
    let valid = (1..=IDEMPOTENCY_KEY_LIMIT_BYTES).contains(&key.len())
        && key.bytes().all(|it| it.is_ascii_graphic());
    if valid {
        Ok(Arc::from(key))
    } else {
        Err(Reason::IdempotencyKeyInvalid)
    }
}

fn remaining_ms(headers: &HeaderMap, limit_ms: u64) -> Result<u64, Reason> {
    let Some(value) = headers.get(DEADLINE) else {
        return Ok(limit_ms);
    };
    let text = value.to_str().map_err(|_| Reason::DeadlineInvalid)?;
    let ms: u64 = text.parse().map_err(|_| Reason::DeadlineInvalid)?;
    Ok(ms.min(limit_ms))
}

/// Identifies the caller by its credentials if it sends any, because many callers can share an
/// address.
fn caller_of(headers: &HeaderMap, remote: SocketAddr, hop: Hop) -> u64 {
    if hop == Hop::Second
        && let Some(hash) = text(headers, CALLER).and_then(|it| u64::from_str_radix(it, 16).ok())
    {
        return hash;
    }
    match headers.get(header::AUTHORIZATION) {
        Some(value) => xxh3_64(value.as_bytes()),
        None => xxh3_64(remote.ip().to_string().as_bytes()),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|it| it.to_str().ok())
}

/// The headers of an answer that are passed on, including `content-length`.
pub fn answer_headers(headers: HeaderMap) -> HeaderMap {
    let length = headers.get(header::CONTENT_LENGTH).cloned();
    let mut headers = end_to_end(headers);
    if let Some(length) = length {
        headers.insert(header::CONTENT_LENGTH, length);
    }
    headers
}

/// Removes connection headers and reserved headers.
pub fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let connection_headers: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .map(|it| it.trim().to_ascii_lowercase())
        .collect();
    for name in connection_headers
        .iter()
        .map(String::as_str)
        .chain(document::CONNECTION_HEADERS)
        .chain(RESERVED_HEADERS)
    {
        headers.remove(name);
    }
    headers
}

#[cfg(test)]
mod tests;
