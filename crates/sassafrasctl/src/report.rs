//! What a command reports when it is done.

use document::Difference;
use serde::Serialize;

use crate::{
    explain::Explanation,
    status::{Owner, Summary},
    store::Stored,
};

/// The result of a command.
#[derive(Debug, Serialize)]
#[serde(tag = "done", rename_all = "snake_case")]
pub(crate) enum Report {
    /// The document is valid.
    Check {
        file: String,
        name: String,
        services: usize,
        targets: usize,
    },
    /// Differences from the document in force; `version` 0 means that there is none.
    Diff {
        version: u64,
        differences: Vec<Difference>,
    },
    /// The document is applied and in force on `hosts` hosts, or `None` if that was not awaited.
    Apply {
        version: u64,
        change: String,
        hosts: Option<usize>,
    },
    /// A version.
    Show(Stored),
    /// Versions, the newest first.
    History { versions: Vec<Entry> },
    /// The state of the hosts.
    Status(Summary),
    /// The owner of a key.
    Owner(Owner),
    /// What the logs say of a request.
    Explain(Explanation),
    /// The JSON Schema.
    Schema { schema: String },
}

/// A version in the history.
#[derive(Debug, Serialize)]
pub(crate) struct Entry {
    /// The number.
    pub(crate) version: u64,
    /// The identifier of the change that made it.
    pub(crate) change: String,
    /// When, in milliseconds since 1970 by the operator's clock.
    pub(crate) time: Option<u64>,
    /// Size of the text in bytes.
    pub(crate) bytes: usize,
}
