//! The time up to which an answer of the store is known to be up to date.

use coordinator::Millis;

/// Maximum assumed drift between the clocks of this host and of the store.
const MAX_DRIFT_PERCENT: Millis = 2;

/// A time of this host's clock at or before which the store wrote an answer, and the store's own
/// time in that answer.
///
/// An answer may have been on its way for long, so the time of its arrival says nothing about how
/// recent it is. What the store's clock has advanced since the previous answer does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SyncPoint {
    at: Millis,
    store_ms: Millis,
}

impl SyncPoint {
    /// The point of an answer to a call that was sent at `sent`; `store_ms` is the store's time in
    /// it.
    #[must_use]
    pub fn new(sent: Millis, store_ms: Millis) -> Self {
        Self { at: sent, store_ms }
    }

    /// The point of the answer after this one, which arrived at `now`.
    #[must_use]
    pub fn next(self, sent: Millis, now: Millis, store_ms: Millis) -> Self {
        let elapsed = store_ms.saturating_sub(self.store_ms);
        let elapsed = elapsed.saturating_mul(100 - MAX_DRIFT_PERCENT) / 100;
        let at = self.at.saturating_add(elapsed).min(now).max(sent);
        Self { at, store_ms }
    }

    /// Everything that the store had accepted by this time of this host's clock is known.
    #[must_use]
    pub fn at(self) -> Millis {
        self.at
    }
}

#[cfg(test)]
mod tests;
