//! The limits of an admission queue, and the pauses of its targets.

use std::sync::MutexGuard;

use admission::QueueLimits;
use coordinator::{Incarnation, Millis};
use refusal::Reason;

use super::{AdmissionQueue, CALLER_SHARE_PERCENT, DEPTH_PER_SLOT, Inner};
use crate::gateway::{
    QueueId,
    pauses::{Pauses, return_ms},
};

impl AdmissionQueue {
    /// Records that a target asked for a pause, and refuses the waiting requests that cannot wait
    /// for its end. Returns whether the target was not in a pause.
    pub(super) fn on_pause(&self, incarnation: &Incarnation, pause_ms: Millis) -> bool {
        let mut inner = self.lock();
        let now = self.clock.now();
        let (pause, is_new) = self.pauses().extend(incarnation, now, pause_ms);
        let mut members = inner.members.iter_mut();
        if let Some(member) = members.find(|it| it.entry.incarnation(&it.name) == *incarnation) {
            member.pause = pause;
        }
        inner.update_limits(now);
        let decisions = inner.queue.expire(now);
        inner.notify(decisions);
        is_new
    }

    /// In a pause of all targets, returns the milliseconds after which a refused caller should
    /// return. Callers are told different times, in the order in which they ask.
    pub(in crate::gateway) fn return_ms(&self) -> Option<u64> {
        let now = self.clock.now();
        let mut inner = self.lock();
        let until = inner.paused_until?;
        let place = inner.told + inner.queue.waiting() as u64;
        inner.told += 1;
        let slots: usize = inner.members.iter().map(|it| it.capacity(now)).sum();
        let service_ms = inner.mean_ms() / slots.max(1) as u64;
        Some(return_ms(until.saturating_sub(now), place, service_ms))
    }

    pub(super) fn pauses(&self) -> MutexGuard<'_, Pauses> {
        self.pauses.lock().expect("lock is not poisoned")
    }
}

impl Inner {
    /// Updates the limits and the pause of the queue. In a pause of its only target, requests with
    /// keys keep their places; in one of all targets of a pool, none waits.
    pub(super) fn update_limits(&mut self, now: Millis) {
        let capacity: usize = self.members.iter().map(|it| it.capacity(now)).sum();
        let slots: usize = self.members.iter().map(|it| it.slots(now)).sum();
        let paused = self
            .members
            .iter()
            .filter(|it| it.pause.is_active(now) && it.capacity(now) > 0);
        let paused_until = paused.map(|it| it.pause.until).min();
        let unpaced: usize = self.members.iter().map(|it| it.unpaced_slots(now)).sum();
        let paused_until = paused_until.filter(|_| unpaced == 0);
        if self.paused_until.is_none() {
            self.told = 0;
        }
        self.paused_until = paused_until;
        self.queue.set_limits(QueueLimits {
            slots: if paused_until.is_some() {
                capacity
            } else {
                slots
            },
            depth: (capacity * DEPTH_PER_SLOT).max(self.members.len()),
            caller_share: CALLER_SHARE_PERCENT,
        });
        self.queue.set_pause(now, paused_until.unwrap_or_default());
        if paused_until.is_some() && matches!(self.id, QueueId::Pool { .. }) {
            let decisions = self.queue.refuse_waiting(Reason::TargetPaused);
            self.notify(decisions);
        }
    }
}
