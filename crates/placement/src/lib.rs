//! Placement of slices on targets, and the choice of voters among the hosts.
//!
//! [`partition_hash_space`] creates the slices of a new service, [`fn@plan`] improves the
//! placement round by round, [`fn@spread`] places the slices of a lost target, and
//! [`choose_voters`] picks the hosts that vote on the tenure of a target. Hash ranges are
//! inclusive on both ends.
//!
//! This crate does no I/O, reads no clock and draws no randomness: time, seeds and the state
//! carried between rounds are arguments and results.

mod balance;
mod fleet;
mod host;
mod initial;
mod input;
mod plan;
mod planner;
mod slice;
mod spread;
mod state;
mod target;
mod tracked_keys;
mod voters;

pub use balance::Balance;
pub use host::{HostInput, HostState};
pub use initial::{InitialSlice, SLICES_PER_TARGET, ServiceInput, partition_hash_space};
pub use input::Input;
pub use plan::{Merge, Move, Plan, Split};
pub use planner::{MAX_OPTIONAL_MOVES, plan};
pub use slice::{HotKey, RegionShare, SliceInput};
pub use spread::spread;
pub use state::PlannerState;
pub use target::{TargetInput, TargetState};
pub use voters::{choose_voters, rank_voters};
