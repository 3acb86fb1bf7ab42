//! Holds that have ended, for the log.

use crate::{Incarnation, KeyRange};

/// How the hold of a previous owner ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HoldEnd {
    /// The target has released the keys.
    Released,
    /// The latest end of its grants has passed without a release.
    Expired,
    /// The incarnation of the target has ended.
    IncarnationEnded,
}

/// A previous owner that cannot hold its keys any more.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FormerHold {
    /// The keys.
    pub range: KeyRange,
    /// The previous owner.
    pub incarnation: Incarnation,
    /// How its hold ended.
    pub end: HoldEnd,
}
