//! The targets that have said in an answer that they are about to stop.

use std::collections::BTreeMap;

use coordinator::{Incarnation, Millis};
use serde::{Deserialize, Serialize};

/// Longest time between the decision to send a request to a leaving target and its arrival there,
/// with the rounding to milliseconds.
const SEND_MARGIN_MS: Millis = 50;

/// A departure as hosts tell each other of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Departure {
    /// The incarnation that leaves.
    pub incarnation: Incarnation,
    /// Milliseconds between the earliest time at which it may have said so and this message.
    pub age_ms: Millis,
}

/// The incarnations of targets that are about to stop. An incarnation that leaves never returns.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    /// The earliest time at which each incarnation may have said that it leaves.
    since: BTreeMap<Incarnation, Millis>,
}

impl Departures {
    /// Records that an incarnation has said at `since` or later that it leaves; returns whether this
    /// is new.
    pub fn learn(&mut self, incarnation: &Incarnation, since: Millis) -> bool {
        if let Some(known) = self.since.get_mut(incarnation) {
            *known = since.min(*known);
            return false;
        }
        self.since.insert(incarnation.clone(), since);
        true
    }

    /// Whether an incarnation leaves.
    #[must_use]
    pub fn contains(&self, incarnation: &Incarnation) -> bool {
        self.since.contains_key(incarnation)
    }

    /// Returns the time from which on requests must be sent elsewhere, given the time for which a
    /// leaving target serves; `None` if the incarnation does not leave.
    #[must_use]
    pub fn closed_from(&self, incarnation: &Incarnation, drain_ms: Millis) -> Option<Millis> {
        let since = self.since.get(incarnation)?;
        Some(since + drain_ms.saturating_sub(SEND_MARGIN_MS))
    }

    /// The incarnations that leave, as told to other hosts at `now`.
    pub fn iter(&self, now: Millis) -> impl Iterator<Item = Departure> {
        self.since
            .iter()
            .map(move |(incarnation, since)| Departure {
                incarnation: incarnation.clone(),
                age_ms: now.saturating_sub(*since),
            })
    }

    /// Drops incarnations that left before `before`, except for those to keep.
    pub fn forget(&mut self, before: Millis, keep: impl Fn(&Incarnation) -> bool) {
        self.since.retain(|it, at| *at >= before || keep(it));
    }
}

#[cfg(test)]
mod tests;
