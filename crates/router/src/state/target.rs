//! Targets as they register themselves.

use std::{net::SocketAddr, sync::Arc};

use coordinator::Incarnation;
use serde::{Deserialize, Serialize};

/// Whether a target takes new requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TargetState {
    /// It does.
    Ready,
    /// It is about to stop and takes no new requests.
    Draining,
}

/// What a target says of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetEntry {
    /// Its service.
    pub service: Arc<str>,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub place: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: TargetState,
    /// How much longer it is slow after its start, in milliseconds.
    pub cold_ms: u64,
    /// When its process started, in milliseconds of its time of day.
    pub born: u64,
}

impl TargetEntry {
    /// The run of the process that the entry describes.
    #[must_use]
    pub fn life(&self, name: &Arc<str>) -> Incarnation {
        Incarnation {
            target: Arc::clone(name),
            started_ms: self.born,
        }
    }
}
