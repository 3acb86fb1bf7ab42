//! The pace of requests to one target that is cold, or may be.

use crate::Millis;

/// Pause between a health check without a usable answer and the next one.
const RECHECK_MS: u64 = 1_000;

/// How much longer the interval between two requests is while another host may act as the gateway
/// too. Three gateways of which two know this then stay within 6 + 3 + 3 requests in any second at
/// an interval of 200 ms; at the full pace they could reach 18.
const SHARED_FACTOR: u64 = 2;

/// What a gateway knows of the caches of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Warmth {
    /// The target takes requests up to its slots.
    Warm,
    /// The target is cold.
    Cold {
        /// When it becomes warm.
        until: Millis,
    },
    /// The target may have become cold without this gateway's knowledge.
    Unverified,
}

/// When requests to a target may start: evenly spaced and without bursts while it is not known to
/// be warm.
///
/// News can be late: an entry may have been written, or a health check sent, before the event that
/// made the target unverified. Such news can make the target colder, but not warm.
#[derive(Clone, Debug)]
pub struct WarmUp {
    interval_ms: u64,
    warmup_ms: u64,
    cold_until: Millis,
    /// When `cold_until` was learned.
    stated: Millis,
    /// The newest entry that was taken into account: when it was learned, and its cold time.
    entry: Option<(Millis, u64)>,
    /// When the target may have become cold; `None` if it has been verified since.
    doubted: Option<Millis>,
    check: Check,
    /// The latest revocation of an evacuation that was taken into account.
    revoked: Millis,
    last_start: Option<Millis>,
    /// Whether another host may act as the gateway too.
    shared: bool,
}

/// The health check that verifies a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Check {
    /// It may be sent from this time on.
    Due(Millis),
    /// It has been sent, and its result is not known yet.
    Sent,
}

impl WarmUp {
    /// Creates the state of a warm target. While it is cold, requests start every `interval_ms`; a
    /// target is cold for `warmup_ms` after its start.
    #[must_use]
    pub fn new(interval_ms: u64, warmup_ms: u64) -> Self {
        Self {
            interval_ms,
            warmup_ms,
            cold_until: 0,
            stated: 0,
            entry: None,
            doubted: None,
            check: Check::Due(0),
            revoked: 0,
            last_start: None,
            shared: false,
        }
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, interval_ms: u64, warmup_ms: u64) {
        self.interval_ms = interval_ms;
        self.warmup_ms = warmup_ms;
    }

    /// Records that the target may have become cold unnoticed until `at`: the gateway was just
    /// chosen, or a connection to the target was refused, timed out or broke.
    pub fn doubt(&mut self, at: Millis) {
        let at = match self.check {
            // The check that is in flight may have been answered before.
            Check::Sent => at + 1,
            Check::Due(_) => at,
        };
        self.doubted = self.doubted.max(Some(at));
    }

    /// Records that the target's process has been replaced by another one.
    pub fn on_restart(&mut self, now: Millis) {
        self.cold_until = 0;
        self.entry = None;
        self.doubt(now);
    }

    /// Records that the evacuation of the target's data centre was revoked at `at`. The same
    /// revocation counts once.
    pub fn on_revoked(&mut self, at: Millis) {
        if at > self.revoked {
            self.revoked = at;
            self.doubt(at);
        }
    }

    /// Records the remaining cold time in an entry that was learned at `learned`. The same entry
    /// counts once.
    ///
    /// An entry without cold time shows that an unverified target is warm only if it was learned
    /// `warmup_ms` after the event: it was written after the event then, or a target that started
    /// before the event has warmed up since.
    pub fn on_entry(&mut self, learned: Millis, cold_ms: u64) {
        if self.entry.replace((learned, cold_ms)) == Some((learned, cold_ms)) {
            return;
        }
        if cold_ms > 0 {
            self.cold_until = self.cold_until.max(learned.saturating_add(cold_ms));
            self.stated = self.stated.max(learned);
        } else if self
            .doubted
            .is_some_and(|it| learned >= it + self.warmup_ms)
        {
            self.doubted = None;
        }
    }

    /// Records the result of a health check that was sent at `sent`: the remaining cold time, or
    /// `None` without a usable answer.
    pub fn on_check(&mut self, now: Millis, sent: Millis, cold_ms: Option<u64>) {
        let Some(cold_ms) = cold_ms else {
            self.check = Check::Due(now + RECHECK_MS);
            self.doubted = self.doubted.max(Some(now));
            return;
        };
        self.check = Check::Due(now);
        let until = if cold_ms > 0 {
            now.saturating_add(cold_ms)
        } else {
            0
        };
        let is_late = self.stated >= sent || self.doubted.is_some_and(|it| it > sent);
        self.cold_until = if is_late {
            self.cold_until.max(until)
        } else {
            until
        };
        self.stated = self.stated.max(sent);
        if self.doubted.is_some_and(|it| it <= sent) {
            self.doubted = None;
        }
    }

    /// Sets whether another host may act as the gateway of the target too.
    pub fn set_shared(&mut self, shared: bool) {
        self.shared = shared;
    }

    /// When the latest health check with a usable answer was sent, or the latest cold time was
    /// learned from an entry; 0 if neither was.
    #[must_use]
    pub fn stated(&self) -> Millis {
        self.stated
    }

    /// What is known of the target at `now`.
    #[must_use]
    pub fn warmth(&self, now: Millis) -> Warmth {
        if self.doubted.is_some() {
            Warmth::Unverified
        } else if now < self.cold_until {
            Warmth::Cold {
                until: self.cold_until,
            }
        } else {
            Warmth::Warm
        }
    }

    /// Returns the earliest time at which the next request may start; `None` if the target is warm.
    #[must_use]
    pub fn next_start(&self, now: Millis) -> Option<Millis> {
        if self.warmth(now) == Warmth::Warm {
            return None;
        }
        let spaced = self.last_start.map(|it| it + self.pace_ms());
        Some(spaced.unwrap_or(now).max(now))
    }

    /// Whether a request may start at `now`.
    #[must_use]
    pub fn may_start(&self, now: Millis) -> bool {
        self.next_start(now).is_none_or(|it| it <= now)
    }

    /// Milliseconds between two requests while the target is not known to be warm.
    #[must_use]
    pub fn pace_ms(&self) -> u64 {
        if self.shared {
            self.interval_ms.saturating_mul(SHARED_FACTOR)
        } else {
            self.interval_ms
        }
    }

    /// Records that a request starts, whether the target is warm or not.
    pub fn on_start(&mut self, now: Millis) {
        self.last_start = Some(now);
    }

    /// Whether a health check is to be sent now. It then counts as sent, and
    /// [`on_check`](Self::on_check) must be called with its result.
    pub fn take_check(&mut self, now: Millis) -> bool {
        match self.check {
            Check::Due(at) if at <= now && self.doubted.is_some() => {
                self.check = Check::Sent;
                true
            }
            Check::Due(_) | Check::Sent => false,
        }
    }
}

#[cfg(test)]
mod tests;
