//! Revisions of the store.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// The position of a write among all writes of the store.
///
/// When the store comes back from an older copy of its rows, it has lost acknowledged writes and
/// gives out their numbers again. The generation distinguishes these writes from the lost ones;
/// revisions of a later generation are greater.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[displaydoc("{generation}.{number}")]
pub struct Revision {
    /// How often the store has come back from a copy.
    pub generation: u64,
    /// Number within the generation; 0 is before the first write.
    pub number: u64,
}
