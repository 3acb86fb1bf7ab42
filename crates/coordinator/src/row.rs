//! Slices as rows of the store.

use std::sync::Arc;

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{FencingToken, Incarnation, Key, KeyRange, Phase, Slice};

/// Why a row of the store is not a slice.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum RowError {
    /// the row name {0} does not name a slice
    InvalidName(String),
    /// the value of row {name} is malformed: {text}
    InvalidValue {
        /// Name of the row.
        name: String,
        /// What is malformed.
        text: String,
    },
}

/// A slice as it is stored: it names all targets that may hold its keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SliceRow {
    /// The service.
    pub service: Arc<str>,
    /// The keys.
    pub range: KeyRange,
    /// The owner.
    pub owner: Incarnation,
    /// Previous owners that may still hold the keys.
    pub previous_owners: Vec<Incarnation>,
    /// Fencing token of the assignment to the owner.
    pub token: FencingToken,
}

/// The value of a row. The stored names are short because each change of an owner writes a row.
#[derive(Deserialize, Serialize)]
struct RowValue {
    last: Key,
    owner: Incarnation,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "earlier")]
    previous_owners: Vec<Incarnation>,
    #[serde(rename = "stamp")]
    token: FencingToken,
}

impl SliceRow {
    /// Prefix of the names of slice rows.
    pub const PREFIX: &'static str = "slice/";

    /// Returns the name of the row.
    #[must_use]
    pub fn name(&self) -> String {
        format!("{}{}/{:04x}", Self::PREFIX, self.service, self.range.first)
    }

    /// Returns the encoded value of the row.
    ///
    /// # Panics
    ///
    /// Never panics: the value has string keys only, so it can be encoded.
    #[must_use]
    pub fn value(&self) -> Vec<u8> {
        let value = RowValue {
            last: self.range.last,
            owner: self.owner.clone(),
            previous_owners: self.previous_owners.clone(),
            token: self.token,
        };
        serde_json::to_vec(&value).expect("row values have string keys only")
    }

    /// Decodes a row.
    ///
    /// # Errors
    ///
    /// Fails if the name or the value is not that of a slice row.
    pub fn parse(name: &str, value: &[u8]) -> Result<Self, RowError> {
        let invalid_name = || RowError::InvalidName(name.to_owned());
        let suffix = name.strip_prefix(Self::PREFIX).ok_or_else(invalid_name)?;
        let (service, first) = suffix.rsplit_once('/').ok_or_else(invalid_name)?;
        let first = Key::from_str_radix(first, 16).map_err(|_| invalid_name())?;
        let invalid_value = |text: String| RowError::InvalidValue {
            name: name.to_owned(),
            text,
        };
        let value: RowValue =
            serde_json::from_slice(value).map_err(|it| invalid_value(it.to_string()))?;
        if value.last < first {
            return Err(invalid_value(String::from("last is below first")));
        }
        Ok(Self {
            service: service.into(),
            range: KeyRange::new(first, value.last),
            owner: value.owner,
            previous_owners: value.previous_owners,
            token: value.token,
        })
    }

    /// Returns the slice for hosts that have no newer information: its owner counts as the holder.
    #[must_use]
    pub fn slice(&self) -> Slice {
        Slice {
            range: self.range,
            owner: self.owner.clone(),
            token: self.token,
            phase: Phase::Held,
        }
    }
}
