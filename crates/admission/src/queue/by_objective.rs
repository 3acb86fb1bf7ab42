//! The order by objective: which requests start, wait and are refused when there is too little
//! room. The decisions are those of [`Plan`] and [`Returns`](super::returns::Returns).

use refusal::Reason;

use super::{
    Decision, Decisions, Queue, QueueOrder, RunMode, Ticket,
    admit::Admission,
    candidate::Candidate,
    drain::Drain,
    plan::Plan,
    returns::Refused,
    waiting::{ArrivalOrder, Waiter},
};
use crate::Millis;

/// Mean deviations of the service time that a new request must have left, after the mean, at its
/// forecast start to count as in time.
const NEW_DEVIATIONS: u64 = 2;
/// The same for a request that waits.
const HELD_DEVIATIONS: u64 = 0;
/// Shortest time between two searches for waiting requests that have become hopeless. A search
/// sorts the queue, and every waiting request asks for one.
const REVIEW_INTERVAL_MS: u64 = 10;
/// Part of the time left to a caller for which it is asked to wait at most; it does not wait longer
/// whatever it is told.
const MAX_RETURN_SHARE: u64 = 3;

impl Queue {
    /// Whether a request that is offered at `now` can be expected to be answered within its
    /// objective. Known for [`QueueOrder::Objective`] only.
    #[must_use]
    pub fn meets_objective(&self, now: Millis, ticket: Ticket) -> bool {
        let new = self.waiter(now, ticket, RunMode::Shared);
        self.plan(now, Some(&new)).is_in_time(ticket.id)
    }

    /// Milliseconds after which the caller of a refused request should return, if it waits for its
    /// answer until `caller_end`; `None` in other orders than [`QueueOrder::Objective`].
    pub fn return_ms(&mut self, now: Millis, ticket: &Ticket, caller_end: Millis) -> Option<u64> {
        if self.order != QueueOrder::Objective {
            return None;
        }
        let drain = self.drain(now);
        let ahead = |it: &&Waiter| it.ticket.priority <= ticket.priority;
        let ahead_us = self
            .waiting
            .iter()
            .filter(ahead)
            .map(|it| self.work_us(it.ticket.route));
        let drained_us = drain.wait_us(ahead_us.sum(), 0).unwrap_or_default();
        let loads = self.routes.loads(now, &self.service);
        let loads = loads.iter().filter(|it| it.priority <= ticket.priority);
        let refused = Refused {
            drained_us,
            work_us: self.work_us(ticket.route),
            slots: drain.slots() * 1_000,
            arriving: loads.map(|it| it.load).sum(),
            longest_ms: caller_end.saturating_sub(now) / MAX_RETURN_SHARE,
        };
        Some(self.returns.invite(now, refused))
    }

    pub(super) fn check_by_objective(
        &mut self,
        now: Millis,
        new: &Waiter,
    ) -> Result<Admission, Reason> {
        let is_watched = self.is_paused(now) || !self.running.is_empty();
        if self.waiting.len() == 0 && self.may_start(now, new.mode) {
            if is_watched && now > self.last_start(new) {
                return Err(Reason::DeadlineBeforeStart);
            }
            return Ok(Admission::Start);
        }
        let plan = self.plan(now, Some(new));
        if is_watched && plan.hopeless().contains(&new.ticket.id) {
            return Err(Reason::DeadlineBeforeStart);
        }
        if self.limits.caller_share < 100 {
            self.check_caller_share(now, new, ArrivalOrder::OldestFirst)?;
        }
        if self.waiting.len() >= self.limits.depth {
            match plan.last() {
                Some(victim) if victim != new.ticket.id => {
                    self.evict(victim, self.reason_in_pause(now, Reason::QueueFull));
                }
                _ => return Err(Reason::QueueFull),
            }
        }
        Ok(Admission::Wait)
    }

    pub(super) fn next_by_objective(&self, now: Millis) -> Option<Waiter> {
        let next = self.plan(now, None).next()?;
        self.waiting.find(|it| it.ticket.id == next)
    }

    /// Refuses the waiting requests that have become hopeless, because more urgent ones arrived or
    /// the targets became slower.
    pub(super) fn review(&mut self, now: Millis, decisions: &mut Decisions) {
        let is_due = now >= self.next_review && !self.is_paused(now);
        if self.waiting.len() == 0 || self.running.is_empty() || !is_due {
            return;
        }
        self.next_review = now + REVIEW_INTERVAL_MS;
        for id in self.plan(now, None).hopeless() {
            if let Some(waiter) = self.waiting.remove(id) {
                self.remove_from_shares(waiter.ticket.caller, waiter.ticket.key);
                decisions.push(Decision::Refuse(id, Reason::QueueFull));
            }
        }
    }

    /// Expected work of a request of a route.
    pub(super) fn work_us(&self, route: u64) -> u64 {
        self.routes.service(route, &self.service).mean_us()
    }

    pub(super) fn drain(&self, now: Millis) -> Drain {
        let left_us = self.running.values().map(|it| {
            let service = self.routes.service(it.route, &self.service);
            let ran_us = now.saturating_sub(it.started) * 1_000;
            // A request that has exceeded its expected work is likely to go on for a while.
            let least_us = service.deviation_us();
            service.mean_us().saturating_sub(ran_us).max(least_us)
        });
        let pause_us = self.paused_until().saturating_sub(now) * 1_000;
        Drain::new(pause_us, self.concurrency.limit(), left_us.collect())
    }

    fn plan(&self, now: Millis, new: Option<&Waiter>) -> Plan {
        let waiters = self.waiting.iter().chain(new);
        let candidates = waiters.map(|it| self.candidate(now, it)).collect();
        let loads = self.routes.loads(now, &self.service);
        Plan::new(now, self.drain(now), loads, candidates)
    }

    fn candidate(&self, now: Millis, waiter: &Waiter) -> Candidate {
        let ticket = waiter.ticket;
        let service = self.routes.service(ticket.route, &self.service);
        let budget_ms = ticket.objective.saturating_sub(waiter.arrived);
        let latest_start = |deviations| {
            let needed_ms = service.needed_with_ms(budget_ms, deviations);
            ticket.objective.saturating_sub(needed_ms)
        };
        let is_new = waiter.sequence == self.next_sequence;
        Candidate {
            id: ticket.id,
            route: ticket.route,
            priority: ticket.priority,
            work_us: service.mean_us(),
            objective_start: latest_start(HELD_DEVIATIONS),
            safe_start: latest_start(if is_new {
                NEW_DEVIATIONS
            } else {
                HELD_DEVIATIONS
            }),
            last_start: self.last_start(waiter),
            starved: self.routes.is_starved(ticket.route, now),
            sequence: waiter.sequence,
        }
    }
}

#[cfg(test)]
mod tests;
