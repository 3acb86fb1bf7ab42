//! Result of a planning round.

use std::sync::Arc;

use smallvec::SmallVec;

use crate::PlannerState;

/// The decisions of one round. No slice is in more than one of the lists.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Changes of owner.
    pub moves: Vec<Move>,
    /// Slices to split; the parts keep the owner.
    pub splits: Vec<Split>,
    /// Neighbouring slices of one owner to merge.
    pub merges: Vec<Merge>,
    /// State to pass to the next round.
    pub state: PlannerState,
}

/// A change of the owner of a slice.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Move {
    /// Lowest hash of the slice.
    pub low: u64,
    /// Name of the new owner.
    pub to: Arc<str>,
}

/// A split of a slice into two or more.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Split {
    /// Lowest hash of the slice.
    pub low: u64,
    /// Lowest hashes of the new slices, in ascending order; all above `low` and inside the slice.
    pub at: SmallVec<[u64; 2]>,
}

/// A merge of two neighbouring slices of one owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Merge {
    /// Lowest hash of the first slice, which is extended.
    pub low: u64,
    /// Lowest hash of the second slice, which is removed.
    pub next: u64,
}
