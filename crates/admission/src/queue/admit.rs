//! Whether an offered request starts, waits or is refused.

use refusal::Reason;

use super::waiting::{ArrivalOrder, RunMode, Waiter};
use super::{Decision, OfferResult, Queue, QueueOrder, Ticket};
use crate::Millis;

#[derive(Clone, Copy, Debug)]
pub(super) enum Admission {
    Start,
    Wait,
}

impl Queue {
    pub(super) fn admit(&mut self, now: Millis, ticket: Ticket, mode: RunMode) -> OfferResult {
        let new = self.waiter(now, ticket, mode);
        self.routes.on_offer(now, &ticket);
        self.callers.add_request(ticket.caller);
        self.keys.add_request(ticket.key);
        let admission = self.check_admission(now, &new);
        self.next_sequence += 1;
        match admission {
            Ok(Admission::Start) => {
                self.start(now, &new);
                OfferResult::Start
            }
            Ok(Admission::Wait) => {
                self.waiting.push(new);
                self.refuse_hopeless(now);
                OfferResult::Wait
            }
            Err(reason) => {
                self.on_overload(now);
                self.remove_from_shares(ticket.caller, ticket.key);
                OfferResult::Refuse(self.reason_in_pause(now, reason))
            }
        }
    }

    pub(super) fn waiter(&self, now: Millis, ticket: Ticket, mode: RunMode) -> Waiter {
        Waiter {
            ticket,
            mode,
            sequence: self.next_sequence,
            arrived: now,
        }
    }

    /// Decides about a new request, and evicts a waiting one if necessary; the error is the
    /// refusal.
    fn check_admission(&mut self, now: Millis, new: &Waiter) -> Result<Admission, Reason> {
        if new.ticket.deadline <= now {
            return Err(Reason::DeadlineBeforeStart);
        }
        if self.order == QueueOrder::Objective {
            return self.check_by_objective(now, new);
        }
        let can_start = self.waiting.len() == 0 && self.may_start(now, new.mode);
        let order = self.arrival_order(now);
        let wait_ms = if can_start {
            0
        } else {
            self.estimated_wait_behind_ms(now, self.waiting.count_ahead(new, order))
        };
        let is_watched = self.is_paused(now) || !self.running.is_empty();
        if now + wait_ms > self.last_start(new) && is_watched {
            return Err(Reason::DeadlineBeforeStart);
        }
        if can_start {
            return Ok(Admission::Start);
        }
        self.check_caller_share(now, new, order)?;
        if self.waiting.len() >= self.limits.depth {
            match self.victim(Some(new), order) {
                Some(victim) if victim != new.ticket.id => {
                    self.on_overload(now);
                    self.evict(victim, self.reason_in_pause(now, Reason::QueueFull));
                }
                _ => return Err(Reason::QueueFull),
            }
        }
        Ok(Admission::Wait)
    }

    /// Evicts a waiting request of a caller that has reached its share of the queue; the error is
    /// the refusal of the new one.
    pub(super) fn check_caller_share(
        &mut self,
        now: Millis,
        new: &Waiter,
        order: ArrivalOrder,
    ) -> Result<(), Reason> {
        let share = self.limits.depth * self.limits.caller_share as usize / 100;
        if self.waiting.count_of_caller(new.ticket.caller) >= share.max(1) {
            let victim = self.waiting.victim_of_caller(new, order);
            if victim == new.ticket.id {
                return Err(Reason::CallerShare);
            }
            self.on_overload(now);
            self.evict(victim, self.reason_in_pause(now, Reason::CallerShare));
        }
        Ok(())
    }

    /// The request to evict from a full queue. Among those of the lowest priority, requests of
    /// callers and keys with many requests are evicted first.
    pub(super) fn victim(&self, new: Option<&Waiter>, order: ArrivalOrder) -> Option<u64> {
        self.waiting.victim(new, order, |it| {
            self.callers.active(it.caller) + self.keys.active(it.key)
        })
    }

    pub(super) fn evict(&mut self, id: u64, reason: Reason) {
        if let Some(waiter) = self.waiting.remove(id) {
            self.remove_from_shares(waiter.ticket.caller, waiter.ticket.key);
            self.pending.push(Decision::Refuse(id, reason));
        }
    }
}
