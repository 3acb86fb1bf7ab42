//! Slices of a service's hash space.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// A range of one service's hash space and the target that owns it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Slice {
    /// Lowest hash of the range.
    pub low: u64,
    /// Highest hash of the range, inclusive.
    pub high: u64,
    /// Name of the owner within the service.
    pub target: Arc<str>,
    /// Generation of the assignment; it never decreases.
    pub generation: u64,
}

/// Returns the position of `key` in the hash space of `service`.
///
/// The service's name and a zero byte are hashed before the key, so that a key that is hot in two
/// services does not fall on the same position in both.
#[must_use]
pub fn hash_key(service: &str, key: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(service.as_bytes());
    hasher.update(&[0]);
    hasher.update(key.as_bytes());
    hasher.digest()
}
