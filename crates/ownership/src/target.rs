//! Names and rows of targets.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{EPOCH_STEP, VOTER_COUNT};

/// Identifies a target.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TargetId {
    /// Name of the service.
    pub service: Arc<str>,
    /// Name of the target within the service.
    pub target: Arc<str>,
}

impl TargetId {
    /// Creates the identifier of `target` in `service`.
    #[must_use]
    pub fn new(service: &str, target: &str) -> Self {
        Self {
            service: service.into(),
            target: target.into(),
        }
    }
}

impl fmt::Display for TargetId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.target)
    }
}

/// The value of the row `target/<service>/<target>`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct TargetRow {
    /// Host that was the gateway when the row was written.
    pub gateway: Arc<str>,
    /// Epoch of that gateway.
    pub epoch: u64,
    /// Hosts whose votes decide on the tenure, in the order in which they try to gain it.
    #[serde(rename = "sponsors")]
    pub voters: SmallVec<[Arc<str>; VOTER_COUNT]>,
    /// State of the voter list.
    pub change: ListChange,
}

impl TargetRow {
    /// Returns the row by which `host`, without tenure, replaces a voter list whose majority is
    /// lost.
    #[must_use]
    pub fn force(&self, host: Arc<str>, voters: SmallVec<[Arc<str>; VOTER_COUNT]>) -> Self {
        Self {
            gateway: host,
            epoch: (self.epoch / EPOCH_STEP + 1) * EPOCH_STEP,
            voters,
            change: ListChange::Forced,
        }
    }
}

/// State of a voter list.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ListChange {
    /// A majority of the list is enough.
    #[default]
    Settled,
    /// The holder of the tenure replaced a voter; a majority of both lists is needed.
    Joint {
        /// The list before the replacement.
        previous: SmallVec<[Arc<str>; VOTER_COUNT]>,
    },
    /// A host replaced the list without tenure because a majority of the old list was lost. The
    /// holder of the old list's tenure may still act until its hold has ended.
    Forced,
}
