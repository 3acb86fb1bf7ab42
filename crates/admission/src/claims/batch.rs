//! Batches of claims and final writes that are committed together.

use smallvec::SmallVec;

use crate::Millis;

/// A claim of an idempotency key that is not yet written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Claim {
    /// Hash of service and idempotency key; it identifies the row.
    pub hash: u64,
    /// Unique number of the attempt that claims the key.
    pub attempt: u64,
    /// Fingerprint of the request, to distinguish a retry from a different request with the same
    /// key.
    pub fingerprint: u64,
    /// When the request is refused if the claim is not confirmed.
    pub deadline: Millis,
}

/// The last write of a claim's row: the outcome of the request, or the deletion of the row. It is
/// conditional on the row still being the one that the attempt wrote.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FinalWrite {
    /// Hash of the claim.
    pub hash: u64,
    /// Attempt that wrote the claim.
    pub attempt: u64,
    /// Revision of the claim's row.
    pub rev: u64,
    /// Until when the write may wait for claims that share its commit.
    pub due: Millis,
    /// When the write is abandoned.
    pub deadline: Millis,
}

/// The writes of one commit: claims, each conditional on the absence of its row, and final writes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Batch {
    /// Number of the batch; all copies of one batch have the same number.
    pub number: u64,
    /// The claims, at most [`ClaimLimits::batch`](crate::ClaimLimits::batch).
    pub claims: SmallVec<[Claim; 8]>,
    /// The final writes; none has the same hash as a claim of the batch.
    pub final_writes: SmallVec<[FinalWrite; 8]>,
}

/// Result of a commit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BatchResult {
    /// This copy of the batch was written.
    Applied {
        /// Revision of the written rows.
        rev: u64,
    },
    /// This copy was not written, because of the rows of the attempts listed here. Each row is
    /// judged on its own, since a delayed copy of an earlier batch can have written some of them.
    Conflict {
        /// Attempts of the claims whose row belongs to another attempt, and of the final writes
        /// whose row belongs to another attempt, is absent or already has its final write.
        lost: SmallVec<[u64; 8]>,
        /// Attempts whose claim is in the store, each with the revision of its row.
        own: SmallVec<[(u64, u64); 8]>,
    },
    /// No answer, or one that does not tell whether the rows were written.
    Unknown,
}
