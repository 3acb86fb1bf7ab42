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
    Belief,
}

/// How fast lines of a kind may be written.
#[derive(Clone, Copy, Debug)]
struct Pace {
    /// Lines that may be written at once.
    burst: u64,
    /// Milliseconds after which one more may be written.
    every_ms: Millis,
}

/// Enough to see what a normal second looks like.
const SAMPLED: Pace = Pace {
    burst: 2,
    every_ms: 1_000,
};

/// All failures of a calm day, and a sample of those of a bad one. Six such kinds write at most 30
/// lines of about 500 bytes a second, 15 KB.
const FAILURES: Pace = Pace {
    burst: 40,
    every_ms: 200,
};

/// All targets of a large deployment at the start, and all changes of a calm day.
const BELIEFS: Pace = Pace {
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
        Self::Belief,
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
            Self::Belief => "belief",
        }
    }

    fn pace(self) -> Pace {
        match self {
            Self::Served => SAMPLED,
            Self::Late
            | Self::Failed
            | Self::Refused
            | Self::Unknown
            | Self::Abandoned
            | Self::Attempt
            | Self::Order => FAILURES,
            Self::Belief => BELIEFS,
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
    left: u64,
    /// When `left` was last filled up.
    filled: Millis,
    /// Lines that were not written since the last one.
    skipped: u64,
}

impl Lines {
    /// Creates full budgets.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        let budgets = LineKind::ALL.map(|kind| Budget {
            kind,
            left: kind.pace().burst,
            filled: now,
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
        let pace = kind.pace();
        let gained = now.saturating_sub(budget.filled) / pace.every_ms;
        budget.filled += gained * pace.every_ms;
        budget.left = (budget.left + gained).min(pace.burst);
        if budget.left == 0 {
            budget.skipped += 1;
            return None;
        }
        budget.left -= 1;
        Some(std::mem::take(&mut budget.skipped))
    }

    fn lock(&self) -> MutexGuard<'_, [Budget; LineKind::ALL.len()]> {
        let budgets = self.budgets.lock().expect("no holder of the lock panics");
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
