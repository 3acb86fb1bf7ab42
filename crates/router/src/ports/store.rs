//! The platform's store.

use std::{sync::Arc, time::Duration};

use coordinator::Millis;
use displaydoc::Display;
use futures::future::BoxFuture;
use routing::Catalog;
use thiserror::Error;

use crate::state::TargetEntry;

/// What others write to the store.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Topic {
    /// The configuration.
    Catalog,
    /// The targets that registered themselves.
    Targets,
}

/// Something that others wrote.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Update {
    /// A version of the configuration.
    Catalog(Arc<Catalog>),
    /// A target; `None` if it is gone or its entry names no target to use.
    Target(Arc<str>, Option<TargetEntry>),
}

/// An update with the revision that wrote it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// The revision.
    pub rev: u64,
    /// The update.
    pub update: Update,
}

/// The answer to a read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Read {
    /// The records in the order of their revisions.
    pub records: Vec<Record>,
    /// The revision from which a watch continues.
    pub rev: u64,
}

/// A row of the router's own table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnRow {
    /// Its name.
    pub name: String,
    /// The revision that wrote it.
    pub rev: u64,
    /// Its value.
    pub value: Vec<u8>,
}

/// Rows of the router's own table, as of one moment.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OwnRows {
    /// The rows in the order of their names.
    pub rows: Vec<OwnRow>,
    /// The store's clock.
    pub store_ms: Millis,
}

/// Changes of own rows, all of them or none.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    /// The revisions that rows must have; 0 means that the row does not exist.
    pub expected: Vec<(String, u64)>,
    /// Rows to write.
    pub puts: Vec<(String, Vec<u8>)>,
    /// Rows to remove.
    pub removes: Vec<String>,
}

/// What became of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Commit {
    /// It was carried out.
    Applied {
        /// Its revision.
        rev: u64,
        /// The store's clock.
        store_ms: Millis,
    },
    /// An expected row has another revision. Nothing was done.
    Conflict(OwnRows),
    /// Nothing was done.
    NotApplied(StoreError),
    /// It may have been carried out, or may be later if its expectations still hold.
    Unknown,
}

/// Why a call of the store failed.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum StoreError {
    /// the store refused the call
    Refused,
    /// too many calls
    Limited,
    /// the store has dropped the history that a watch asked for
    HistoryGone,
    /// the store did not answer
    NoAnswer,
    /// the store's answer is malformed
    Malformed,
}

/// The platform's store.
pub trait Store: Send + Sync {
    /// Reads everything of a topic.
    fn read(&self, topic: Topic) -> BoxFuture<'_, Result<Read, StoreError>>;

    /// Waits at most `wait` for records after the revision `after`.
    fn watch(
        &self,
        topic: Topic,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Read, StoreError>>;

    /// Reads the router's own rows.
    fn own_rows(&self) -> BoxFuture<'_, Result<OwnRows, StoreError>>;

    /// Reads one of the router's own rows.
    fn own_row<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<OwnRows, StoreError>>;

    /// Changes own rows.
    fn commit<'a>(&'a self, transaction: &'a Transaction) -> BoxFuture<'a, Commit>;
}
