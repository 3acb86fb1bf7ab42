//! When the store answered, and when it came back from an outage.

use coordinator::Millis;

/// Shortest time without an answer that counts as an outage. It exceeds the time for which the state
/// of a host may be outdated while the store answers, and is a second less than the shortest outage
/// in which entries expire, because a watch that was open before may still be answered.
const MIN_OUTAGE_MS: Millis = 1_500;

/// Time after the return of the store within which the running targets have registered again.
pub(super) const REGISTER_AGAIN_MS: Millis = 2_000;

/// When the store was known to answer, as seen by one host.
///
/// During an outage entries of targets expire although the targets run. A process that has just
/// started cannot know whether there was an outage before, so its first contact counts as a return
/// of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreContact {
    /// Latest time at which the store is known to have answered; `None` before the first contact.
    answered_at: Option<Millis>,
    /// Whether a call of this host has failed since its last successful one.
    failed: bool,
    /// When the store came back, or when this process first heard of it.
    returned_at: Option<Millis>,
}

impl StoreContact {
    /// Records that the store answered a call of this host.
    pub fn on_answer(&mut self, now: Millis) {
        self.on_sync(now, now);
        self.failed = false;
    }

    /// Records that a call of this host failed.
    pub fn on_failure(&mut self) {
        self.failed = true;
    }

    /// Records that another host's state, which this host received at `now`, was in sync with the
    /// store at `at`.
    pub fn on_sync(&mut self, at: Millis, now: Millis) {
        let returned = match self.answered_at {
            None => true,
            Some(before) => self.failed && at >= before + MIN_OUTAGE_MS,
        };
        if returned {
            self.returned_at = Some(now);
        }
        self.answered_at = self.answered_at.max(Some(at));
    }

    /// Returns when all running targets are registered, if they can reach the store: before that
    /// time a target that is missing from the list may be running.
    #[must_use]
    pub fn complete_at(&self) -> Millis {
        self.returned_at.map_or(0, |it| it + REGISTER_AGAIN_MS)
    }
}

#[cfg(test)]
mod tests;
