//! When the state of a host was last in sync with the store.

use std::sync::atomic::Ordering;

use coordinator::Millis;

use super::Node;

/// Age in milliseconds up to which a host's knowledge of the newest version of the configuration
/// spares others a read of the store. It exceeds the time for which the coordinator's own watch of the
/// store may be outstanding.
const MAX_CATALOG_AGE_MS: u64 = 1_500;

/// The same without a coordinator: nothing else tells a host of a new version then, and the host
/// that asks it has a pause between two questions as well.
const MAX_CATALOG_AGE_ALONE_MS: u64 = 500;

impl Node {
    /// Staleness: milliseconds since this host's state was in sync with the store.
    pub fn age_ms(&self) -> u64 {
        let now = self.clock.now();
        now.saturating_sub(self.synced_at.load(Ordering::Relaxed))
    }

    /// Milliseconds since this host's list of targets was in sync with the store, or since the start
    /// of this process if it never was.
    pub fn targets_age_ms(&self) -> u64 {
        let synced_at = self.targets_synced_at().unwrap_or_default();
        self.clock.now().saturating_sub(synced_at)
    }

    /// When this host's list of targets was last in sync with the store; `None` if not since the
    /// start of this process.
    pub fn targets_synced_at(&self) -> Option<Millis> {
        let at = self.targets_synced_at.load(Ordering::Relaxed);
        (at > 0).then_some(at)
    }

    /// Records that this host's list of targets was in sync with the store at `at`.
    pub fn set_targets_synced_at(&self, at: Millis) {
        self.targets_synced_at.fetch_max(at, Ordering::Relaxed);
    }

    /// Milliseconds since the version in force was known to be the newest one.
    pub fn catalog_age_ms(&self) -> u64 {
        let now = self.clock.now();
        now.saturating_sub(self.catalog.checked_at())
    }

    /// Age in milliseconds up to which this host's knowledge of the newest version of the
    /// configuration spares others a read of the store.
    pub fn max_catalog_age_ms(&self) -> u64 {
        match self.coordinator() {
            Some(_) => MAX_CATALOG_AGE_MS,
            None => MAX_CATALOG_AGE_ALONE_MS,
        }
    }

    /// Records that this host's state was in sync with the store at `at`.
    pub fn set_synced_at(&self, at: Millis) {
        self.synced_at.fetch_max(at, Ordering::Relaxed);
        self.synced.store(true, Ordering::Relaxed);
    }

    /// Whether this host's state has been in sync with the store since its start.
    pub fn is_synced(&self) -> bool {
        self.synced.load(Ordering::Relaxed)
    }
}
