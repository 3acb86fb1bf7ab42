//! A range of keys and its owner.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::KeyRange;

/// Orders all assignments of keys in time; also the fencing token of an assignment's grants.
///
/// A token is the term of the coordinator followed by a number that it counts up, so that the
/// tokens of a later coordinator are above all earlier ones.
pub type FencingToken = u64;

/// One run of a target's process. A target that was started again holds nothing.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Incarnation {
    /// Name of the target.
    pub target: Arc<str>,
    /// When the process started, in milliseconds of the target's time of day.
    #[serde(rename = "born")]
    pub started_ms: u64,
}

/// How far the assignment of a slice has got.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Phase {
    /// The owner has not confirmed that it holds the slice.
    Pending,
    /// The owner holds the slice.
    Held,
}

/// A range of keys with its owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Slice {
    /// The keys.
    pub range: KeyRange,
    /// The owner.
    pub owner: Incarnation,
    /// The assignment.
    #[serde(rename = "stamp")]
    pub token: FencingToken,
    /// How far the assignment has got.
    pub phase: Phase,
}
