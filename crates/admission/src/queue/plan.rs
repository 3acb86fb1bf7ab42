//! The order in which the waiting requests of a queue start, and which of them are hopeless.

use smallvec::SmallVec;

use super::{
    RouteLoad,
    candidate::{Candidate, Demand},
    drain::Drain,
};
use crate::Millis;

/// The waiting requests in the order in which they start, with the forecast of the slots.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    now: Millis,
    drain: Drain,
    loads: Vec<RouteLoad>,
    /// In the order of starting.
    candidates: Vec<Candidate>,
    /// The priorities whose waiting requests cannot all be served in time.
    exceeded: SmallVec<[u8; 4]>,
}

impl Plan {
    /// Puts the candidates in the order of starting.
    pub(super) fn new(
        now: Millis,
        drain: Drain,
        loads: Vec<RouteLoad>,
        mut candidates: Vec<Candidate>,
    ) -> Self {
        candidates.sort_unstable_by_key(|it| it.rank(now, Demand::Fits));
        let mut plan = Self {
            now,
            drain,
            loads,
            candidates,
            exceeded: SmallVec::new(),
        };
        plan.exceeded = plan.exceeded();
        if !plan.exceeded.is_empty() {
            let mut sorted = std::mem::take(&mut plan.candidates);
            sorted.sort_unstable_by_key(|it| it.rank(now, plan.demand(it.priority)));
            plan.candidates = sorted;
        }
        plan
    }

    /// The request that gets the next slot. Answers urgent routes that would keep all slots: the
    /// best request of a starved route goes first if it can meet its deadline.
    pub(super) fn next(&self) -> Option<u64> {
        let starved = |it: &&Candidate| it.starved && self.now <= it.last_start;
        let next = self.candidates.iter().find(starved);
        next.or(self.candidates.first()).map(|it| it.id)
    }

    /// The request to evict from a full queue. Answers a queue that is full of less urgent or more
    /// expensive requests: the one that would start last goes.
    pub(super) fn last(&self) -> Option<u64> {
        self.candidates.last().map(|it| it.id)
    }

    /// Whether the request is expected to start early enough for its objective.
    pub(super) fn is_in_time(&self, id: u64) -> bool {
        let mut ahead_us = 0;
        for it in &self.candidates {
            if it.id == id {
                return self.starts_in_time(it, ahead_us);
            }
            ahead_us += it.work_us;
        }
        false
    }

    /// The requests that cannot be expected to meet their deadlines, given the requests ahead of
    /// them and what arrives.
    ///
    /// Answers an overload that lasts: a request that would be held until its deadline and served
    /// to no one is known before, and requests behind it do not wait for it.
    pub(super) fn hopeless(&self) -> Vec<u64> {
        let mut hopeless = Vec::new();
        let mut ahead_us = 0;
        let mut spared: SmallVec<[u64; 4]> = SmallVec::new();
        // Work of the requests of this priority that can be in time and were not looked at yet.
        let mut in_time = (None, 0);
        for it in &self.candidates {
            if in_time.0 != Some(it.priority) {
                in_time = (Some(it.priority), self.in_time_us(it.priority));
            }
            if !it.is_late(self.now) {
                in_time.1 -= it.work_us;
            }
            if it.starved && !spared.contains(&it.route) && self.now <= it.last_start {
                spared.push(it.route);
                continue;
            }
            if self.starts_in_time(it, ahead_us) || self.starts_late(it, ahead_us + in_time.1) {
                ahead_us += it.work_us;
                continue;
            }
            hopeless.push(it.id);
        }
        hopeless
    }

    fn starts_in_time(&self, it: &Candidate, ahead_us: u64) -> bool {
        let arriving = self.arriving(|load| {
            let less_work = self.demand(it.priority) == Demand::Exceeds
                && load.work_class() < super::candidate::work_class(it.work_us);
            load.priority < it.priority || load.priority == it.priority && less_work
        });
        let start = self.start(ahead_us, arriving);
        start.is_some_and(|start| start <= it.safe_start.min(it.last_start))
    }

    /// Whether the request starts before its deadline, although after all that can be in time.
    fn starts_late(&self, it: &Candidate, ahead_us: u64) -> bool {
        let arriving = self.arriving(|load| load.priority <= it.priority);
        let start = self.start(ahead_us, arriving);
        start.is_some_and(|start| start <= it.last_start)
    }

    /// Work of the requests of a priority that can be in time.
    fn in_time_us(&self, priority: u8) -> u64 {
        let in_time = self
            .candidates
            .iter()
            .filter(|it| it.priority == priority && !it.is_late(self.now));
        in_time.map(|it| it.work_us).sum()
    }

    fn start(&self, ahead_us: u64, arriving: u64) -> Option<Millis> {
        let wait_us = self.drain.wait_us(ahead_us, arriving)?;
        Some(self.now + wait_us / 1_000)
    }

    /// Slots, in thousandths, that the arrivals of some routes occupy.
    fn arriving(&self, counts: impl Fn(&RouteLoad) -> bool) -> u64 {
        let counted = self.loads.iter().filter(|it| counts(it));
        counted.map(|it| it.load).sum()
    }

    fn demand(&self, priority: u8) -> Demand {
        if self.exceeded.contains(&priority) {
            Demand::Exceeds
        } else {
            Demand::Fits
        }
    }

    /// The priorities of which some request would be late if the least slack went first.
    fn exceeded(&self) -> SmallVec<[u8; 4]> {
        let mut exceeded: SmallVec<[u8; 4]> = SmallVec::new();
        let mut ahead_us = 0;
        for it in &self.candidates {
            let start = self.start(ahead_us, 0);
            let misses = start.is_none_or(|start| start > it.objective_start);
            if misses && !it.is_late(self.now) && !exceeded.contains(&it.priority) {
                exceeded.push(it.priority);
            }
            ahead_us += it.work_us;
        }
        exceeded
    }
}

#[cfg(test)]
mod tests;
