//! A range of keys and its owner.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::KeyRange;

/// The fencing token of an assignment and of its grants; later assignments of keys have higher
/// tokens.
///
/// The high bits are the term of the coordinator, the low bits a counter, so that the tokens of a
/// later coordinator are above all earlier ones.
pub type FencingToken = u64;

/// One run of a target's process. A restarted target is another incarnation, which holds no keys.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Incarnation {
    /// Name of the target.
    pub target: Arc<str>,
    /// When the process started, in milliseconds of the target's wall clock.
    #[serde(rename = "born")]
    pub started_ms: u64,
}

/// State of the assignment of a slice.
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
    /// Fencing token of the assignment.
    #[serde(rename = "stamp")]
    pub token: FencingToken,
    /// State of the assignment.
    pub phase: Phase,
}
