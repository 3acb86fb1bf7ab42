//! Byte budget of the link between regions.

use std::sync::Mutex;

use crate::clock::Millis;

/// Share of the budget that large answers may use, in percent.
const LARGE_SHARE_PERCENT: u64 = 80;

/// Capacity of the token bucket, as milliseconds of this host's share of the link.
const BURST_MS: u64 = 500;

/// Maximum size of a small answer.
const SMALL_ANSWER_LIMIT_BYTES: u64 = 16 * 1024;

/// A token bucket over the bytes of answers that this host receives over the link.
///
/// Control messages are not limited. Small answers may use the whole budget and large ones only a
/// part of it, so that photographs cannot block small answers.
pub struct LinkBudget {
    state: Mutex<State>,
}

struct State {
    tokens: u64,
    last_refill: Millis,
}

/// Whether a request may cross the link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Crossing {
    /// There is budget.
    Allowed,
    /// The budget is used up.
    Refused,
}

impl LinkBudget {
    /// Creates a full budget. Its size follows from the rate of the first use.
    pub fn new() -> Self {
        Self {
            state: Mutex::new(State {
                tokens: u64::MAX,
                last_refill: 0,
            }),
        }
    }

    /// Decides whether an exchange that is expected to cost `bytes` may cross. `bytes_per_s` is the
    /// share of the link that this host may use.
    pub fn request(&self, now: Millis, bytes_per_s: u64, bytes: u64) -> Crossing {
        let mut state = self.refill(now, bytes_per_s);
        let capacity = bytes_per_s.saturating_mul(BURST_MS) / 1_000;
        let reserve = if bytes <= SMALL_ANSWER_LIMIT_BYTES {
            0
        } else {
            capacity * (100 - LARGE_SHARE_PERCENT) / 100
        };
        if state.tokens <= reserve {
            return Crossing::Refused;
        }
        state.tokens = state.tokens.saturating_sub(1);
        Crossing::Allowed
    }

    /// Charges bytes that crossed the link.
    pub fn charge(&self, now: Millis, bytes_per_s: u64, bytes: u64) {
        let mut state = self.refill(now, bytes_per_s);
        state.tokens = state.tokens.saturating_sub(bytes);
    }

    fn refill(&self, now: Millis, bytes_per_s: u64) -> std::sync::MutexGuard<'_, State> {
        let mut state = self.state.lock().expect("lock is not poisoned");
        let capacity = bytes_per_s.saturating_mul(BURST_MS) / 1_000;
        let earned = bytes_per_s.saturating_mul(now.saturating_sub(state.last_refill)) / 1_000;
        state.tokens = state.tokens.saturating_add(earned).min(capacity);
        // Callers read the clock before they take the lock, so `now` can be older than
        // `last_refill`.
        state.last_refill = state.last_refill.max(now);
        state
    }
}

#[cfg(test)]
mod tests;
