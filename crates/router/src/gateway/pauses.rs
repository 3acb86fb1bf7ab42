//! Pauses that targets asked for.

use std::collections::HashMap;

use coordinator::{Incarnation, Millis};

/// Interval after the end of a pause at which the slots of a target double.
const RETURN_STEP_MS: Millis = 100;

/// Time after the end of a pause over which the return of refused callers is spread.
const RETURN_SPREAD_MS: Millis = 1_000;

/// Smallest interval between the returns of two refused callers, except for those that are spread
/// over `RETURN_SPREAD_MS` again.
const MIN_RETURN_INTERVAL_MS: Millis = 5;

/// Returns the milliseconds after which a refused caller should return: at its `place` among those
/// that are served every `service_ms` after the pause, which lasts `left_ms` longer. Places beyond
/// the spread begin at the end of the pause again, because most callers return or give up before.
pub(super) fn return_ms(left_ms: Millis, place: u64, service_ms: Millis) -> Millis {
    let interval = service_ms.max(MIN_RETURN_INTERVAL_MS);
    left_ms.saturating_add(place.saturating_mul(interval) % RETURN_SPREAD_MS)
}

/// A pause of one target. It is over at `until`, from when on the slots return step by step.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Pause {
    /// The end of the pause; 0 if there was none.
    pub(super) until: Millis,
}

impl Pause {
    /// Whether the target wants no requests at `now`.
    pub(super) fn is_active(self, now: Millis) -> bool {
        now < self.until
    }

    /// The slots that may be used at `now`, out of `slots`: none in the pause, one at its end, and
    /// twice as many after each `RETURN_STEP_MS`.
    pub(super) fn slots(self, now: Millis, slots: usize) -> usize {
        if self.until == 0 {
            return slots;
        }
        if self.is_active(now) {
            return 0;
        }
        let steps = (now - self.until) / RETURN_STEP_MS;
        let returned = u32::try_from(steps)
            .ok()
            .and_then(|it| 1_usize.checked_shl(it));
        returned.map_or(slots, |it| it.min(slots))
    }
}

/// The pauses of all targets that this host was asked for. An incarnation is paused by its own
/// answers only, so a restarted target is not.
#[derive(Debug, Default)]
pub(super) struct Pauses {
    pauses: HashMap<Incarnation, Pause>,
}

impl Pauses {
    /// Records that a target asked at `now` for a pause of `pause_ms`. A pause is extended, never
    /// shortened. Returns the pause, and whether the target was not in one.
    pub(super) fn extend(
        &mut self,
        incarnation: &Incarnation,
        now: Millis,
        pause_ms: Millis,
    ) -> (Pause, bool) {
        self.pauses.retain(|_, it| it.is_active(now));
        let known = self.pauses.entry(incarnation.clone()).or_default();
        let is_new = !known.is_active(now);
        known.until = known.until.max(now.saturating_add(pause_ms));
        (*known, is_new)
    }

    /// The pause of a target, which may be over.
    pub(super) fn get(&self, incarnation: &Incarnation) -> Pause {
        self.pauses.get(incarnation).copied().unwrap_or_default()
    }

    /// Number of targets in a pause.
    pub(super) fn count(&self, now: Millis) -> usize {
        let pauses = self.pauses.values();
        pauses.filter(|it| it.is_active(now)).count()
    }
}

#[cfg(test)]
mod tests;
