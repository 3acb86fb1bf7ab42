//! Rows as they are exchanged between hosts.

use std::sync::Arc;

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::TargetId;

/// A row of the store with its revision.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct TableRow {
    /// Name of the row.
    pub name: Arc<str>,
    /// Revision of the transaction that wrote the row.
    pub rev: u64,
    /// The value as JSON text; `None` if the row was deleted.
    pub value: Option<Arc<str>>,
}

/// Result of a merge.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Merge {
    /// The row replaced an older copy or was new.
    Changed,
    /// The row was not newer than the local copy, or is of a kind that the table does not keep.
    Stale,
}

/// Why a row could not be merged.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum RowError {
    /// the row name {0} is malformed
    Name(Arc<str>),
    /// the value of row {name} is malformed: {text}
    Value {
        /// Name of the row.
        name: Arc<str>,
        /// Message of the JSON parser, or the rule that the value violates.
        text: String,
    },
}

/// The value of the row `document/current`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DocumentRow {
    /// Version of the document; it never decreases.
    pub version: u64,
    /// Identifier of the change that created the version.
    pub change: String,
    /// The document.
    pub text: String,
}

/// The value of a row `slice/<service>/<low>`.
#[derive(Deserialize, Serialize)]
pub(super) struct SliceValue {
    pub(super) high: u64,
    pub(super) target: Arc<str>,
    pub(super) generation: u64,
}

/// What a row describes, according to its name.
pub(super) enum RowKind<'a> {
    Document,
    Slice { service: &'a str, low: u64 },
    Target(TargetId),
    Other,
}

impl TableRow {
    pub(super) fn kind(&self) -> Result<RowKind<'_>, RowError> {
        let malformed = || RowError::Name(Arc::clone(&self.name));
        if &*self.name == "document/current" {
            return Ok(RowKind::Document);
        }
        if let Some(rest) = self.name.strip_prefix("slice/") {
            let (service, low) = rest.rsplit_once('/').ok_or_else(malformed)?;
            if low.len() != 16 || service.is_empty() {
                return Err(malformed());
            }
            let low = u64::from_str_radix(low, 16).map_err(|_| malformed())?;
            return Ok(RowKind::Slice { service, low });
        }
        if let Some(rest) = self.name.strip_prefix("target/") {
            let (service, target) = rest.split_once('/').ok_or_else(malformed)?;
            if service.is_empty() || target.is_empty() {
                return Err(malformed());
            }
            return Ok(RowKind::Target(TargetId::new(service, target)));
        }
        Ok(RowKind::Other)
    }

    pub(super) fn parse<'a, T: Deserialize<'a>>(&self, text: &'a str) -> Result<T, RowError> {
        serde_json::from_str(text).map_err(|it| RowError::Value {
            name: Arc::clone(&self.name),
            text: it.to_string(),
        })
    }
}
