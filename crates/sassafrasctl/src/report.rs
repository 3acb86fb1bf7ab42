//! Results of commands.

use document::Difference;
use serde::Serialize;

use crate::{
    explain::Explanation,
    status::{Owner, Summary},
    store::StoredVersion,
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
    /// Differences from the document in force; `version` is 0 if there is none.
    Diff {
        version: u64,
        differences: Vec<Difference>,
    },
    /// The document is applied; `hosts` is the number of hosts on which it is in force, or `None`
    /// if the command did not wait for them.
    Apply {
        version: u64,
        change: String,
        hosts: Option<usize>,
    },
    /// A version of the document.
    Show(StoredVersion),
    /// Versions, the newest first.
    History { versions: Vec<HistoryEntry> },
    /// The state of the hosts.
    Status(Summary),
    /// The owner of a key.
    Owner(Owner),
    /// The log lines that explain a request.
    Explain(Explanation),
    /// The JSON Schema.
    Schema { schema: String },
}

/// A version in the history.
#[derive(Debug, Serialize)]
pub(crate) struct HistoryEntry {
    /// The version number.
    pub(crate) version: u64,
    /// The identifier of the change that created the version.
    pub(crate) change: String,
    /// Time of the change in milliseconds since 1970, by the operator's clock.
    pub(crate) time: Option<u64>,
    /// Size of the text in bytes.
    pub(crate) bytes: usize,
}
