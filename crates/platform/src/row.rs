//! Rows of the table service and transactions on them.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A row and the revision at which it was written; a null value is a tombstone.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// The row's name.
    pub row: String,
    /// The revision of the transaction that wrote the row.
    pub rev: u64,
    /// The value, or null if the row was deleted.
    pub value: Value,
}

/// Rows after a revision, in the order of their revisions.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RowPage {
    /// The newest revision of the store.
    pub rev: u64,
    /// The rows.
    pub rows: Vec<Row>,
    /// Whether more rows follow the last one.
    pub more: bool,
}

/// A transaction: applied atomically if all conditions hold.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Commit {
    /// Identifier of the change, for logs and for reading back its outcome.
    pub change: String,
    /// Conditions on revisions.
    pub conditions: Vec<Condition>,
    /// Rows to write.
    pub writes: Vec<Write>,
}

/// A condition: the row has this revision; 0 means that it is absent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Condition {
    /// The row's name.
    pub row: String,
    /// The expected revision.
    pub rev: u64,
}

/// A row to write; a null value deletes it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Write {
    /// The row's name.
    pub row: String,
    /// The new value.
    pub value: Value,
}

/// The answer to a transaction that was applied.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Committed {
    /// The revision of the transaction.
    pub rev: u64,
}

/// The answer to a transaction whose conditions did not hold: the current rows.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Conflicts {
    /// Current state of each row whose condition failed; revision 0 if absent.
    pub conflicts: Vec<Row>,
}
