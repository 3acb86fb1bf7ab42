//! The coordinator of a deployment whose targets own ranges of numeric keys.
//!
//! The host that holds the lease ([`LeaseRow`]) in the store is the coordinator. Its
//! [`SliceManager`]s, one for each service, grant each range of keys (a slice) to one target for a
//! limited time and move slices between targets. All hosts look up owners in a [`SliceTable`]. The
//! crate does no I/O, reads no clock and uses no randomness: times are [`Millis`] of the caller's
//! monotonic clock, and orders are returned as values.

pub mod balance;
mod demand;
mod lease;
mod range;
mod row;
mod slice;
mod slice_manager;
mod table;

pub use demand::{Demand, KeyLoad};
pub use lease::{LEASE_MS, LeaseRow, MAX_LEASE_MS, StoreClock, lease_duration};
pub use range::{Key, KeyRange};
pub use row::{RowError, SliceRow};
pub use slice::{FencingToken, Incarnation, Phase, Slice};
pub use slice_manager::{
    FormerHold, GrantOutcome, GrantTiming, HoldEnd, Memory, Order, OrderId, OrderKind,
    ReleaseOutcome, SliceManager,
};
pub use table::SliceTable;

/// Milliseconds of a monotonic clock that also counts the time for which the host is suspended.
pub type Millis = u64;

#[cfg(test)]
mod tests;
