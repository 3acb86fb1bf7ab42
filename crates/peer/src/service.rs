//! The tarpc service that each host offers to the others.

#![allow(missing_docs, reason = "tarpc generates items without doc comments")]

use std::sync::Arc;

use ownership::{TableRow, TargetId, VoteRenewal, VoteRequest};

use crate::{
    Adoption, LoadSummary, MoveResult, QuarantineEntry, SliceMove, TableCopy, TargetReach, Votes,
};

/// Control messages between hosts.
#[tarpc::service]
pub trait Peer {
    /// Renews the votes of this host for the calling host, then votes on requests for further ones,
    /// one for each target.
    async fn vote(renewal: Option<VoteRenewal>, requests: Vec<VoteRequest>) -> Votes;
    /// Releases the votes for `targets` that this host has granted to `incarnation` of `host`.
    async fn resign(targets: Vec<TargetId>, host: Arc<str>, incarnation: u64);
    /// Reads the rows of this host's table after revision `rev`.
    async fn rows_after(rev: u64) -> TableCopy;
    /// Delivers new rows.
    async fn push_rows(rows: Vec<TableRow>);
    /// Delivers adoption hints.
    async fn push_adoptions(adoptions: Vec<Adoption>);
    /// Delivers changes of whether targets answer their gateways.
    async fn push_reach(updates: Vec<TargetReach>);
    /// Delivers quarantine entries.
    async fn push_quarantine(entries: Vec<QuarantineEntry>);
    /// Reads and resets the load counters.
    async fn loads() -> LoadSummary;
    /// Asks the gateway of a target to move slices to other targets.
    async fn move_slices(target: TargetId, moves: Vec<SliceMove>) -> MoveResult;
    /// Asks the gateway of a target to split the slice with the lowest hash `low` at the hashes in
    /// `at`; each is the lowest hash of a new slice.
    async fn split_slice(target: TargetId, low: u64, at: Vec<u64>) -> MoveResult;
    /// Asks the gateway of a target to merge the slice with the lowest hash `low` with the one that
    /// follows it, whose lowest hash is `next`.
    async fn merge_slice(target: TargetId, low: u64, next: u64) -> MoveResult;
}
