//! One target of an admission queue.

use std::sync::Arc;

use admission::{Candidate, Health, HealthOutcome, Preference, TargetPace, WarmUp, Warmth};
use coordinator::Millis;
use pool::Pool;

use super::pauses::Pause;
use crate::state::TargetEntry;

/// Weight of the newest answer in the exponential moving average of service times.
const NEWEST_WEIGHT: f64 = 0.1;

/// One target of an admission queue.
pub(super) struct Member {
    pub(super) name: Arc<str>,
    pub(super) entry: Arc<TargetEntry>,
    pub(super) pool: Arc<Pool>,
    pub(super) running: usize,
    pub(super) health: Health,
    /// The pace of requests to it while it is cold; `None` if its service has no limit.
    pub(super) warm_up: Option<WarmUp>,
    /// Whether it is used only while it is warm, because any number of hosts may use it.
    pub(super) only_warm: bool,
    /// The newest pause that it asked for.
    pub(super) pause: Pause,
    /// Exponential moving average of service times in milliseconds; `None` before the first answer.
    pub(super) mean_ms: Option<f64>,
    /// Its speed, and the load that it stated.
    pub(super) pace: TargetPace,
    /// From this time on no requests are sent to it, because it is about to stop.
    pub(super) closed_from: Option<Millis>,
    /// When the latest request was sent to it whose answer shows that it did not leave then; `None` if
    /// there was none.
    pub(super) serving_at: Option<Millis>,
    /// Until when it is left alone, because it may have left and did not say that it serves.
    pub(super) doubted_until: Millis,
    /// When it was last sent a request.
    pub(super) last_used: Millis,
}

impl Member {
    pub(super) fn new(name: Arc<str>, entry: Arc<TargetEntry>, connections: usize) -> Self {
        Self {
            pool: Arc::new(Pool::new(entry.address, connections)),
            name,
            entry,
            running: 0,
            health: Health::new(),
            warm_up: None,
            only_warm: false,
            pause: Pause::default(),
            mean_ms: None,
            pace: TargetPace::default(),
            closed_from: None,
            serving_at: None,
            doubted_until: 0,
            last_used: 0,
        }
    }

    /// Whether requests may be sent to it at `now`.
    pub(super) fn admits(&self, now: Millis) -> bool {
        now >= self.doubted_until
            && self.closed_from.is_none_or(|it| now < it)
            && !(self.only_warm && self.warmth(now) != Warmth::Warm)
    }

    /// Requests that it may run at once. While the pace of a cold target allows no other one, these
    /// are the running ones.
    pub(super) fn slots(&self, now: Millis) -> usize {
        let slots = self.unpaced_slots(now);
        match self.next_start(now) {
            None => slots,
            Some(next) => {
                let may_start = next <= now && self.admits(now);
                slots.min(self.running + usize::from(may_start))
            }
        }
    }

    /// Requests that it may run at once when its pace does not limit them.
    pub(super) fn unpaced_slots(&self, now: Millis) -> usize {
        self.pause.slots(now, self.capacity(now))
    }

    /// Whether its pace allows another request at `now`.
    pub(super) fn may_start(&self, now: Millis) -> bool {
        self.next_start(now).is_none_or(|it| it <= now)
    }

    /// When its pace allows another request; `None` if it is not limited.
    pub(super) fn next_start(&self, now: Millis) -> Option<Millis> {
        self.warm_up.as_ref()?.next_start(now)
    }

    /// What is known of its caches.
    pub(super) fn warmth(&self, now: Millis) -> Warmth {
        let warm_up = self.warm_up.as_ref();
        warm_up.map_or(Warmth::Warm, |it| it.warmth(now))
    }

    /// Records that a request is sent to it.
    pub(super) fn on_start(&mut self, now: Millis) {
        self.running += 1;
        self.last_used = now;
        if let Some(it) = &mut self.warm_up {
            it.on_start(now);
        }
    }

    /// Requests that it may run at once when no pause limits them.
    pub(super) fn capacity(&self, now: Millis) -> usize {
        let slots = usize::try_from(self.entry.slots).unwrap_or(1).max(1);
        self.health.slots(now, slots)
    }

    /// How well it suits for the next request; the member with the lowest value is chosen.
    pub(super) fn preference(&self, now: Millis) -> Preference {
        Preference::of(&Candidate {
            running: self.running,
            slots: self.slots(now),
            foreign: self.pace.foreign_at(now),
            expected_ms: self.pace.expected_ms(now),
            last_used: self.last_used,
        })
    }

    pub(super) fn on_end(&mut self, now: Millis, took_ms: u64, outcome: Option<HealthOutcome>) {
        self.running = self.running.saturating_sub(1);
        let Some(outcome) = outcome else { return };
        self.health.on_outcome(now, outcome);
        if outcome == HealthOutcome::Answered {
            #[expect(clippy::cast_precision_loss, reason = "far below 2^52 ms")]
            let took = took_ms as f64;
            let mean = self.mean_ms.unwrap_or(took);
            self.mean_ms = Some(mean + (took - mean) * NEWEST_WEIGHT);
            self.pace.on_answer(now, took_ms);
        }
    }
}
