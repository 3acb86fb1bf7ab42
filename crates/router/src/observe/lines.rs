//! How many log lines of each kind may be written.

use std::sync::{Mutex, MutexGuard};

use coordinator::Millis;

/// What a line is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LineKind {
    /// A request was answered within its objective. Counters tell the rest.
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
    /// An order to a target was not carried out, or it is not known whether it was.
    Order,
    /// This host believes something else than before.
    StateChange,
}

/// How fast lines of a kind may be written.
#[derive(Clone, Copy, Debug)]
struct Rate {
    /// Lines that may be written at once.
    burst: u64,
    /// Milliseconds after which one more may be written.
    every_ms: Millis,
}

/// Enough to see what a normal second looks like.
const SAMPLED: Rate = Rate {
    burst: 2,
    every_ms: 1_000,
};

/// All failures of a calm day, and a sample of those of a bad one. Six such kinds write at most 30
/// lines of about 500 bytes a second, 15 KB.
const FAILURES: Rate = Rate {
    burst: 40,
    every_ms: 200,
};

/// All targets of a large deployment at the start, and all changes of a calm day.
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

    /// The label of the kind's counters.
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

/// The budgets of all kinds of lines.
#[derive(Debug)]
pub struct Lines {
    budgets: Mutex<[Budget; LineKind::ALL.len()]>,
}

#[derive(Clone, Copy, Debug)]
struct Budget {
    kind: LineKind,
    tokens: u64,
    /// When `left` was last filled up.
    refilled: Millis,
    /// Lines that were not written since the last one.
    skipped: u64,
}

impl Lines {
    /// Creates full budgets.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        let budgets = LineKind::ALL.map(|kind| Budget {
            kind,
            tokens: kind.rate().burst,
            refilled: now,
            skipped: 0,
        });
        Self {
            budgets: Mutex::new(budgets),
        }
    }

    /// Asks for one line: the number of lines of the kind that were left out before it, or `None`
    /// if it is to be left out too.
    pub fn take(&self, kind: LineKind, now: Millis) -> Option<u64> {
        let mut budgets = self.lock();
        let budget = &mut budgets[kind as usize];
        let rate = kind.rate();
        let gained = now.saturating_sub(budget.refilled) / rate.every_ms;
        budget.refilled += gained * rate.every_ms;
        budget.tokens = (budget.tokens + gained).min(rate.burst);
        if budget.tokens == 0 {
            budget.skipped += 1;
            return None;
        }
        budget.tokens -= 1;
        Some(std::mem::take(&mut budget.skipped))
    }

    fn lock(&self) -> MutexGuard<'_, [Budget; LineKind::ALL.len()]> {
        let budgets = self.budgets.lock().expect("lock is not poisoned");
        debug_assert!(
            budgets
                .iter()
                .all(|it| LineKind::ALL[it.kind as usize] == it.kind)
        );
        budgets
    }
}

#[cfg(test)]
mod tests;
