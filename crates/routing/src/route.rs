//! One route of a host.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::Shares;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Repeat {
    /// The request is idempotent.
    Allowed,
    /// The request runs at most once.
    Forbidden,
    /// The configuration states a kind that this version does not know. The request runs at most
    /// once, so that nothing is repeated by mistake.
    Unknown,
}

/// How large the bodies of requests and answers are.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Volume {
    /// Usually some kilobytes.
    #[default]
    Small,
    /// Requests are uploads, or answers downloads.
    Large,
}

/// Names of regions; most routes name none or one.
pub type Regions = SmallVec<[Arc<str>; 2]>;

/// How requests whose path begins with a prefix are handled.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// The operator's name for the route.
    pub name: Arc<str>,
    /// Path prefix; it begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Timeout of a request in milliseconds, from its arrival.
    pub timeout_ms: u64,
    /// Latency objective in milliseconds, from the arrival of a request; a later answer counts as
    /// late.
    pub objective_ms: u64,
    /// Priority among routes; 0 is the highest.
    pub priority: u8,
    /// Maximum number of attempts that may have run one request; attempts that certainly did not
    /// run it are not counted.
    pub attempts: u32,
    /// The services that share the requests.
    pub shares: Shares,
    /// How large bodies are.
    pub volume: Volume,
    /// The regions in which requests may run; empty if they may run in all.
    pub regions: Regions,
}

impl Route {
    /// Whether requests may run in a region.
    #[must_use]
    pub fn allows(&self, region: &str) -> bool {
        self.regions.is_empty() || self.regions.iter().any(|it| **it == *region)
    }
}
