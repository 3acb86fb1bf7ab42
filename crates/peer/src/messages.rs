//! Types of the control messages.

use std::sync::Arc;

use ownership::{Millis, TableRow, TargetId, VoteReply};
use serde::{Deserialize, Serialize};

/// The answer of a voter to a renewal and to requests for votes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Votes {
    /// The result of the renewal.
    pub renewed: RenewalResult,
    /// Age of the voter's last store contact in milliseconds; `None` if it had no contact yet.
    pub contact: Option<Millis>,
    /// The answers to the requests, in the order of the requests.
    pub replies: Vec<VoteReply>,
}

/// The result of a renewal of votes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RenewalResult {
    /// All votes of the set were renewed for another `VOTE_MS`.
    All,
    /// No vote was renewed: the voter has recorded a different set of votes for the host, or no
    /// renewal was sent.
    None,
}

/// The rows of a peer's table after a revision, and what the peer knows besides the table.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TableCopy {
    /// The newest revision known to the peer.
    pub rev: u64,
    /// Whether the peer's table was confirmed by the store, directly or through a ready peer.
    pub ready: bool,
    /// The rows after the requested revision.
    pub rows: Vec<TableRow>,
    /// Adoption hints: gateways that took over targets without a store write.
    pub adoptions: Vec<Adoption>,
    /// Targets that do not answer their gateways.
    pub unreachable: Vec<TargetId>,
    /// The membership list as the peer last read it, as JSON. A host that starts while the platform
    /// is down uses it to find the other hosts.
    pub members: String,
}

/// A gateway that took over a target, with the epoch that the target accepted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Adoption {
    /// The target.
    pub target: TargetId,
    /// The epoch that the target accepted.
    pub epoch: u64,
    /// The host that is now the gateway of the target.
    pub host: Arc<str>,
}

/// A target and whether it answers its gateway.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetReach {
    /// The target.
    pub target: TargetId,
    /// Whether it answers.
    pub reach: Reach,
}

/// Whether a target answers its gateway.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reach {
    /// The target answers.
    Reachable,
    /// The target does not answer; no slices should be assigned to it.
    Unreachable,
}

/// A request that was in flight when a target crashed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineEntry {
    /// The service.
    pub service: Arc<str>,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Milliseconds since the request was quarantined; not used for suspects.
    pub age_ms: u64,
    /// Whether the request is a suspect or quarantined.
    #[serde(rename = "charge")]
    pub state: QuarantineState,
}

/// Quarantine state of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum QuarantineState {
    /// The request was in flight at one crash.
    Suspect,
    /// The request was in flight at a second crash and is quarantined.
    Quarantined,
}

/// Load that a host has dispatched since its previous summary.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct LoadSummary {
    /// Length of the interval in milliseconds.
    pub span_ms: u64,
    /// Load of each slice that this host dispatches to.
    pub slices: Vec<SliceLoad>,
    /// The hottest keys.
    pub hot: Vec<HotKey>,
    /// The targets that this host is gateway of.
    pub targets: Vec<TargetReport>,
}

/// Load of one slice.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SliceLoad {
    /// The service.
    pub service: Arc<str>,
    /// Lowest hash of the slice.
    pub low: u64,
    /// Requests in the interval.
    pub requests: u64,
    /// Requests that came from another region.
    pub remote: u64,
    /// Bytes of request and response bodies.
    pub bytes: u64,
}

/// Load of one key.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HotKey {
    /// The service.
    pub service: Arc<str>,
    /// The key's hash.
    pub hash: u64,
    /// Requests in the interval.
    pub requests: u64,
}

/// State of one target as its gateway sees it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TargetReport {
    /// The target.
    pub target: TargetId,
    /// Whether the target is draining.
    pub draining: bool,
    /// Milliseconds since the host became the gateway of the target.
    pub age_ms: u64,
}

/// A planned move of one slice to another target.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SliceMove {
    /// Lowest hash of the slice.
    pub low: u64,
    /// Name of the new owner.
    pub to: Arc<str>,
}

/// Answer to a request to move, split or merge slices.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MoveResult {
    /// The gateway has started to release the slices, or has sent the split or merge to the store,
    /// whatever the result.
    Started,
    /// The host is not the gateway of the target, or the split or merge does not fit its table.
    NotGateway,
    /// The host has had no recent contact with the store and might not be able to commit the moves.
    StoreUnreachable,
    /// The gateway cannot reach the target; it moves the slices of the target itself once they have
    /// no owner.
    TargetUnreachable,
}
