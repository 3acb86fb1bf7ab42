//! The targets that have said in an answer that they are about to stop.

use std::collections::BTreeMap;

use coordinator::{Incarnation, Millis};

/// Difference between the clocks of this host and of a caller over the time for which a leaving
/// target may be sent requests, with the rounding to milliseconds.
const CLOCK_MARGIN_MS: Millis = 50;

/// The incarnations of targets that are about to stop. An incarnation that leaves never returns.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    /// When this host learned that an incarnation leaves.
    learned: BTreeMap<Incarnation, Millis>,
}

impl Departures {
    /// Records that an incarnation leaves; returns whether this is new.
    pub fn learn(&mut self, incarnation: &Incarnation, now: Millis) -> bool {
        if self.contains(incarnation) {
            return false;
        }
        self.learned.insert(incarnation.clone(), now);
        true
    }

    /// Whether an incarnation leaves.
    #[must_use]
    pub fn contains(&self, incarnation: &Incarnation) -> bool {
        self.learned.contains_key(incarnation)
    }

    /// Returns the time from which on requests must arrive elsewhere, given the time for which a
    /// leaving target serves; `None` if the incarnation does not leave.
    ///
    /// A request that arrives here later may have been sent more than `drain_ms` after an answer of
    /// this host said that the target leaves.
    #[must_use]
    pub fn closed_from(&self, incarnation: &Incarnation, drain_ms: Millis) -> Option<Millis> {
        let learned = self.learned.get(incarnation)?;
        Some(learned + drain_ms.saturating_sub(CLOCK_MARGIN_MS))
    }

    /// The incarnations that leave.
    pub fn iter(&self) -> impl Iterator<Item = &Incarnation> {
        self.learned.keys()
    }

    /// Drops incarnations that were learned before `before`, except for those to keep.
    pub fn forget(&mut self, before: Millis, keep: impl Fn(&Incarnation) -> bool) {
        self.learned.retain(|it, at| *at >= before || keep(it));
    }
}

#[cfg(test)]
mod tests;
