//! Targets, as input to the planner.

use std::sync::Arc;

/// A target of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetInput {
    /// Name, unique in the service.
    pub name: Arc<str>,
    /// Number of requests that the target runs concurrently.
    pub capacity: u32,
    /// Name of the data centre.
    pub data_centre: Arc<str>,
    /// Name of the data centre's region.
    pub region: Arc<str>,
    /// Duration of the cold start of a moved slice in milliseconds.
    pub cold_ms: u64,
    /// Whether the target can own slices.
    pub state: TargetState,
}

/// State of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetState {
    /// The target serves requests.
    Live,
    /// The target serves requests but joined recently.
    Joining {
        /// Milliseconds since it joined.
        age_ms: u64,
    },
    /// The target drains; its slices move away.
    Leaving,
    /// The target serves no requests.
    Lost,
}

impl TargetState {
    /// Whether slices may be placed on the target.
    #[must_use]
    pub fn is_usable(self) -> bool {
        matches!(self, Self::Live | Self::Joining { .. })
    }
}
