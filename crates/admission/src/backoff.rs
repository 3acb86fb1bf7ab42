//! Delays between attempts.

/// Exponential backoff with full jitter: a delay is uniformly distributed between 0 and the
/// exponential bound, so that callers that failed at the same time do not retry at the same time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Backoff {
    base_ms: u64,
    cap_ms: u64,
}

impl Backoff {
    /// Creates a backoff whose bound starts at `base_ms`, doubles with each attempt and is capped
    /// at `cap_ms`.
    #[must_use]
    pub const fn new(base_ms: u64, cap_ms: u64) -> Self {
        Self { base_ms, cap_ms }
    }

    /// The largest delay in milliseconds before the retry that follows `attempt` (the first attempt
    /// is 0).
    #[must_use]
    pub fn max_delay_ms(&self, attempt: u32) -> u64 {
        let factor = 1_u64.checked_shl(attempt).unwrap_or(u64::MAX);
        self.base_ms.saturating_mul(factor).min(self.cap_ms)
    }

    /// The delay in milliseconds before the retry that follows `attempt`; `random` must be
    /// uniformly distributed over all of `u64`.
    #[must_use]
    pub fn delay_ms(&self, attempt: u32, random: u64) -> u64 {
        match self.max_delay_ms(attempt).checked_add(1) {
            Some(span) => random % span,
            None => random,
        }
    }
}

#[cfg(test)]
mod tests;
