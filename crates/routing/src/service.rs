//! A service and what its targets are like.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Who may run a request of a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Ownership {
    /// Any target of the service.
    Shared,
    /// Only the target that owns the request's key.
    Keyed {
        /// Time in milliseconds for which a target is slow on keys that it received without the
        /// hand-over of their last owner.
        warm_ms: u64,
    },
}

/// A service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// The operator's name for the service.
    pub name: Arc<str>,
    /// Path of a target's health check.
    pub health: Arc<str>,
    /// Connections that one target accepts from all hosts together.
    pub connections: u32,
    /// Who may run a request.
    pub ownership: Ownership,
}
