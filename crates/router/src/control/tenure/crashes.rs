//! Detects requests that crash targets.

use std::collections::HashMap;

use coordinator::{Incarnation, Millis};
use smallvec::SmallVec;

use crate::peers::Crash;

/// Number of target incarnations that must have crashed on a request before it is quarantined.
/// Fewer would quarantine requests that only happened to be in flight; the platform tolerates no
/// more.
const MIN_CRASHES: usize = 3;

/// Time within which these crashes must occur, in milliseconds.
const WINDOW_MS: Millis = 60_000;

/// Maximum number of requests for which crashes are recorded.
const MAX_REQUESTS: usize = 4_096;

/// Crashes by the fingerprint of the request that was in flight.
#[derive(Debug, Default)]
pub struct Crashes {
    seen: HashMap<u64, SmallVec<[(Incarnation, Millis); MIN_CRASHES]>>,
}

impl Crashes {
    /// Records a crash; returns whether its request is to be quarantined.
    pub fn record(&mut self, crash: Crash, now: Millis) -> bool {
        if self.seen.len() >= MAX_REQUESTS && !self.seen.contains_key(&crash.fingerprint) {
            self.seen
                .retain(|_, it| it.iter().any(|(_, at)| now < at + WINDOW_MS));
            if self.seen.len() >= MAX_REQUESTS {
                log::warn!(
                    "the crash table is full ({MAX_REQUESTS} requests); a crash is not counted"
                );
                return false;
            }
        }
        let crashed = self.seen.entry(crash.fingerprint).or_default();
        crashed.retain(|(_, at)| now < *at + WINDOW_MS);
        if crashed
            .iter()
            .any(|(incarnation, _)| *incarnation == crash.incarnation)
        {
            return false;
        }
        crashed.push((crash.incarnation, now));
        crashed.len() >= MIN_CRASHES
    }
}

#[cfg(test)]
mod tests;
