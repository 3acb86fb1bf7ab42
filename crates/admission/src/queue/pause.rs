//! A pause in which nothing is started, because the target asked for it.

use refusal::Reason;

use super::{OVERLOAD_MS, Queue};
use crate::Millis;

impl Queue {
    /// Starts nothing before `until`; 0 ends the pause. Waiting requests that cannot be expected to
    /// meet their deadline after the pause are refused: call [`expire`](Self::expire) next.
    pub fn set_pause(&mut self, now: Millis, until: Millis) {
        if self.pause_end == until {
            return;
        }
        if !self.is_paused(now) && now < until {
            // A target that answers few requests between two pauses can be expected to do so after
            // this one; further requests would be held for nothing.
            self.pause_room = self.answered.map(|it| it.max(1));
            self.answered = Some(0);
        }
        self.pause_end = until;
        self.refuse_hopeless(now);
    }

    /// Whether the target asked for the pause that lasts at `now`.
    pub(super) fn is_paused(&self, now: Millis) -> bool {
        now < self.pause_end
    }

    /// Records a refusal for lack of room or time. In a pause it says nothing about the load that
    /// the target can take, and the oldest requests stay the first to start.
    pub(super) fn on_overload(&mut self, now: Millis) {
        if !self.is_paused(now) {
            self.overloaded_until = now + OVERLOAD_MS;
        }
    }

    /// The time before which nothing is started.
    pub(super) fn paused_until(&self) -> Millis {
        self.concurrency.paused_until().max(self.pause_end)
    }

    /// The reason of a refusal at `now` that is otherwise made for `reason`.
    pub(super) fn reason_in_pause(&self, now: Millis, reason: Reason) -> Reason {
        if self.is_paused(now) {
            Reason::TargetPaused
        } else {
            reason
        }
    }

    /// In a pause, refuses the waiting requests whose turn after it is too late or, going by what
    /// the target answered since the last pause, will not come.
    pub(super) fn refuse_hopeless(&mut self, now: Millis) {
        if !self.is_paused(now) {
            return;
        }
        let mut waiting: Vec<_> = self.waiting.iter().copied().collect();
        waiting.sort_by_key(|it| (it.ticket.priority, it.sequence));
        let slots = self.concurrency.limit().max(1) as u64;
        let mut ahead = 0;
        for waiter in waiting {
            let starts_at = self.pause_end + ahead * self.service.mean_us() / (slots * 1_000);
            let has_room = self.pause_room.is_none_or(|it| ahead < it);
            if has_room && starts_at <= self.last_start(&waiter) {
                ahead += 1;
                continue;
            }
            self.evict(waiter.ticket.id, Reason::TargetPaused);
        }
    }
}

#[cfg(test)]
mod tests;
