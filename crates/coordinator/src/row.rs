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
    Name(String),
    /// the value of row {name} is malformed: {text}
    Value {
        /// Name of the row.
        name: String,
        /// What is wrong.
        text: String,
    },
}

/// A slice as it is stored: whoever may hold its keys is named in it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SliceRow {
    /// The service.
    pub service: Arc<str>,
    /// The keys.
    pub range: KeyRange,
    /// The owner.
    pub owner: Incarnation,
    /// Earlier owners that may still hold the keys.
    pub previous_owners: Vec<Incarnation>,
    /// The assignment.
    pub token: FencingToken,
}

/// The value of a row; short names because each change of an owner writes one.
#[derive(Deserialize, Serialize)]
struct Value {
    last: Key,
    owner: Incarnation,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "earlier")]
    previous_owners: Vec<Incarnation>,
    #[serde(rename = "stamp")]
    token: FencingToken,
}

impl SliceRow {
    /// Beginning of the names of slice rows.
    pub const PREFIX: &'static str = "slice/";

    /// The name of the row.
    #[must_use]
    pub fn name(&self) -> String {
        format!("{}{}/{:04x}", Self::PREFIX, self.service, self.range.first)
    }

    /// The value of the row.
    ///
    /// # Panics
    ///
    /// Does not panic: the value has string keys only.
    #[must_use]
    pub fn value(&self) -> Vec<u8> {
        let value = Value {
            last: self.range.last,
            owner: self.owner.clone(),
            previous_owners: self.previous_owners.clone(),
            token: self.token,
        };
        serde_json::to_vec(&value).expect("row values have string keys only")
    }

    /// Reads a row.
    ///
    /// # Errors
    ///
    /// Fails if the name or the value is not that of a slice.
    pub fn parse(name: &str, value: &[u8]) -> Result<Self, RowError> {
        let invalid_name = || RowError::Name(name.to_owned());
        let rest = name.strip_prefix(Self::PREFIX).ok_or_else(invalid_name)?;
        let (service, first) = rest.rsplit_once('/').ok_or_else(invalid_name)?;
        let first = Key::from_str_radix(first, 16).map_err(|_| invalid_name())?;
        let invalid_value = |text: String| RowError::Value {
            name: name.to_owned(),
            text,
        };
        let value: Value =
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

    /// The slice as hosts use it that know nothing newer.
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
