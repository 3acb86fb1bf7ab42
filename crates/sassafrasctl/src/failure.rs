//! Failures of commands and their exit codes.

use displaydoc::Display;
use document::{Difference, Problem};
use serde::Serialize;
use thiserror::Error;

/// A failed command.
#[derive(Debug, Display, Error, Serialize)]
#[serde(tag = "error", rename_all = "snake_case")]
pub(crate) enum Failure {
    /// {0}
    #[serde(serialize_with = "message")]
    Arguments(String),
    /// {file} cannot be read: {reason}
    File { file: String, reason: String },
    /// {file} is not a valid document
    Document {
        file: String,
        problems: Vec<Problem>,
    },
    /// version {found} is in force, not {expected}; nothing was changed
    Conflict {
        expected: u64,
        found: u64,
        /// Change identifier of the version in force.
        change: Option<String>,
        /// Differences from the document in force to the given one; `None` if the former cannot be
        /// read.
        differences: Option<Vec<Difference>>,
    },
    /// {0}
    #[serde(serialize_with = "message")]
    Unreachable(String),
    /// there is no version {version}
    NoVersion { version: u64 },
    /// no log line contains the request {request}
    NoRequest { request: String },
    /// version {version} is applied, but not yet in force on every host
    Lagging {
        version: u64,
        hosts: Vec<LaggingHost>,
    },
    /// the store's answer was lost: change {change} may be, or may still become, version {version}
    Unknown { version: u64, change: String },
}

/// A host on which a version is not in force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub(crate) struct LaggingHost {
    /// The host's name.
    pub(crate) host: String,
    /// The version that it reports, or why it could not be queried.
    pub(crate) reason: String,
}

impl Failure {
    /// The exit code, as stated in the help.
    pub(crate) fn code(&self) -> u8 {
        match self {
            Self::Arguments(_)
            | Self::File { .. }
            | Self::Document { .. }
            | Self::NoRequest { .. }
            | Self::NoVersion { .. } => 1,
            Self::Conflict { .. } => 2,
            Self::Unreachable(_) => 3,
            Self::Lagging { .. } => 4,
            Self::Unknown { .. } => 5,
        }
    }
}

/// Serialises a message as a map, which a tagged enum needs.
fn message<S: serde::Serializer>(text: &str, serializer: S) -> Result<S::Ok, S::Error> {
    use serde::ser::SerializeMap;
    let mut map = serializer.serialize_map(Some(1))?;
    map.serialize_entry("message", text)?;
    map.end()
}
