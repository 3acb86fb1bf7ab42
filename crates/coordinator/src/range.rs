//! Ranges of keys.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A key. Load is often correlated between neighbouring keys.
pub type Key = u16;

/// A range of keys, inclusive on both ends and never empty.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct KeyRange {
    /// The lowest key.
    pub first: Key,
    /// The highest key.
    pub last: Key,
}

impl KeyRange {
    /// All keys.
    pub const ALL: Self = Self {
        first: 0,
        last: Key::MAX,
    };

    /// Creates a range.
    ///
    /// # Panics
    ///
    /// Panics if `last` is below `first`.
    #[must_use]
    pub fn new(first: Key, last: Key) -> Self {
        assert!(first <= last, "a range of keys must not be empty");
        Self { first, last }
    }

    /// Whether the range contains a key.
    #[must_use]
    pub fn contains(self, key: Key) -> bool {
        (self.first..=self.last).contains(&key)
    }

    /// Returns the number of keys.
    #[must_use]
    pub fn width(self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }

    /// Returns the keys that both ranges contain; `None` if there are none.
    #[must_use]
    pub fn intersection(self, other: Self) -> Option<Self> {
        let first = self.first.max(other.first);
        let last = self.last.min(other.last);
        (first <= last).then_some(Self { first, last })
    }

    /// Returns the keys of the range that are below `key`; `None` if there are none.
    #[must_use]
    pub fn below(self, key: Key) -> Option<Self> {
        let last = key.checked_sub(1)?.min(self.last);
        (self.first <= last).then_some(Self { last, ..self })
    }

    /// Returns the keys of the range that are above `key`; `None` if there are none.
    #[must_use]
    pub fn above(self, key: Key) -> Option<Self> {
        let first = key.checked_add(1)?.max(self.first);
        (first <= self.last).then_some(Self { first, ..self })
    }
}

impl fmt::Display for KeyRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.first, self.last)
    }
}
