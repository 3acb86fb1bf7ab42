//! The retry budget of one service.

use crate::Millis;

/// Default length of the sliding window. Unused allowance older than this expires, so that a quiet
/// hour does not allow a burst of retries.
const WINDOW_MS: u64 = 10_000;
/// Parts into which the window is divided; the oldest expires as a whole.
const WINDOW_PARTS: usize = 10;
/// Retries that are allowed before enough requests were counted to earn them.
const MIN_RETRIES: u64 = 2;
/// Tokens charged for one retry; each request earns `percent` of them.
const TOKENS_PER_RETRY: u64 = 100;

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
/// The bucket starts with tokens for a minimum of retries, which the first requests pay back. The
/// number of retries therefore never exceeds the larger of this minimum and `percent` of all
/// requests, however long an outage lasts: with 10 percent, attempts stay within 1.1 times the
/// requests once 20 requests were counted.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u64,
    /// Tokens of the initial minimum that requests have not paid back yet.
    debt: u64,
    tokens: u64,
    part_ms: u64,
    /// Tokens earned in each part of the window, as a ring buffer.
    parts: [u64; WINDOW_PARTS],
    /// Number of the newest part since the start of the clock.
    current: u64,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries for each 100 requests; 0 allows no retry at all.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        let minimum = if percent == 0 {
            0
        } else {
            MIN_RETRIES * TOKENS_PER_RETRY
        };
        Self {
            percent: percent.into(),
            debt: minimum,
            tokens: minimum,
            part_ms: WINDOW_MS / WINDOW_PARTS as u64,
            parts: [0; WINDOW_PARTS],
            current: 0,
        }
    }

    /// Sets the length of the window, after which unused allowance expires.
    #[must_use]
    pub fn with_window(self, window_ms: Millis) -> Self {
        Self {
            part_ms: (window_ms / WINDOW_PARTS as u64).max(1),
            ..self
        }
    }

    /// Counts the first attempt of a request.
    pub fn on_request(&mut self, now: Millis) {
        self.advance(now);
        self.parts[Self::index(self.current)] += self.percent;
        let repaid = self.debt.min(self.percent);
        self.debt -= repaid;
        self.tokens += self.percent - repaid;
        self.cap_tokens();
    }

    /// Checks whether a retry is allowed, and charges it if so.
    pub fn try_retry(&mut self, now: Millis) -> RetryVerdict {
        self.advance(now);
        match self.tokens.checked_sub(TOKENS_PER_RETRY) {
            Some(rest) => {
                self.tokens = rest;
                RetryVerdict::Allowed
            }
            None => RetryVerdict::Exhausted,
        }
    }

    /// Clears the parts that have left the window.
    fn advance(&mut self, now: Millis) {
        let part = now / self.part_ms;
        if part <= self.current {
            return;
        }
        let passed = (part - self.current).min(WINDOW_PARTS as u64);
        for step in 1..=passed {
            self.parts[Self::index(self.current + step)] = 0;
        }
        self.current = part;
        self.cap_tokens();
    }

    fn cap_tokens(&mut self) {
        let earned = self.parts.iter().sum::<u64>();
        self.tokens = self.tokens.min(earned.max(MIN_RETRIES * TOKENS_PER_RETRY));
    }

    fn index(part: u64) -> usize {
        usize::try_from(part % WINDOW_PARTS as u64)
            .expect("an index within the window fits into usize")
    }
}

#[cfg(test)]
mod tests;
