//! Which requests crash targets.

use std::collections::HashMap;

use coordinator::{Incarnation, Millis};
use smallvec::SmallVec;

use crate::peers::Crash;

/// Lives of targets that must have crashed on a request before it is quarantined. Fewer would
/// quarantine requests that only happened to be in flight; the platform tolerates no more.
const CRASHES: usize = 3;

/// Time within which the crashes must lie, in milliseconds.
const WINDOW_MS: Millis = 60_000;

/// Requests that are remembered.
const KEPT: usize = 4_096;

/// Crashes by the requests that were in flight at them.
#[derive(Debug, Default)]
pub struct Crashes {
    seen: HashMap<u64, SmallVec<[(Incarnation, Millis); CRASHES]>>,
}

impl Crashes {
    /// Notes a crash; returns whether its request is to be quarantined.
    pub fn note(&mut self, crash: Crash, now: Millis) -> bool {
        if self.seen.len() >= KEPT && !self.seen.contains_key(&crash.fingerprint) {
            self.seen
                .retain(|_, it| it.iter().any(|(_, at)| now < at + WINDOW_MS));
            if self.seen.len() >= KEPT {
                log::warn!("too many requests were in flight at crashes; one more is not counted");
                return false;
            }
        }
        let lives = self.seen.entry(crash.fingerprint).or_default();
        lives.retain(|(_, at)| now < *at + WINDOW_MS);
        if lives.iter().any(|(life, _)| *life == crash.life) {
            return false;
        }
        lives.push((crash.life, now));
        lives.len() >= CRASHES
    }
}

#[cfg(test)]
mod tests;
