//! Slices and hot keys, as input to the planner.

use std::sync::Arc;

use smallvec::SmallVec;

/// A slice of the service's hash space with its measured load.
#[derive(Clone, Debug, PartialEq)]
pub struct SliceInput {
    /// Lowest hash of the slice.
    pub low: u64,
    /// Highest hash of the slice.
    pub high: u64,
    /// Name of the target that owns the slice; a name that is not among the targets counts as
    /// lost.
    pub owner: Arc<str>,
    /// Requests per second, averaged over several seconds.
    pub load: f64,
    /// Regions that the requests come from. The shares add up to 1; empty if unknown.
    pub callers: SmallVec<[RegionShare; 2]>,
    /// Bytes that cross between regions if the slice moves to another region.
    pub bytes: u64,
}

/// Share of a slice's requests that comes from one region.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionShare {
    /// Name of the region.
    pub region: Arc<str>,
    /// Share of the requests, 0 to 1.
    pub share: f64,
}

/// A key with a large load of its own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HotKey {
    /// Hash of the key.
    pub hash: u64,
    /// Requests per second, averaged over several seconds; part of the load of its slice.
    pub load: f64,
}
