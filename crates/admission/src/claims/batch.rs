//! Claims and their last writes, as they are committed together.

use smallvec::SmallVec;

use crate::Millis;

/// A claim of an idempotency key, not yet written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Claim {
    /// Hash of service and idempotency key; names the row.
    pub hash: u64,
    /// Unique number of the attempt that claims the key.
    pub attempt: u64,
    /// Fingerprint of the request, to tell a retry from another request with the same key.
    pub fingerprint: u64,
    /// When the claim is of no more use.
    pub deadline: Millis,
}

/// The last write of a claim's row: its outcome, or its deletion. It is written on condition that
/// the row is still the one of its attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FinalWrite {
    /// Hash of the claim.
    pub hash: u64,
    /// Attempt that wrote the claim.
    pub attempt: u64,
    /// Revision of the claim's row.
    pub rev: u64,
    /// Until when it may wait for claims that share its commit.
    pub due: Millis,
    /// When the write is given up.
    pub deadline: Millis,
}

/// What is written in one commit: claims, each on condition that its row is absent, and final writes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Batch {
    /// Number of the batch; copies of one batch carry the same number.
    pub number: u64,
    /// The claims.
    pub claims: SmallVec<[Claim; 8]>,
    /// The final writes; none has the hash of a claim of the batch.
    pub final_writes: SmallVec<[FinalWrite; 8]>,
}

/// Result of a commit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BatchResult {
    /// This copy of the batch was written.
    Applied {
        /// Revision of the rows.
        rev: u64,
    },
    /// This copy was not written, because of the rows that are named here. The state of each row is
    /// taken by itself: a late copy of an earlier batch can have written some of them.
    Conflict {
        /// Attempts of the claims and final writes whose rows are those of other attempts, or absent
        /// or already finished.
        lost: SmallVec<[u64; 8]>,
        /// Attempts whose claim is in the store, with the revision of the row.
        own: SmallVec<[(u64, u64); 8]>,
    },
    /// No answer, or one that leaves open whether the rows were written.
    Unknown,
}
