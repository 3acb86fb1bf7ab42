//! Access to the document's rows in the store.

use document::Document;
use platform::{Commit, Condition, Platform, PlatformError, Write};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::failure::Failure;

/// The row of the version in force.
const CURRENT_ROW: &str = "document/current";

/// A version of the document as it is stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct StoredVersion {
    /// The version number, counted from 1.
    pub(crate) version: u64,
    /// Random identifier of the change that created the version.
    pub(crate) change: String,
    /// Time of the change in milliseconds since 1970, by the operator's clock; absent in
    /// `document/current`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) time: Option<u64>,
    /// The text of the document.
    pub(crate) text: String,
}

impl StoredVersion {
    /// The document, or `None` if this version of the program considers its text invalid.
    pub(crate) fn document(&self) -> Option<Document> {
        document::parse(&self.text).ok()
    }
}

/// The version in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct CurrentVersion {
    /// Revision of the row; 0 if the row does not exist.
    pub(crate) rev: u64,
    /// The version; `None` if the row does not exist.
    pub(crate) stored: Option<StoredVersion>,
}

impl CurrentVersion {
    /// The version number; 0 if no version is in force.
    pub(crate) fn version(&self) -> u64 {
        self.stored.as_ref().map_or(0, |it| it.version)
    }
}

/// Reads and writes the document's rows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Store<'a> {
    platform: &'a Platform,
}

impl<'a> Store<'a> {
    pub(crate) fn new(platform: &'a Platform) -> Self {
        Self { platform }
    }

    /// Reads the version in force.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be reached or the row cannot be read.
    pub(crate) async fn read_current(self) -> Result<CurrentVersion, Failure> {
        let row = self.read_row(CURRENT_ROW).await?;
        let (rev, stored) = row.unzip();
        Ok(CurrentVersion {
            rev: rev.unwrap_or(0),
            stored,
        })
    }

    /// Reads a version; `None` if it is absent.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be reached or the row cannot be read.
    pub(crate) async fn read_version(self, version: u64) -> Result<Option<StoredVersion>, Failure> {
        let row = self.read_row(&version_row(version)).await?;
        Ok(row.map(|(_, stored)| stored))
    }

    /// The transaction that puts `stored` into force if `document/current` still has revision
    /// `rev`.
    ///
    /// Its conditions ensure that it takes effect at most once, even if it is sent several times.
    pub(crate) fn transaction(rev: u64, stored: &StoredVersion) -> Commit {
        let row = version_row(stored.version);
        let current = StoredVersion {
            time: None,
            ..stored.clone()
        };
        Commit {
            change: stored.change.clone(),
            conditions: vec![
                Condition {
                    row: CURRENT_ROW.to_owned(),
                    rev,
                },
                Condition {
                    row: row.clone(),
                    rev: 0,
                },
            ],
            writes: vec![
                write_row(CURRENT_ROW.to_owned(), &current),
                write_row(row, stored),
            ],
        }
    }

    async fn read_row<T: DeserializeOwned>(self, name: &str) -> Result<Option<(u64, T)>, Failure> {
        let Some(row) = self
            .platform
            .row(name)
            .await
            .map_err(|err| platform_failure(&err))?
        else {
            return Ok(None);
        };
        match serde_json::from_value(row.value) {
            Ok(value) => Ok(Some((row.rev, value))),
            Err(err) => Err(Failure::Unreachable(format!(
                "the row {name} cannot be read: {err}"
            ))),
        }
    }
}

/// The failure for a read from the platform that failed with `err`.
pub(crate) fn platform_failure(err: &PlatformError) -> Failure {
    Failure::Unreachable(err.to_string())
}

fn version_row(version: u64) -> String {
    format!("document/v/{version}")
}

fn write_row(row: String, stored: &StoredVersion) -> Write {
    Write {
        row,
        value: serde_json::to_value(stored).expect("a stored version can be represented as JSON"),
    }
}
