//! The ownership protocol: which target owns a key, and which host may act for a target.
//!
//! The crate does no I/O, reads no clock and generates no random numbers. Times are passed in as
//! [`Millis`], and actions are returned as [`Action`] for a driver to perform. The rules and
//! their reasons are in `docs/design.md`, section 4. Start at [`Table`] for lookups and at
//! [`Gateway`] for the state machine of one host for one target.

mod fence;
mod gateway;
mod grant;
mod limits;
mod slice;
mod table;
mod tally;
mod target;
mod vote;
mod voter;

pub use fence::Fence;
pub use gateway::{
    Action, Checks, CommitOutcome, DataCentreState, Gateway, GatewayState, GatewayStatus,
    GrantOutcome, Intent, MoveReason, Permit, PermitError, Policy, Regrant,
};
pub use grant::{GrantOrder, GrantState, HeldSlice, Renewal, RenewalReply, RequestFence};
pub use limits::{
    DRIFT_PERCENT, EPOCH_STEP, GENERATION_STEP, GRANT_MS, GRANT_RENEW_MS, GRANT_RETRY_MS,
    GRANT_TIMEOUT_MS, Millis, VOTE_MS, VOTE_RENEW_MS, VOTER_COUNT, VOTER_TIMEOUT_MS,
    lengthen_for_drift, next_generation_step, shorten_for_drift,
};
pub use slice::{Slice, hash_key};
pub use table::{DocumentRow, Merge, Owner, RowError, Table, TableRow};
pub use tally::VoteTally;
pub use target::{ListChange, TargetId, TargetRow};
pub use vote::{Verdict, VoteRenewal, VoteReply, VoteRequest};
pub use voter::{Voter, renew_votes};

#[cfg(test)]
mod tests;
