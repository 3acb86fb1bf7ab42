//! One route of a host.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Shares;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Repeat {
    /// The request is idempotent.
    Allowed,
    /// The request runs at most once.
    Forbidden,
}

/// What happens to requests whose path begins with a prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// The operator's name for the route.
    pub name: Arc<str>,
    /// The prefix; it begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether requests may be repeated.
    pub repeat: Repeat,
    /// Longest time in milliseconds for which a request is kept waiting.
    pub timeout_ms: u64,
    /// Time in milliseconds within which an answer is of full use.
    pub objective_ms: u64,
    /// Rank among routes; 0 is the highest.
    pub priority: u8,
    /// Most targets to which one request may be sent.
    pub attempts: u32,
    /// The services that share the requests.
    pub shares: Shares,
}
