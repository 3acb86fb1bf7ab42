//! The result of a transaction.

use crate::Row;

/// The result of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum CommitResult {
    /// The transaction was applied.
    Applied {
        /// The revision of the transaction.
        rev: u64,
    },
    /// The transaction was rejected and not applied.
    NotApplied {
        /// The current rows whose conditions did not hold; empty if the platform rejected the
        /// transaction as invalid or too large.
        conflicts: Vec<Row>,
    },
    /// No conclusive answer: the transaction may have been applied, or may still be applied later.
    Unknown,
}
