//! A request as a gateway receives it.

use std::{fmt, sync::Arc};

use bytes::Bytes;
use coordinator::{Key, Millis};
use http::{HeaderMap, Method, uri::PathAndQuery};

/// Identifies an admission queue.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum QueueId {
    /// The queue of one target that owns keys.
    Target(Arc<str>),
    /// The queue of all targets of a service in a data centre.
    Pool {
        /// The service.
        service: Arc<str>,
        /// The data centre.
        place: Arc<str>,
    },
}

impl fmt::Display for QueueId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Target(name) => write!(f, "{name}"),
            Self::Pool { service, place } => write!(f, "{service}@{place}"),
        }
    }
}

/// How long a request may wait in a queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitLimit {
    /// Only as long as it can be answered within its objective, because other queues can be tried.
    Objective,
    /// Until it must have been answered.
    Deadline,
}

/// A request for an admission queue. Times are on this host's clock.
#[derive(Clone, Debug)]
pub struct GatewayRequest {
    /// The queue that the request is sent to.
    pub queue: QueueId,
    /// The service.
    pub service: Arc<str>,
    /// The route.
    pub route: Arc<str>,
    /// The key, if the service has keys.
    pub key: Option<Key>,
    /// Its priority; 0 is the highest.
    pub priority: u8,
    /// How long it may wait in the queue.
    pub wait_limit: WaitLimit,
    /// When it arrived at its entry host.
    pub arrived: Millis,
    /// When its latency objective ends.
    pub objective: Millis,
    /// When it must have been answered: the earlier of its deadline and the timeout of its route.
    pub end: Millis,
    /// When its caller stops waiting.
    pub deadline: Millis,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub path: PathAndQuery,
    /// Its end-to-end headers; hop-by-hop headers are removed.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}
