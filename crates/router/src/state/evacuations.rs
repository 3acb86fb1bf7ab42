//! The data centres that operators have evacuated.

use std::{collections::BTreeMap, sync::Arc};

use coordinator::Millis;
use serde::{Deserialize, Serialize};

use crate::ports::Revision;

/// Longest time between the decision to send a request and its arrival at the target, on a host with
/// little processor time.
const SEND_MARGIN_MS: Millis = 300;

/// Whether a data centre is evacuated, as hosts tell each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evacuation {
    /// The data centre.
    pub place: Arc<str>,
    /// Revision of the store as of which this holds.
    pub rev: Revision,
    /// Whether it is evacuated or in use again.
    pub active: bool,
    /// Milliseconds between the earliest time at which the store may have accepted this and the
    /// message.
    pub age_ms: Millis,
}

/// What may be sent to the targets of a data centre.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Access {
    /// All requests.
    #[default]
    Open,
    /// Requests that no other data centre can take: it is evacuated, but not for long.
    Ending,
    /// Nothing: it is evacuated.
    Closed,
}

/// The data centres that operators have evacuated, or taken back into use.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    places: BTreeMap<Arc<str>, Known>,
    /// Revision of the newest complete list.
    listed: Option<Revision>,
    /// Number that increases with each change.
    version: u64,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    rev: Revision,
    active: bool,
    /// When this host learned it.
    learned: Millis,
    /// Milliseconds between the earliest time at which the store may have accepted it and then. The
    /// earliest time itself may be before the start of this host's clock.
    age_ms: Millis,
}

impl Evacuations {
    /// Records what another host or the store says at `now`; returns whether it is new.
    pub fn apply(&mut self, news: &Evacuation, now: Millis) -> bool {
        let known = self.places.get(&news.place);
        if known.is_some_and(|it| it.rev >= news.rev) {
            return false;
        }
        let was_active = known.is_some_and(|it| it.active);
        // A data centre that a complete list lacks was taken back before it was made.
        let outdated = self.listed >= Some(news.rev);
        if known.is_none() && (outdated || !news.active) {
            return false;
        }
        let changed = was_active != news.active;
        let (learned, age_ms) = match known {
            // The row was written once more: the first acknowledgement counts.
            Some(known) if !changed => (known.learned, known.age_ms),
            _ => (now, news.age_ms),
        };
        let known = Known {
            rev: news.rev,
            active: news.active,
            learned,
            age_ms,
        };
        self.places.insert(Arc::clone(&news.place), known);
        self.version += u64::from(changed);
        changed
    }

    /// What may be sent to a data centre at `now`, given the time after which an evacuated one must
    /// get nothing.
    #[must_use]
    pub fn access(&self, place: &str, now: Millis, evacuation_ms: Millis) -> Access {
        match self.closed_from(place, evacuation_ms) {
            None => Access::Open,
            Some(closed_from) if now < closed_from => Access::Ending,
            Some(_) => Access::Closed,
        }
    }

    /// Whether a data centre is evacuated.
    #[must_use]
    pub fn is_active(&self, place: &str) -> bool {
        self.places.get(place).is_some_and(|it| it.active)
    }

    /// Returns the time from which on nothing is sent to a data centre; `None` if it is in use.
    #[must_use]
    pub fn closed_from(&self, place: &str, evacuation_ms: Millis) -> Option<Millis> {
        let known = self.places.get(place).filter(|it| it.active)?;
        let closed_from = known.learned + evacuation_ms.saturating_sub(SEND_MARGIN_MS);
        Some(closed_from.saturating_sub(known.age_ms))
    }

    /// Returns when this host learned that a data centre is in use again; `None` if it was never
    /// evacuated, or still is. Its targets may have lost their caches meanwhile.
    #[must_use]
    pub fn returned_at(&self, place: &str) -> Option<Millis> {
        let known = self.places.get(place).filter(|it| !it.active)?;
        Some(known.learned)
    }

    /// The evacuated data centres that are missing from a complete list as of `rev`.
    #[must_use]
    pub fn missing_from(&self, places: &[Arc<str>], rev: Revision) -> Vec<Arc<str>> {
        let mut missing = Vec::new();
        for (place, known) in &self.places {
            if known.active && known.rev < rev && !places.contains(place) {
                missing.push(Arc::clone(place));
            }
        }
        missing
    }

    /// Records that a complete list as of `rev` is known.
    pub fn set_listed(&mut self, rev: Revision) {
        self.listed = self.listed.max(Some(rev));
    }

    /// The evacuated data centres, and the revision as of which these are all; `None` before the first
    /// complete list.
    #[must_use]
    pub fn list(&self) -> Option<(Vec<Arc<str>>, Revision)> {
        let active = self.places.iter().filter(|(_, it)| it.active);
        let places = active.map(|(place, _)| Arc::clone(place)).collect();
        Some((places, self.listed?))
    }

    /// All that is known, as told to other hosts at `now`.
    pub fn iter(&self, now: Millis) -> impl Iterator<Item = Evacuation> {
        self.places.iter().map(move |(place, known)| Evacuation {
            place: Arc::clone(place),
            rev: known.rev,
            active: known.active,
            age_ms: known.age_ms + now.saturating_sub(known.learned),
        })
    }

    /// Number of evacuated data centres.
    #[must_use]
    pub fn active_count(&self) -> usize {
        self.places.values().filter(|it| it.active).count()
    }

    /// A number that increases with each change.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }
}

#[cfg(test)]
mod tests;
