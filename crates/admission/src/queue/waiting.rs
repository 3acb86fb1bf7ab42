//! The waiting requests of a queue.

use smallvec::SmallVec;

use super::Ticket;
use crate::Millis;

/// Whether a request may run at the same time as others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RunMode {
    Shared,
    Exclusive,
}

/// Which of two otherwise equal requests is preferred.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ArrivalOrder {
    OldestFirst,
    NewestFirst,
}

/// A request that waits or is being offered.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiter {
    pub(super) ticket: Ticket,
    pub(super) mode: RunMode,
    /// Sequence number of the offer.
    pub(super) sequence: u64,
    pub(super) arrived: Millis,
}

impl Waiter {
    /// Time from the arrival to the deadline.
    pub(super) fn budget_ms(&self) -> u64 {
        self.ticket.deadline.saturating_sub(self.arrived)
    }

    /// Sort key by arrival; the preferred request has the lowest.
    pub(super) fn rank(&self, order: ArrivalOrder) -> u64 {
        match order {
            ArrivalOrder::OldestFirst => self.sequence,
            ArrivalOrder::NewestFirst => u64::MAX - self.sequence,
        }
    }
}

/// Waiting requests in the order of their arrival. Queues are short, so every selection is a linear
/// scan.
#[derive(Clone, Debug, Default)]
pub(super) struct Waiting {
    waiters: Vec<Waiter>,
}

impl Waiting {
    pub(super) fn push(&mut self, waiter: Waiter) {
        self.waiters.push(waiter);
    }

    pub(super) fn remove(&mut self, id: u64) -> Option<Waiter> {
        let at = self.waiters.iter().position(|it| it.ticket.id == id)?;
        Some(self.waiters.remove(at))
    }

    pub(super) fn len(&self) -> usize {
        self.waiters.len()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Waiter> {
        self.waiters.iter()
    }

    /// The first request that meets a condition.
    pub(super) fn find(&self, condition: impl Fn(&Waiter) -> bool) -> Option<Waiter> {
        self.waiters.iter().copied().find(condition)
    }

    /// Makes a waiting request one that must run alone.
    pub(super) fn set_exclusive(&mut self, id: u64) {
        for waiter in &mut self.waiters {
            if waiter.ticket.id == id {
                waiter.mode = RunMode::Exclusive;
            }
        }
    }

    /// Number of waiting requests of one caller.
    pub(super) fn count_of_caller(&self, caller: u64) -> usize {
        let all = self.waiters.iter();
        all.filter(|it| it.ticket.caller == caller).count()
    }

    /// The request to evict from a full queue, which may be `new`: the one with the lowest
    /// priority, then with the greatest `weight`, then the least preferred by arrival.
    pub(super) fn victim(
        &self,
        new: Option<&Waiter>,
        order: ArrivalOrder,
        weight: impl Fn(&Ticket) -> usize,
    ) -> Option<u64> {
        let all = self.waiters.iter().chain(new);
        let worst = all.max_by_key(|it| (it.ticket.priority, weight(&it.ticket), it.rank(order)));
        worst.map(|it| it.ticket.id)
    }

    /// The request to evict among those of one caller, which may be `new`, because the caller has
    /// reached its share.
    pub(super) fn victim_of_caller(&self, new: &Waiter, order: ArrivalOrder) -> u64 {
        let caller = new.ticket.caller;
        let own = self.waiters.iter().filter(|it| it.ticket.caller == caller);
        let worst = own
            .chain([new])
            .max_by_key(|it| (it.ticket.priority, it.rank(order)));
        worst.map_or(new.ticket.id, |it| it.ticket.id)
    }

    /// Number of requests that are likely to start before `new`: all requests of a higher priority,
    /// and some of those of equal priority. Among these, callers take turns: the requests of the
    /// same caller in front of `new` count, and of each other caller at most one more than that.
    pub(super) fn count_ahead(&self, new: &Waiter, order: ArrivalOrder) -> usize {
        let mut total = 0;
        let mut own = 0;
        let mut others: SmallVec<[(u64, usize); 16]> = SmallVec::new();
        for waiter in &self.waiters {
            if waiter.ticket.priority != new.ticket.priority {
                total += usize::from(waiter.ticket.priority < new.ticket.priority);
                continue;
            }
            if waiter.ticket.caller == new.ticket.caller {
                own += usize::from(order == ArrivalOrder::OldestFirst);
                continue;
            }
            let caller = waiter.ticket.caller;
            match others.iter_mut().find(|it| it.0 == caller) {
                Some(it) => it.1 += 1,
                None => others.push((caller, 1)),
            }
        }
        let others_ahead = others.iter().map(|&(_, count)| count.min(own + 1));
        total + own + others_ahead.sum::<usize>()
    }
}
