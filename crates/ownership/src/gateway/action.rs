//! Actions that a gateway requests from its driver, and their outcomes.

use smallvec::SmallVec;

use crate::{GrantOrder, GrantState, Renewal, RenewalReply, Slice, TargetRow, VoteRequest};

/// An action for the driver.
///
/// The driver reports the outcome of an action with the `now` of the [`tick`](crate::Gateway::tick)
/// that returned the action as its `sent` time, even if the message left later.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Request the votes of all voters. The driver asks the host's own voter first, and the others
    /// only if it grants its vote.
    Vote(VoteRequest),
    /// Notify all voters that this attempt releases its votes.
    Resign {
        /// The attempt, as in its vote requests.
        incarnation: u64,
    },
    /// Read the grant state of the target.
    ReadGrant,
    /// Send an order to the target.
    Grant(GrantOrder),
    /// Send a renewal to the target.
    Renew(Renewal),
    /// Commit a change of the store's table.
    Commit(Intent),
    /// Announce this host as the gateway to all hosts.
    Announce {
        /// Epoch of the gateway.
        epoch: u64,
    },
}

/// A change of the store's table.
///
/// Every commit is conditional on the revision of the target row that the gateway knows and on the
/// revisions of all slice rows that it writes. An intent that is returned again after
/// [`CommitOutcome::Unknown`] is committed with identical conditions and writes.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Intent {
    /// Write the target row.
    Record {
        /// The new value.
        row: TargetRow,
    },
    /// Write the slices with the next generation step and the same target.
    Regrant {
        /// The slices with their new generations.
        slices: Vec<Regrant>,
    },
    /// Assign the slices to other targets, with the next generation step.
    Reassign {
        /// The slices as they are in the table.
        slices: Vec<Slice>,
        /// Why they move.
        reason: MoveReason,
    },
}

/// A slice and the generation under which it is granted again.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Regrant {
    /// The slice as it is in the table.
    pub slice: Slice,
    /// The new generation, the first of the next step.
    pub generation: u64,
}

/// Why slices move off a target.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum MoveReason {
    /// The target is unreachable and no longer owns anything.
    Lost,
    /// The target is draining, or its data centre is declared lost.
    Draining,
    /// The planner asked for the move.
    Planned,
}

/// Outcome of a message to a target.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum GrantOutcome {
    /// The target answered a read, or accepted an order.
    Accepted(GrantState),
    /// The target accepted a renewal.
    Renewed(RenewalReply),
    /// The target refused an order or a renewal.
    Fenced(GrantState),
    /// There was no answer; the message may have arrived.
    Lost,
}

/// Outcome of a commit.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum CommitOutcome {
    /// The commit took effect.
    Applied {
        /// Its revision.
        rev: u64,
    },
    /// A condition failed; no attempt of this commit can take effect any more.
    NotApplied,
    /// There was no answer; the commit may have taken effect or may do so later.
    Unknown,
}

/// The actions of one tick.
pub type Actions = SmallVec<[Action; 4]>;
