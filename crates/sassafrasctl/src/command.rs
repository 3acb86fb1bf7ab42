//! The commands and their arguments.

use std::time::Duration;

/// A command with its arguments.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Command {
    /// Validates a file.
    Check { file: String },
    /// Compares a file with the document in force.
    Diff { file: String },
    /// Makes a file the document in force.
    Apply(Apply),
    /// Prints a version of the document; `None` is the one in force.
    Show { version: Option<u64> },
    /// Lists the newest versions.
    History { limit: u64 },
    /// Prints the state of all hosts.
    Status,
    /// Looks up the owner of a key.
    Owner { service: String, key: String },
    /// Explains a request from the hosts' logs.
    Explain { request: String, files: Vec<String> },
    /// Prints the JSON Schema of documents.
    Schema,
}

/// Arguments of `apply`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Apply {
    /// The file with the new document.
    pub(crate) file: String,
    /// The version that must be in force; 0 if there must be none.
    pub(crate) expect: u64,
    /// How long to retry the transaction and read it back if the store's answer is lost.
    pub(crate) settle: Duration,
    /// How long to wait until the version is in force on all hosts; zero does not wait.
    pub(crate) wait: Duration,
}
