//! A service and the properties of its targets.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Which targets may run a request of a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Ownership {
    /// Any target of the service.
    Shared,
    /// Only the target that owns the request's key.
    Keyed {
        /// Warm-up time in milliseconds during which a target is slow on keys that it received
        /// without a hand-over by their previous owner.
        warm_ms: u64,
    },
}

/// The load that a target without warm caches bears.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ColdLimit {
    /// How long a target stays cold after its start, in milliseconds.
    pub warmup_ms: u64,
    /// Milliseconds between two requests at the rate that a cold target tolerates.
    pub interval_ms: u64,
}

/// A service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// The operator's name for the service.
    pub name: Arc<str>,
    /// Path of a target's health check.
    pub health: Arc<str>,
    /// Maximum number of connections that one target accepts from all hosts together.
    pub connections: u32,
    /// Which targets may run a request.
    pub ownership: Ownership,
    /// Limit of requests to cold targets; `None` if there is none.
    pub cold: Option<ColdLimit>,
}
