//! A request that competes for a slot.

use crate::Millis;

/// Whether the requests of a priority that wait can all be served within their objectives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Demand {
    Fits,
    Exceeds,
}

/// What decides about a waiting request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) id: u64,
    pub(super) route: u64,
    /// Priority; 0 is the highest.
    pub(super) priority: u8,
    /// Expected work.
    pub(super) work_us: u64,
    /// The latest start from which it is expected to meet its objective.
    pub(super) objective_start: Millis,
    /// The latest forecast start with which it counts as in time. It is earlier than
    /// `objective_start` for a new request, since forecasts are inexact: with the same limit, a
    /// fifth of the urgent requests of a burst were accepted and refused after a wait.
    pub(super) safe_start: Millis,
    /// The latest start from which it is expected to meet its deadline.
    pub(super) last_start: Millis,
    /// Whether its route has received nothing for the duration of its longest objective.
    pub(super) starved: bool,
    /// Sequence number of the offer.
    pub(super) sequence: u64,
}

/// Sort key of a candidate: priority, late, work class, due, order of arrival.
pub(super) type StartRank = (u8, bool, u64, Millis, u64);

impl Candidate {
    /// Whether it can no longer meet its objective, even if it starts at once.
    pub(super) fn is_late(&self, now: Millis) -> bool {
        now > self.objective_start
    }

    /// Sort key of the order of starting; the lowest starts first.
    ///
    /// Answers too little room for all: the more urgent first, and requests that can still be in
    /// time before late ones. Answers a short burst that the queue can absorb: least slack first.
    /// Answers a burst that it cannot: least work first, so that most requests are in time.
    pub(super) fn rank(&self, now: Millis, demand: Demand) -> StartRank {
        let late = self.is_late(now);
        let (work, due) = match (late, demand) {
            (false, Demand::Fits) => (0, self.objective_start),
            (false, Demand::Exceeds) => (work_class(self.work_us), self.objective_start),
            (true, _) => (work_class(self.work_us), self.last_start),
        };
        (self.priority, late, work, due, self.sequence)
    }
}

/// Work rounded to its three most significant bits, steps of 12 to 25%, so that small differences
/// between the estimates of two routes do not put one of them first.
pub(super) fn work_class(work_us: u64) -> u64 {
    let bits = u64::BITS - work_us.leading_zeros();
    let dropped = bits.saturating_sub(3);
    (work_us >> dropped) << dropped
}
