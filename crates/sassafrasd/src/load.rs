//! Load counters of one target on its gateway.

use std::{collections::HashMap, sync::Arc};

use peer::{HotKey, SliceLoad};

/// Maximum number of keys with a counter of their own. A new key replaces the one with the lowest
/// count.
const MAX_TRACKED_KEYS: usize = 64;

/// Maximum number of hot keys in one summary.
const MAX_REPORTED_KEYS: usize = 8;

/// Requests by slice and by hot key since the last summary.
///
/// Hot keys are found with the space-saving algorithm, which bounds the memory for any number of
/// keys.
#[derive(Debug, Default)]
pub struct LoadCounters {
    slices: HashMap<u64, SliceCount>,
    keys: HashMap<u64, u64>,
}

#[derive(Clone, Copy, Debug, Default)]
struct SliceCount {
    requests: u64,
    remote: u64,
    bytes: u64,
}

/// The region that a request came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// The region of this host.
    Local,
    /// Another region.
    Remote,
}

impl LoadCounters {
    /// Creates empty counters.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request for a key of the slice that starts at `low`.
    pub fn count(&mut self, low: u64, hash: u64, origin: Origin) {
        let slice = self.slices.entry(low).or_default();
        slice.requests += 1;
        slice.remote += u64::from(origin == Origin::Remote);
        if let Some(count) = self.keys.get_mut(&hash) {
            *count += 1;
            return;
        }
        let mut base = 0;
        if self.keys.len() >= MAX_TRACKED_KEYS
            && let Some((key, count)) = self
                .keys
                .iter()
                .min_by_key(|(_, count)| **count)
                .map(|(k, c)| (*k, *c))
        {
            self.keys.remove(&key);
            base = count;
        }
        self.keys.insert(hash, base + 1);
    }

    /// Counts body bytes of the slice that starts at `low`.
    pub fn count_bytes(&mut self, low: u64, bytes: u64) {
        self.slices.entry(low).or_default().bytes += bytes;
    }

    /// Returns the counts and resets them.
    pub fn take(&mut self, service: &Arc<str>) -> (Vec<SliceLoad>, Vec<HotKey>) {
        let mut slices = Vec::with_capacity(self.slices.len());
        for (low, count) in self.slices.drain() {
            slices.push(SliceLoad {
                service: Arc::clone(service),
                low,
                requests: count.requests,
                remote: count.remote,
                bytes: count.bytes,
            });
        }
        let mut keys = Vec::with_capacity(self.keys.len());
        for (hash, requests) in self.keys.drain() {
            keys.push(HotKey {
                service: Arc::clone(service),
                hash,
                requests,
            });
        }
        keys.sort_by_key(|it| std::cmp::Reverse(it.requests));
        keys.truncate(MAX_REPORTED_KEYS);
        (slices, keys)
    }
}

#[cfg(test)]
mod tests;
