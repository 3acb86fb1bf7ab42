//! The interface to the platform's store.

use std::{sync::Arc, time::Duration};

use coordinator::Millis;
use displaydoc::Display;
use futures::future::BoxFuture;
use routing::Catalog;
use thiserror::Error;

use super::Revision;
use crate::state::TargetEntry;

/// A set of records that others write to the store.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Topic {
    /// The configuration and the evacuations.
    Catalog,
    /// The registered targets.
    Targets,
}

/// A change that others wrote.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Update {
    /// A version of the configuration.
    Catalog(Arc<Catalog>),
    /// Whether a data centre is evacuated.
    Evacuation(Arc<str>, bool),
    /// A target; `None` if it was removed or its entry is not usable.
    Target(Arc<str>, Option<TargetEntry>),
}

/// An update and the revision at which it was written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// The revision.
    pub rev: Revision,
    /// The update.
    pub update: Update,
}

/// The result of a read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Read {
    /// The records in the order of their revisions.
    pub records: Vec<Record>,
    /// Revision of the last change in the answer, which may have no record because it is not
    /// usable; `None` if there was no change.
    pub last_rev: Option<Revision>,
    /// Number of changes that are left out because not even their revision is readable.
    pub unreadable: usize,
    /// The newest revision of the store.
    pub rev: Revision,
    /// Time of the store's clock.
    pub store_ms: Millis,
}

/// A row of the router's own table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnRow {
    /// Its name.
    pub name: String,
    /// The revision at which it was written.
    pub rev: Revision,
    /// Its value.
    pub value: Vec<u8>,
}

/// Rows of the router's own table, as of one moment.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OwnRows {
    /// The rows in the order of their names.
    pub rows: Vec<OwnRow>,
    /// Time of the store's clock.
    pub store_ms: Millis,
    /// The store's generation.
    pub generation: u64,
    /// Number of the newest revision of the store.
    pub number: u64,
}

impl OwnRows {
    /// The newest revision of the store.
    #[must_use]
    pub fn rev(&self) -> Revision {
        Revision {
            generation: self.generation,
            number: self.number,
        }
    }
}

/// An atomic change of the router's own rows.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    /// Revisions that rows must have for the transaction to apply; the number 0 means that the row
    /// must not exist. The store compares the numbers only: if it has come back from a copy, a
    /// transaction may be applied although another host wrote the row.
    pub expected: Vec<(String, Revision)>,
    /// Rows to write.
    pub puts: Vec<(String, Vec<u8>)>,
    /// Rows to remove.
    pub removes: Vec<String>,
}

/// The result of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitResult {
    /// It was applied.
    Applied {
        /// Its revision.
        rev: Revision,
        /// Time of the store's clock.
        store_ms: Millis,
    },
    /// A row has another revision than expected, and the transaction was not applied. Contains the
    /// current rows.
    Conflict(OwnRows),
    /// It was not applied.
    NotApplied(StoreError),
    /// It may have been applied, or may still be applied later if its expected revisions match.
    Unknown,
}

/// Why a call of the store failed.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum StoreError {
    /// the store refused the call
    Refused,
    /// the store refused the call because of its limit on calls
    Limited,
    /// the store has dropped the history that a watch asked for
    HistoryGone,
    /// the store did not answer
    NoAnswer,
    /// the store's answer is malformed
    Malformed,
}

/// The interface to the platform's store.
pub trait Store: Send + Sync {
    /// Reads all records of a topic.
    fn read(&self, topic: Topic) -> BoxFuture<'_, Result<Read, StoreError>>;

    /// Waits at most `wait` for records after the revision `after`. Fails with
    /// [`StoreError::HistoryGone`] if the store has another generation.
    fn watch(
        &self,
        topic: Topic,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Read, StoreError>>;

    /// Reads the router's own rows.
    fn own_rows(&self) -> BoxFuture<'_, Result<OwnRows, StoreError>>;

    /// Reads the router's own rows that were written after the revision `after`. Fails with
    /// [`StoreError::HistoryGone`] if the store does not have its history any more.
    fn own_rows_after(&self, after: Revision) -> BoxFuture<'_, Result<OwnRows, StoreError>>;

    /// Reads one of the router's own rows.
    fn own_row<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<OwnRows, StoreError>>;

    /// Commits a transaction on the router's own rows.
    fn commit<'a>(&'a self, transaction: &'a Transaction) -> BoxFuture<'a, CommitResult>;
}
