//! Rate limits for log lines, one for each kind.

use std::sync::{Mutex, MutexGuard};

use coordinator::Millis;

/// The subject of a log line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LineKind {
    /// A request was answered within its objective; only a sample is logged, and counters count
    /// all.
    Served,
    /// A request was answered, but late.
    Late,
    /// The target answered with a failure.
    Failed,
    /// A request was refused and did not run.
    Refused,
    /// A request ended, and it is not known whether it ran.
    Unknown,
    /// The caller left before the answer.
    Abandoned,
    /// An attempt at a target did not end with a success.
    Attempt,
    /// An order to a target failed, or its result is unknown.
    Order,
    /// The known targets or hosts changed, or a hold of keys ended without a release.
    StateChange,
}

/// The rate limit for lines of a kind (a token bucket).
#[derive(Clone, Copy, Debug)]
struct Rate {
    /// Capacity of the bucket: lines that may be written at once.
    burst: u64,
    /// Milliseconds after which one more line may be written.
    every_ms: Millis,
}

/// A sample of normal operation.
const SAMPLED: Rate = Rate {
    burst: 2,
    every_ms: 1_000,
};

/// All failures at a low failure rate, and a sample at a high one. Seven such kinds write at most
/// 35 lines of about 500 bytes a second, 17.5 KB.
const FAILURES: Rate = Rate {
    burst: 40,
    every_ms: 200,
};

/// All targets of a large deployment at the start, and all changes at a low rate of change.
const STATE_CHANGES: Rate = Rate {
    burst: 300,
    every_ms: 100,
};

impl LineKind {
    const ALL: [Self; 9] = [
        Self::Served,
        Self::Late,
        Self::Failed,
        Self::Refused,
        Self::Unknown,
        Self::Abandoned,
        Self::Attempt,
        Self::Order,
        Self::StateChange,
    ];

    /// The metric label of the kind.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::Late => "late",
            Self::Failed => "failed",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
            Self::Abandoned => "abandoned",
            Self::Attempt => "attempt",
            Self::Order => "order",
            Self::StateChange => "belief",
        }
    }

    fn rate(self) -> Rate {
        match self {
            Self::Served => SAMPLED,
            Self::Late
            | Self::Failed
            | Self::Refused
            | Self::Unknown
            | Self::Abandoned
            | Self::Attempt
            | Self::Order => FAILURES,
            Self::StateChange => STATE_CHANGES,
        }
    }
}

/// Limits the rate of log lines with a token bucket for each kind.
#[derive(Debug)]
pub struct LogLimiter {
    buckets: Mutex<[Bucket; LineKind::ALL.len()]>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    kind: LineKind,
    tokens: u64,
    /// When `tokens` was last refilled.
    refilled: Millis,
    /// Lines that were suppressed since the last written one.
    suppressed: u64,
}

impl LogLimiter {
    /// Creates full token buckets.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        let buckets = LineKind::ALL.map(|kind| Bucket {
            kind,
            tokens: kind.rate().burst,
            refilled: now,
            suppressed: 0,
        });
        Self {
            buckets: Mutex::new(buckets),
        }
    }

    /// Takes a token for one line. Returns the number of lines of the kind that were suppressed
    /// before it, or `None` if this one must be suppressed too.
    pub fn take(&self, kind: LineKind, now: Millis) -> Option<u64> {
        let mut buckets = self.lock();
        let bucket = &mut buckets[kind as usize];
        let rate = kind.rate();
        let gained = now.saturating_sub(bucket.refilled) / rate.every_ms;
        bucket.refilled += gained * rate.every_ms;
        bucket.tokens = (bucket.tokens + gained).min(rate.burst);
        if bucket.tokens == 0 {
            bucket.suppressed += 1;
            return None;
        }
        bucket.tokens -= 1;
        Some(std::mem::take(&mut bucket.suppressed))
    }

    fn lock(&self) -> MutexGuard<'_, [Bucket; LineKind::ALL.len()]> {
        let buckets = self.buckets.lock().expect("lock is not poisoned");
        debug_assert!(
            buckets
                .iter()
                .all(|it| LineKind::ALL[it.kind as usize] == it.kind)
        );
        buckets
    }
}

#[cfg(test)]
mod tests;
