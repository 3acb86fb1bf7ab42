//! The adaptive limit of concurrent requests to a target.

use crate::Millis;

/// Units of the limit that make one slot.
const UNITS_PER_SLOT: u64 = 1_000;
/// Growth of the limit, in thousandths of a slot, over as many answers as the limit has slots. A
/// target with two slots gets the second one back after about 14 answers, so that a target that
/// keeps shedding sheds at most about one request in ten.
const GROWTH_UNITS: u64 = 100;
/// The limit after a shed request, in percent of the limit before it.
const LIMIT_AFTER_SHED_PERCENT: u64 = 70;
/// First pause of a target that sheds requests at a limit of one request; it doubles each time.
const FIRST_PAUSE_MS: u64 = 10;
/// Longest such pause. It bounds the time for which a recovered target stays idle.
const MAX_PAUSE_MS: u64 = 320;

/// Concurrency limit with additive increase on answers and multiplicative decrease on shed
/// requests.
#[derive(Clone, Debug)]
pub(super) struct Concurrency {
    /// The configured maximum of `limit`, in units of 1 / [`UNITS_PER_SLOT`] slots.
    slots: u64,
    /// The current limit, in the same units.
    limit: u64,
    /// Time of the last decrease.
    last_decrease: Option<Millis>,
    /// Length of the next pause.
    pause_ms: u64,
    paused_until: Millis,
}

impl Concurrency {
    pub(super) fn new(slots: usize) -> Self {
        let slots = slots as u64 * UNITS_PER_SLOT;
        Self {
            slots,
            limit: slots,
            last_decrease: None,
            pause_ms: FIRST_PAUSE_MS,
            paused_until: 0,
        }
    }

    pub(super) fn set_slots(&mut self, slots: usize) {
        let was_full = self.limit == self.slots;
        self.slots = slots as u64 * UNITS_PER_SLOT;
        self.limit = if was_full {
            self.slots
        } else {
            self.limit.min(self.slots)
        };
    }

    pub(super) fn on_answer(&mut self) {
        self.pause_ms = FIRST_PAUSE_MS;
        if self.limit == 0 {
            return;
        }
        let grown = self.limit + GROWTH_UNITS * UNITS_PER_SLOT / self.limit;
        self.limit = grown.min(self.slots);
    }

    /// Records that a request started at `started` was shed. Requests that were started before the
    /// last decrease cause no further one. If the target sheds requests at a limit of one request,
    /// only a pause can reduce its load.
    pub(super) fn on_shed(&mut self, now: Millis, started: Millis) {
        if self.last_decrease.is_some_and(|it| started < it) {
            return;
        }
        if self.limit() <= 1 {
            self.paused_until = now + self.pause_ms;
            self.pause_ms = (self.pause_ms * 2).min(MAX_PAUSE_MS);
        }
        self.last_decrease = Some(now);
        let min_limit = self.limit.min(UNITS_PER_SLOT);
        self.limit = (self.limit * LIMIT_AFTER_SHED_PERCENT / 100).max(min_limit);
    }

    /// Number of requests that may run at the same time.
    pub(super) fn limit(&self) -> usize {
        usize::try_from(self.limit / UNITS_PER_SLOT).unwrap_or(usize::MAX)
    }

    /// The time before which nothing is started.
    pub(super) fn paused_until(&self) -> Millis {
        self.paused_until
    }
}
