//! The bounded, fair queue in front of one target.

mod admit;
mod arrivals;
mod by_objective;
mod candidate;
mod concurrency;
mod drain;
mod pause;
mod plan;
mod returns;
mod route_load;
mod route_stats;
mod routes;
mod service_time;
mod shares;
mod ticket;
mod waiting;

use std::collections::HashMap;

use refusal::Reason;

use self::concurrency::Concurrency;
use self::returns::Returns;
use self::route_load::RouteLoad;
use self::routes::Routes;
use self::service_time::ServiceTime;
use self::shares::Shares;
pub use self::ticket::{
    Decision, Decisions, OfferResult, QueueLimits, QueueOrder, RequestEnd, Ticket,
};
use self::waiting::{ArrivalOrder, RunMode, Waiter, Waiting};
use crate::Millis;

/// Time for which the queue counts as overloaded after a refusal for lack of room or time.
const OVERLOAD_MS: u64 = 1_000;
/// Minimum service time charged to a caller and a key. Times are measured in whole milliseconds, so
/// requests that take less than one would otherwise cost nothing and slots would not be shared
/// fairly.
const MIN_COST_US: u64 = 100;

#[derive(Clone, Copy, Debug)]
struct Running {
    key: u64,
    caller: u64,
    route: u64,
    mode: RunMode,
    started: Millis,
    /// Estimated service time that was charged to the caller and the key at the start.
    charged_us: u64,
}

/// The admission queue of one target at its gateway.
///
/// At most `slots` requests run, fewer while the target sheds load. A free slot goes to the
/// highest priority, then to the caller and key that received the least service, then by
/// [`QueueOrder`]; in [`QueueOrder::Objective`], objectives and work decide in place of callers and
/// keys. A request that cannot be expected to end before its deadline is refused: at once
/// if the queue in front of it is too long, or later if it waited too long. While nothing runs, a
/// request is started whatever the estimate is, since only an answer can correct the estimate.
#[derive(Clone, Debug)]
pub struct Queue {
    limits: QueueLimits,
    order: QueueOrder,
    waiting: Waiting,
    running: HashMap<u64, Running>,
    callers: Shares,
    keys: Shares,
    service: ServiceTime,
    routes: Routes,
    returns: Returns,
    concurrency: Concurrency,
    /// Decisions that the next method with [`Decisions`] as its result returns.
    pending: Decisions,
    overloaded_until: Millis,
    /// End of the pause that the target asked for; 0 if there is none.
    pause_end: Millis,
    /// Requests that may wait for the end of the pause; `None` if their number is not limited.
    pause_room: Option<u64>,
    /// Answers since the start of the last pause; `None` before the first one.
    answered: Option<u64>,
    /// Sequence number of the next offer.
    next_sequence: u64,
    /// When waiting requests are next searched for hopeless ones.
    next_review: Millis,
}

impl Queue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            order: QueueOrder::default(),
            waiting: Waiting::default(),
            running: HashMap::new(),
            callers: Shares::default(),
            keys: Shares::default(),
            service: ServiceTime::default(),
            routes: Routes::default(),
            returns: Returns::default(),
            concurrency: Concurrency::new(limits.slots),
            pending: Decisions::new(),
            overloaded_until: 0,
            pause_end: 0,
            pause_room: None,
            answered: None,
            next_sequence: 0,
            next_review: 0,
        }
    }

    /// Sets the order in which waiting requests start.
    #[must_use]
    pub fn with_order(mut self, order: QueueOrder) -> Self {
        self.order = order;
        self
    }

    /// Changes the order in which waiting requests start.
    pub fn set_order(&mut self, order: QueueOrder) {
        self.order = order;
    }

    /// Offers a request. If it has to wait, it can evict another waiting request, whose refusal the
    /// next call of [`expire`](Self::expire) returns; call it after each [`OfferResult::Wait`].
    pub fn offer(&mut self, now: Millis, ticket: Ticket) -> OfferResult {
        self.admit(now, ticket, RunMode::Shared)
    }

    /// Offers a request that must run alone, because it was in flight at a crash of a target. It is
    /// started when no other request runs, and no other is started while it runs.
    pub fn offer_suspect(&mut self, now: Millis, ticket: Ticket) -> OfferResult {
        self.admit(now, ticket, RunMode::Exclusive)
    }

    /// Marks a waiting request as one that must run alone.
    pub fn mark_suspect(&mut self, id: u64) {
        self.waiting.set_exclusive(id);
    }

    /// Ends a running request that took `took_ms`; an unknown `id` is ignored.
    pub fn finish(&mut self, now: Millis, id: u64, took_ms: u64, end: RequestEnd) -> Decisions {
        let Some(running) = self.running.remove(&id) else {
            return self.decide(now);
        };
        match end {
            RequestEnd::Answered => {
                self.service.on_answer(took_ms);
                if let Some(stats) = self.routes.get_mut(running.route) {
                    stats.service.on_answer(took_ms);
                }
                self.concurrency.on_answer();
                self.answered = self.answered.map(|it| it + 1);
            }
            RequestEnd::Shed => self.concurrency.on_shed(now, running.started),
            RequestEnd::Failed | RequestEnd::Cancelled => {
                self.service.on_censored(took_ms);
                if let Some(stats) = self.routes.get_mut(running.route) {
                    stats.service.on_censored(took_ms);
                }
            }
        }
        let spent = (took_ms * 1_000).max(MIN_COST_US);
        self.callers
            .settle(running.caller, running.charged_us, spent);
        self.keys.settle(running.key, running.charged_us, spent);
        self.remove_from_shares(running.caller, running.key);
        self.decide(now)
    }

    /// Removes a waiting or running request whose caller has disconnected.
    pub fn cancel(&mut self, now: Millis, id: u64) -> Decisions {
        if let Some(running) = self.running.get(&id) {
            let took_ms = now.saturating_sub(running.started);
            return self.finish(now, id, took_ms, RequestEnd::Cancelled);
        }
        if let Some(waiter) = self.waiting.remove(id) {
            self.remove_from_shares(waiter.ticket.caller, waiter.ticket.key);
        }
        // If the request was already evicted, its caller no longer waits for the refusal.
        self.pending
            .retain(|it| !matches!(it, Decision::Refuse(refused, _) if *refused == id));
        self.decide(now)
    }

    /// Refuses the waiting requests that can no longer meet their deadline, and starts those that
    /// waited for a pause to end. Call it at [`next_due`](Self::next_due).
    pub fn expire(&mut self, now: Millis) -> Decisions {
        self.decide(now)
    }

    /// When to call [`expire`](Self::expire) next, or `None` if it has nothing to do before another
    /// method is called.
    #[must_use]
    pub fn next_due(&self, now: Millis) -> Option<Millis> {
        if !self.pending.is_empty() {
            return Some(now);
        }
        let too_late_at = self
            .waiting
            .iter()
            .map(|it| self.last_start(it) + 1)
            .min()?;
        let paused_until = self.paused_until();
        if now < paused_until && self.running.len() < self.concurrency.limit() {
            return Some(too_late_at.min(paused_until));
        }
        Some(too_late_at)
    }

    /// Replaces the limits; call [`expire`](Self::expire) next. Running requests above the new
    /// limits are not stopped, waiting ones above them are refused.
    pub fn set_limits(&mut self, limits: QueueLimits) {
        self.limits = limits;
        self.concurrency.set_slots(limits.slots);
        while self.waiting.len() > limits.depth {
            let Some(victim) = self.victim(None, ArrivalOrder::OldestFirst) else {
                break;
            };
            self.evict(victim, Reason::QueueFull);
        }
    }

    /// Refuses all waiting requests, because the target is draining or this host is no longer its
    /// gateway.
    pub fn refuse_waiting(&mut self, reason: Reason) -> Decisions {
        while let Some(waiter) = self.waiting.find(|_| true) {
            self.evict(waiter.ticket.id, reason);
        }
        std::mem::take(&mut self.pending)
    }

    /// Number of running requests.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Estimated wait in milliseconds of a request that is offered at `now` and starts after all
    /// waiting ones.
    #[must_use]
    pub fn estimated_wait_ms(&self, now: Millis) -> u64 {
        if self.order == QueueOrder::Objective {
            let ahead_us = self.waiting.iter().map(|it| self.work_us(it.ticket.route));
            let wait_us = self.drain(now).wait_us(ahead_us.sum(), 0);
            return wait_us.unwrap_or_default() / 1_000;
        }
        self.estimated_wait_behind_ms(now, self.waiting.len())
    }

    /// Makes every decision that is possible at `now`.
    fn decide(&mut self, now: Millis) -> Decisions {
        let mut decisions = std::mem::take(&mut self.pending);
        // A request that must run alone is started only if any other request could be started too.
        while self.may_start(now, RunMode::Shared) {
            let Some(next) = self.next_to_start(now) else {
                break;
            };
            if !self.may_start(now, next.mode) {
                break;
            }
            let ticket = next.ticket;
            let is_late = now > self.last_start(&next) && !self.running.is_empty();
            self.waiting.remove(ticket.id);
            if is_late || ticket.deadline <= now {
                self.refuse_late(now, &next, &mut decisions);
                continue;
            }
            self.start(now, &next);
            decisions.push(Decision::Start(ticket.id));
        }
        while let Some(waiter) = self.waiting.find(|it| now > self.last_start(it)) {
            self.waiting.remove(waiter.ticket.id);
            self.refuse_late(now, &waiter, &mut decisions);
        }
        if self.order == QueueOrder::Objective {
            self.review(now, &mut decisions);
        }
        decisions
    }

    fn refuse_late(&mut self, now: Millis, waiter: &Waiter, decisions: &mut Decisions) {
        self.on_overload(now);
        self.remove_from_shares(waiter.ticket.caller, waiter.ticket.key);
        let reason = self.reason_in_pause(now, Reason::DeadlineBeforeStart);
        decisions.push(Decision::Refuse(waiter.ticket.id, reason));
    }

    fn start(&mut self, now: Millis, waiter: &Waiter) {
        let Ticket {
            id,
            key,
            caller,
            route,
            ..
        } = waiter.ticket;
        if let Some(stats) = self.routes.get_mut(route) {
            stats.on_start();
        }
        let charged_us = self.service.mean_us().max(MIN_COST_US);
        self.callers.charge(caller, charged_us);
        self.keys.charge(key, charged_us);
        let running = Running {
            key,
            caller,
            route,
            mode: waiter.mode,
            started: now,
            charged_us,
        };
        let earlier = self.running.insert(id, running);
        assert!(earlier.is_none(), "request {id} is already running");
    }

    fn remove_from_shares(&mut self, caller: u64, key: u64) {
        self.callers.remove_request(caller);
        self.keys.remove_request(key);
    }

    /// The waiting request that is started next.
    fn next_to_start(&self, now: Millis) -> Option<Waiter> {
        if self.order == QueueOrder::Objective {
            return self.next_by_objective(now);
        }
        let order = self.arrival_order(now);
        let rank = |it: &&Waiter| {
            let excess_us =
                self.callers.excess_us(it.ticket.caller) + self.keys.excess_us(it.ticket.key);
            (it.ticket.priority, excess_us, it.rank(order))
        };
        self.waiting.iter().min_by_key(rank).copied()
    }

    fn may_start(&self, now: Millis, mode: RunMode) -> bool {
        let running = self.running.len();
        if now < self.paused_until() || running >= self.concurrency.limit() {
            return false;
        }
        match mode {
            RunMode::Exclusive => running == 0,
            RunMode::Shared => self.running.values().all(|it| it.mode == RunMode::Shared),
        }
    }

    /// The latest time at which a request can be started and is expected to meet its deadline.
    fn last_start(&self, waiter: &Waiter) -> Millis {
        let service = match self.order {
            QueueOrder::Objective => self.routes.service(waiter.ticket.route, &self.service),
            _ => &self.service,
        };
        let needed = service.needed_ms(waiter.budget_ms());
        waiter.ticket.deadline.saturating_sub(needed)
    }

    /// Estimated wait in milliseconds behind `ahead` other requests.
    fn estimated_wait_behind_ms(&self, now: Millis, ahead: usize) -> u64 {
        let pause_ms = self.paused_until().saturating_sub(now);
        let limit = self.concurrency.limit();
        if self.waiting.len() == 0 && self.running.len() < limit {
            return pause_ms;
        }
        let starts = ahead as u64 + 1;
        pause_ms + starts * self.service.mean_us() / (limit.max(1) as u64 * 1_000)
    }

    fn arrival_order(&self, now: Millis) -> ArrivalOrder {
        match self.order {
            QueueOrder::Newest => ArrivalOrder::NewestFirst,
            QueueOrder::Adaptive if now < self.overloaded_until && !self.is_paused(now) => {
                ArrivalOrder::NewestFirst
            }
            QueueOrder::Oldest | QueueOrder::Adaptive | QueueOrder::Objective => {
                ArrivalOrder::OldestFirst
            }
        }
    }
}

#[cfg(test)]
mod tests;
