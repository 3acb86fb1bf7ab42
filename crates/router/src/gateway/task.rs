//! What a gateway is asked to do.

use std::{fmt, sync::Arc};

use bytes::Bytes;
use coordinator::{Key, Millis};
use http::{HeaderMap, Method, uri::PathAndQuery};

/// Names a gate.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum QueueId {
    /// The gate of one target, which owns keys.
    Target(Arc<str>),
    /// The gate of all targets of a service in a data centre.
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

/// How long a request is willing to wait at a gate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitLimit {
    /// Only as long as it can still be answered within its objective; there are other gates.
    Objective,
    /// As long as it can still be answered at all.
    Deadline,
}

/// A request for a gate. Times are on this host's clock.
#[derive(Clone, Debug)]
pub struct Task {
    /// The gate.
    pub queue: QueueId,
    /// The service.
    pub service: Arc<str>,
    /// The route.
    pub route: Arc<str>,
    /// The key, if the service has keys.
    pub key: Option<Key>,
    /// Its rank; 0 is the highest.
    pub priority: u8,
    /// How long it is willing to wait.
    pub wait_limit: WaitLimit,
    /// Until when an answer is of full use.
    pub objective: Millis,
    /// When it must have its final answer.
    pub end: Millis,
    /// When its caller gives up.
    pub deadline: Millis,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub path: PathAndQuery,
    /// Its headers, without those that concern one connection only.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}
