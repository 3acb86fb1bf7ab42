//! Lower bounds on the ages of rows, by their revisions.

use std::collections::VecDeque;

use ownership::lengthen_for_drift;

use crate::Millis;

/// Number of marks that cover the longest age that is queried.
const MARKS_PER_AGE: Millis = 96;

/// Shortest time between two marks.
const MIN_INTERVAL_MS: Millis = 900_000;

/// A revision with a lower bound on the time since it was the newest one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Mark {
    /// The revision.
    pub rev: u64,
    /// Lower bound on its age in milliseconds.
    pub age_ms: Millis,
}

/// Revisions with their ages, which one host measures on its monotonic clock and passes to the next
/// host through the store.
///
/// No wall clock is used, so a wrong one cannot make a row look older than it is. The time between
/// two hosts is not counted, so ages are never too high.
#[derive(Clone, Debug, Default)]
pub struct ClaimAges {
    /// Oldest first, with their ages at `updated`.
    marks: VecDeque<Mark>,
    /// When the ages were last updated.
    updated: Millis,
}

impl ClaimAges {
    /// Restores the ages from marks that were read from the store at or before `now`.
    #[must_use]
    pub fn new(now: Millis, mut marks: Vec<Mark>) -> Self {
        marks.sort_by_key(|it| it.rev);
        Self {
            marks: marks.into(),
            updated: now,
        }
    }

    /// Adds a mark for `rev`, which the store had reached at or before `now`, unless the newest
    /// mark is too young. `longest_ms` is the longest age that is queried; of the marks that are
    /// older, all but the newest are dropped.
    pub fn mark(&mut self, now: Millis, rev: u64, longest_ms: Millis) {
        self.advance(now);
        let interval_ms = (longest_ms / MARKS_PER_AGE).max(MIN_INTERVAL_MS);
        let is_new = self
            .marks
            .back()
            .is_none_or(|it| it.age_ms >= interval_ms && it.rev < rev);
        if is_new {
            self.marks.push_back(Mark { rev, age_ms: 0 });
        }
        let limit_ms = lengthen_for_drift(longest_ms);
        while self.marks.get(1).is_some_and(|it| it.age_ms >= limit_ms) {
            self.marks.pop_front();
        }
    }

    /// The marks with their ages at `now`.
    pub fn marks(&mut self, now: Millis) -> impl Iterator<Item = &Mark> {
        self.advance(now);
        self.marks.iter()
    }

    /// The newest marked revision that is certainly older than `age_ms`.
    pub fn older_than(&mut self, now: Millis, age_ms: Millis) -> Option<u64> {
        self.advance(now);
        let limit_ms = lengthen_for_drift(age_ms);
        let old = self.marks.iter().rev().find(|it| it.age_ms >= limit_ms);
        old.map(|it| it.rev)
    }

    fn advance(&mut self, now: Millis) {
        let elapsed_ms = now.saturating_sub(self.updated);
        for mark in &mut self.marks {
            mark.age_ms = mark.age_ms.saturating_add(elapsed_ms);
        }
        self.updated = self.updated.max(now);
    }
}

#[cfg(test)]
mod tests;
