//! Registration entries of targets.

use std::{net::SocketAddr, sync::Arc};

use coordinator::Incarnation;
use serde::{Deserialize, Serialize};

/// Whether a target accepts new requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TargetState {
    /// It accepts new requests.
    Ready,
    /// Its entry says that it is ready, but it has said in an answer that it is about to stop. It
    /// serves for a time of its own, but is given no keys.
    Leaving,
    /// It is about to stop and accepts no new requests.
    Draining,
}

/// The entry that a target registers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetEntry {
    /// Its service.
    pub service: Arc<str>,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub place: Arc<str>,
    /// Maximum number of requests that it runs at once.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: TargetState,
    /// Remaining warm-up time after its start, in milliseconds.
    pub cold_ms: u64,
    /// Start time of its process, in milliseconds of its wall clock; 0 if unknown.
    #[serde(rename = "born")]
    pub started_ms: u64,
    /// Number of heartbeats with which its process had reported when it wrote the entry; 0 if
    /// unknown.
    pub heartbeats: u64,
}

impl TargetEntry {
    /// Whether the target wrote this entry after `other`.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.started_ms, self.heartbeats) > (other.started_ms, other.heartbeats)
    }

    /// The incarnation of the target that the entry describes.
    #[must_use]
    pub fn incarnation(&self, name: &Arc<str>) -> Incarnation {
        Incarnation {
            target: Arc::clone(name),
            started_ms: self.started_ms,
        }
    }
}
