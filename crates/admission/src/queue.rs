//! The bounded, fair queue in front of one target.

mod concurrency;
mod service_time;
mod shares;
mod ticket;
mod waiting;

use std::collections::HashMap;

use refusal::Reason;

use self::concurrency::Concurrency;
use self::service_time::ServiceTime;
use self::shares::Shares;
pub use self::ticket::{Decision, Decisions, End, Limits, OfferResult, Order, Ticket};
use self::waiting::{Age, Company, Waiter, Waiting};
use crate::Millis;

/// Time after a refusal for lack of room or time during which the queue counts as overloaded.
const OVERLOAD_MS: u64 = 1_000;
/// Least service time charged to a caller and a key, so that answers within the same millisecond
/// are shared fairly too.
const LEAST_COST_US: u64 = 100;

#[derive(Clone, Copy, Debug)]
struct Running {
    key: u64,
    caller: u64,
    company: Company,
    started: Millis,
    charged: u64,
}

#[derive(Clone, Copy, Debug)]
enum Place {
    Slot,
    Queue,
}

/// The queue of one target at its gateway.
///
/// At most `slots` requests run, fewer while the target sheds load. A free slot goes to the
/// highest priority, then to the caller and key that received the least service, then by
/// [`Order`]. A request that cannot be expected to end before its deadline is refused, at the
/// offer if the queue in front of it is too long, and later if it waited too long. While nothing
/// runs, a request is started whatever the estimate says, since only an answer can correct it.
#[derive(Clone, Debug)]
pub struct Queue {
    limits: Limits,
    order: Order,
    waiting: Waiting,
    running: HashMap<u64, Running>,
    callers: Shares,
    keys: Shares,
    service: ServiceTime,
    concurrency: Concurrency,
    /// Decisions that the next call which returns decisions delivers.
    pending: Decisions,
    overloaded: Millis,
    next: u64,
}

impl Queue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            order: Order::default(),
            waiting: Waiting::default(),
            running: HashMap::new(),
            callers: Shares::default(),
            keys: Shares::default(),
            service: ServiceTime::default(),
            concurrency: Concurrency::new(limits.slots),
            pending: Decisions::new(),
            overloaded: 0,
            next: 0,
        }
    }

    /// Replaces the order of waiting requests.
    #[must_use]
    pub fn with_order(mut self, order: Order) -> Self {
        self.order = order;
        self
    }

    /// Offers a request. A request that waits can push out a waiting one, whose refusal comes from
    /// the next call of [`expire`](Self::expire); call it after each `OfferResult::Wait`.
    pub fn offer(&mut self, now: Millis, ticket: Ticket) -> OfferResult {
        self.admit(now, ticket, Company::Any)
    }

    /// Offers a request that must run alone, because it was in flight at a crash of a target. It
    /// starts when nothing runs, and nothing starts beside it.
    pub fn offer_suspect(&mut self, now: Millis, ticket: Ticket) -> OfferResult {
        self.admit(now, ticket, Company::Alone)
    }

    /// Marks a waiting request as one that must run alone.
    pub fn mark_suspect(&mut self, id: u64) {
        self.waiting.mark(id);
    }

    /// Ends a running request that took `took_ms`; an unknown `id` is ignored.
    pub fn finish(&mut self, now: Millis, id: u64, took_ms: u64, end: End) -> Decisions {
        let Some(running) = self.running.remove(&id) else {
            return self.decide(now);
        };
        match end {
            End::Answered => {
                self.service.on_answer(took_ms);
                self.concurrency.on_answer();
            }
            End::Shed => self.concurrency.on_shed(now, running.started),
            End::Failed | End::Cancelled => self.service.on_censored(took_ms),
        }
        let spent = (took_ms * 1_000).max(LEAST_COST_US);
        self.callers.settle(running.caller, running.charged, spent);
        self.keys.settle(running.key, running.charged, spent);
        self.leave(running.caller, running.key);
        self.decide(now)
    }

    /// Withdraws a request whose caller has gone, waiting or running.
    pub fn cancel(&mut self, now: Millis, id: u64) -> Decisions {
        if let Some(running) = self.running.get(&id) {
            let took_ms = now.saturating_sub(running.started);
            return self.finish(now, id, took_ms, End::Cancelled);
        }
        if let Some(waiter) = self.waiting.remove(id) {
            self.leave(waiter.ticket.caller, waiter.ticket.key);
        }
        // It may have been pushed out already; its caller no longer waits for the refusal.
        self.pending
            .retain(|it| !matches!(it, Decision::Refuse(refused, _) if *refused == id));
        self.decide(now)
    }

    /// Refuses the waiting requests that cannot meet their deadline any more, and starts those that
    /// waited for a pause to end. Call it at [`next_due`](Self::next_due).
    pub fn expire(&mut self, now: Millis) -> Decisions {
        self.decide(now)
    }

    /// When [`expire`](Self::expire) has something to do next, or `None` if only another call can
    /// change that.
    #[must_use]
    pub fn next_due(&self, now: Millis) -> Option<Millis> {
        if !self.pending.is_empty() {
            return Some(now);
        }
        let late = self
            .waiting
            .iter()
            .map(|it| self.last_start(it) + 1)
            .min()?;
        let paused = self.concurrency.paused();
        if now < paused && self.running.len() < self.concurrency.limit() {
            return Some(late.min(paused));
        }
        Some(late)
    }

    /// Replaces the limits; call [`expire`](Self::expire) next. Running requests beyond the new
    /// limits end by themselves, waiting ones beyond them are refused.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        self.concurrency.set_slots(limits.slots);
        while self.waiting.len() > limits.depth {
            let Some(victim) = self.victim(None, Age::Oldest) else {
                break;
            };
            self.push_out(victim, Reason::QueueFull);
        }
    }

    /// Refuses all waiting requests, because the target drains or this host is no longer its
    /// gateway.
    pub fn refuse_waiting(&mut self, reason: Reason) -> Decisions {
        while let Some(waiter) = self.waiting.find(|_| true) {
            self.push_out(waiter.ticket.id, reason);
        }
        std::mem::take(&mut self.pending)
    }

    /// Requests that run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Milliseconds until a request of the lowest standing that is offered at `now` would start,
    /// as estimated.
    #[must_use]
    pub fn wait_estimate(&self, now: Millis) -> u64 {
        self.wait_behind(now, self.waiting.len())
    }

    fn admit(&mut self, now: Millis, ticket: Ticket, company: Company) -> OfferResult {
        let new = Waiter {
            ticket,
            company,
            number: self.next,
            arrived: now,
        };
        self.next += 1;
        self.callers.enter(ticket.caller);
        self.keys.enter(ticket.key);
        match self.place(now, &new) {
            Ok(Place::Slot) => {
                self.start(now, &new);
                OfferResult::Start
            }
            Ok(Place::Queue) => {
                self.waiting.push(new);
                OfferResult::Wait
            }
            Err(reason) => {
                self.overloaded = now + OVERLOAD_MS;
                self.leave(ticket.caller, ticket.key);
                OfferResult::Refuse(reason)
            }
        }
    }

    /// Where a new request goes; the error is its refusal.
    fn place(&mut self, now: Millis, new: &Waiter) -> Result<Place, Reason> {
        if new.ticket.deadline <= now {
            return Err(Reason::DeadlineBeforeStart);
        }
        let free = self.waiting.len() == 0 && self.may_start(now, new.company);
        let age = self.age(now);
        let wait_ms = if free {
            0
        } else {
            self.wait_behind(now, self.waiting.ahead(new, age))
        };
        if now + wait_ms > self.last_start(new) && !self.running.is_empty() {
            return Err(Reason::DeadlineBeforeStart);
        }
        if free {
            return Ok(Place::Slot);
        }
        let share = self.limits.depth * self.limits.caller_share as usize / 100;
        if self.waiting.of_caller(new.ticket.caller) >= share.max(1) {
            let victim = self.waiting.victim_of_caller(new, age);
            if victim == new.ticket.id {
                return Err(Reason::CallerShare);
            }
            self.overloaded = now + OVERLOAD_MS;
            self.push_out(victim, Reason::CallerShare);
        }
        if self.waiting.len() >= self.limits.depth {
            match self.victim(Some(new), age) {
                Some(victim) if victim != new.ticket.id => {
                    self.overloaded = now + OVERLOAD_MS;
                    self.push_out(victim, Reason::QueueFull);
                }
                _ => return Err(Reason::QueueFull),
            }
        }
        Ok(Place::Queue)
    }

    /// The request to push out of a full queue. Callers and keys with many requests give way first.
    fn victim(&self, new: Option<&Waiter>, age: Age) -> Option<u64> {
        self.waiting.victim(new, age, |it| {
            self.callers.active(it.caller) + self.keys.active(it.key)
        })
    }

    fn push_out(&mut self, id: u64, reason: Reason) {
        if let Some(waiter) = self.waiting.remove(id) {
            self.leave(waiter.ticket.caller, waiter.ticket.key);
            self.pending.push(Decision::Refuse(id, reason));
        }
    }

    /// Makes every decision that is possible at `now`.
    fn decide(&mut self, now: Millis) -> Decisions {
        let mut decisions = std::mem::take(&mut self.pending);
        // A request that must run alone starts only where any other could start too.
        while self.may_start(now, Company::Any) {
            let Some(next) = self.best(now) else {
                break;
            };
            if !self.may_start(now, next.company) {
                break;
            }
            let ticket = next.ticket;
            let late = now > self.last_start(&next) && !self.running.is_empty();
            self.waiting.remove(ticket.id);
            if late || ticket.deadline <= now {
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
        decisions
    }

    fn refuse_late(&mut self, now: Millis, waiter: &Waiter, decisions: &mut Decisions) {
        self.overloaded = now + OVERLOAD_MS;
        self.leave(waiter.ticket.caller, waiter.ticket.key);
        let refusal = Decision::Refuse(waiter.ticket.id, Reason::DeadlineBeforeStart);
        decisions.push(refusal);
    }

    fn start(&mut self, now: Millis, waiter: &Waiter) {
        let Ticket {
            id, key, caller, ..
        } = waiter.ticket;
        let charged = self.service.mean_us().max(LEAST_COST_US);
        self.callers.charge(caller, charged);
        self.keys.charge(key, charged);
        let running = Running {
            key,
            caller,
            company: waiter.company,
            started: now,
            charged,
        };
        let earlier = self.running.insert(id, running);
        assert!(earlier.is_none(), "ids in the queue are unique");
    }

    fn leave(&mut self, caller: u64, key: u64) {
        self.callers.leave(caller);
        self.keys.leave(key);
    }

    fn best(&self, now: Millis) -> Option<Waiter> {
        let age = self.age(now);
        let rank = |it: &&Waiter| {
            let lead = self.callers.lead(it.ticket.caller) + self.keys.lead(it.ticket.key);
            (it.ticket.priority, lead, it.rank(age))
        };
        self.waiting.iter().min_by_key(rank).copied()
    }

    fn may_start(&self, now: Millis, company: Company) -> bool {
        let running = self.running.len();
        if now < self.concurrency.paused() || running >= self.concurrency.limit() {
            return false;
        }
        match company {
            Company::Alone => running == 0,
            Company::Any => self.running.values().all(|it| it.company == Company::Any),
        }
    }

    /// The last time at which a request can be started and be expected to meet its deadline.
    fn last_start(&self, waiter: &Waiter) -> Millis {
        let needed = self.service.needed_ms(waiter.budget_ms());
        waiter.ticket.deadline.saturating_sub(needed)
    }

    fn wait_behind(&self, now: Millis, ahead: usize) -> u64 {
        let paused = self.concurrency.paused().saturating_sub(now);
        let limit = self.concurrency.limit();
        if self.waiting.len() == 0 && self.running.len() < limit {
            return paused;
        }
        let turns = ahead as u64 + 1;
        paused + turns * self.service.mean_us() / (limit.max(1) as u64 * 1_000)
    }

    fn age(&self, now: Millis) -> Age {
        match self.order {
            Order::Newest => Age::Newest,
            Order::Adaptive if now < self.overloaded => Age::Newest,
            Order::Oldest | Order::Adaptive => Age::Oldest,
        }
    }
}

#[cfg(test)]
mod tests;
