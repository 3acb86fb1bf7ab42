//! The retry budget of one service.

use crate::Millis;

/// Usual length of the sliding window; unused allowance older than this is lost, so that a quiet
/// hour does not pay for a burst of retries.
const WINDOW_MS: u64 = 10_000;
/// Parts of the window.
const PARTS: usize = 10;
/// Retries that are allowed before enough requests were seen to earn them.
const FLOOR_RETRIES: u64 = 2;
/// Cost of one retry; each request earns `percent` of it.
const RETRY_COST: u64 = 100;

/// Whether the budget allows a retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryVerdict {
    /// The retry may be sent and has been charged.
    Allowed,
    /// The budget is used up.
    Exhausted,
}

/// A token bucket that each request fills by a percentage of a retry.
///
/// The floor is an advance that the first requests repay. The number of retries therefore never
/// exceeds the larger of the floor and `percent` of all requests, however long an outage lasts:
/// with 10 percent, attempts stay within 1.1 times the requests once 20 requests were seen.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u64,
    debt: u64,
    tokens: u64,
    part_ms: u64,
    parts: [u64; PARTS],
    current: u64,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries for each 100 requests; 0 allows no retry at all.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        let floor = if percent == 0 {
            0
        } else {
            FLOOR_RETRIES * RETRY_COST
        };
        Self {
            percent: percent.into(),
            debt: floor,
            tokens: floor,
            part_ms: WINDOW_MS / PARTS as u64,
            parts: [0; PARTS],
            current: 0,
        }
    }

    /// Loses unused allowance after `window_ms` milliseconds.
    #[must_use]
    pub fn with_window(self, window_ms: Millis) -> Self {
        Self {
            part_ms: (window_ms / PARTS as u64).max(1),
            ..self
        }
    }

    /// Counts a first attempt.
    pub fn on_request(&mut self, now: Millis) {
        self.advance(now);
        self.parts[Self::index(self.current)] += self.percent;
        let repaid = self.debt.min(self.percent);
        self.debt -= repaid;
        self.tokens += self.percent - repaid;
        self.cap();
    }

    /// Asks for a retry and charges it if it is allowed.
    pub fn try_retry(&mut self, now: Millis) -> RetryVerdict {
        self.advance(now);
        match self.tokens.checked_sub(RETRY_COST) {
            Some(rest) => {
                self.tokens = rest;
                RetryVerdict::Allowed
            }
            None => RetryVerdict::Exhausted,
        }
    }

    /// Drops the parts that have left the window.
    fn advance(&mut self, now: Millis) {
        let part = now / self.part_ms;
        if part <= self.current {
            return;
        }
        let passed = (part - self.current).min(PARTS as u64);
        for step in 1..=passed {
            self.parts[Self::index(self.current + step)] = 0;
        }
        self.current = part;
        self.cap();
    }

    fn cap(&mut self) {
        let earned = self.parts.iter().sum::<u64>();
        self.tokens = self.tokens.min(earned.max(FLOOR_RETRIES * RETRY_COST));
    }

    fn index(part: u64) -> usize {
        usize::try_from(part % PARTS as u64).expect("an index within the window fits")
    }
}

#[cfg(test)]
mod tests;
