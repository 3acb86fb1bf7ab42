//! A gateway's state for operators.

use serde::{Deserialize, Serialize};

use crate::TargetId;

/// A summary of a gateway's state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GatewayStatus {
    /// The target.
    pub target: TargetId,
    /// Current state.
    pub state: GatewayState,
    /// Whether the host has tenure.
    pub tenure: bool,
    /// Epoch of the host, once it has one in this tenure.
    pub epoch: Option<u64>,
    /// Number of slices that requests may be started for.
    pub held: usize,
    /// Whether the target's slices are being moved away.
    pub draining: bool,
}

/// State of a gateway.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum GatewayState {
    /// The host is not a voter of the target.
    Idle,
    /// The host tries to gain tenure.
    Candidate,
    /// The host has tenure and claims the target.
    Claiming,
    /// The host serves requests for the target.
    Serving,
    /// The host has tenure and cannot reach the target.
    Unreachable,
    /// The host is stopping and gives up its tenure after the last request.
    Stopping,
}
