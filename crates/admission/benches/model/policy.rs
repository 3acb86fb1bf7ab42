//! The compared policies for the admission of requests to the target.

use std::collections::VecDeque;

use admission::{
    Decision, Decisions, Millis, OfferResult, Queue, QueueLimits, QueueOrder, RequestEnd, Ticket,
};
use refusal::Reason;

use super::Scenario;

/// Hosts of a deployment (`docs/design.md`, section 1.3).
const HOSTS: usize = 10;
/// Percent of the queue that one caller may fill.
const CALLER_SHARE_PERCENT: u32 = 50;

/// How requests are admitted to the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// One [`Queue`] of this crate at the gateway.
    Gateway(QueueOrder),
    /// An unbounded FIFO queue that ignores deadlines.
    Unbounded,
    /// A FIFO queue with the same bound that ignores deadlines.
    Fixed,
    /// The adaptive queue behind rate limits by caller that are lowered after refusals.
    Escalating,
    /// Ten hosts, each with its own [`Queue`] and its part of the limits.
    TenHosts,
}

/// All policies, in the order of the table.
pub const POLICIES: [Policy; 8] = [
    Policy::Gateway(QueueOrder::Adaptive),
    Policy::Gateway(QueueOrder::Objective),
    Policy::Gateway(QueueOrder::Newest),
    Policy::Gateway(QueueOrder::Oldest),
    Policy::Escalating,
    Policy::Unbounded,
    Policy::Fixed,
    Policy::TenHosts,
];

impl Policy {
    /// Name in the table.
    pub fn name(self) -> &'static str {
        match self {
            Self::Gateway(QueueOrder::Adaptive) => "queue, adaptive",
            Self::Gateway(QueueOrder::Newest) => "queue, newest first",
            Self::Gateway(QueueOrder::Oldest) => "queue, oldest first",
            Self::Gateway(QueueOrder::Objective) => "queue, by objective",
            Self::Unbounded => "unbounded FIFO",
            Self::Fixed => "fixed limit",
            Self::Escalating => "queue, rate limits",
            Self::TenHosts => "ten hosts",
        }
    }

    /// The queues of the policy; each request is offered to one of them at random.
    pub(super) fn queues(self, scenario: &Scenario) -> Vec<PolicyQueue> {
        let slots = scenario.usual.slots;
        let limits = QueueLimits {
            slots,
            depth: scenario.depth,
            caller_share: scenario.caller_share(),
        };
        match self {
            Self::Gateway(order) => {
                vec![PolicyQueue::Queue(Box::new(
                    Queue::new(limits).with_order(order),
                ))]
            }
            Self::Escalating => {
                let queue = Queue::new(limits);
                let rate_limits = RateLimits::new(scenario);
                vec![PolicyQueue::Escalating(Box::new(queue), rate_limits)]
            }
            Self::Unbounded => vec![PolicyQueue::Fifo(Fifo::new(slots, usize::MAX))],
            Self::Fixed => vec![PolicyQueue::Fifo(Fifo::new(slots, scenario.depth))],
            Self::TenHosts => {
                let limits = QueueLimits {
                    slots: slots.div_ceil(HOSTS),
                    depth: scenario.depth.div_ceil(HOSTS),
                    caller_share: CALLER_SHARE_PERCENT,
                };
                let queue = || PolicyQueue::Queue(Box::new(Queue::new(limits)));
                (0..HOSTS).map(|_| queue()).collect()
            }
        }
    }
}

pub(super) enum PolicyQueue {
    Queue(Box<Queue>),
    Escalating(Box<Queue>, RateLimits),
    Fifo(Fifo),
}

impl PolicyQueue {
    /// Whether a running request is cancelled at its deadline.
    pub(super) fn cancels(&self) -> bool {
        !matches!(self, Self::Fifo(_))
    }

    pub(super) fn offer(&mut self, now: Millis, ticket: Ticket) -> OfferResult {
        match self {
            Self::Queue(queue) => queue.offer(now, ticket),
            Self::Escalating(queue, rate_limits) => rate_limits.offer(queue, now, ticket),
            Self::Fifo(fifo) => fifo.offer(ticket),
        }
    }

    /// Milliseconds after which the caller of a refused request is told to return.
    pub(super) fn return_ms(
        &mut self,
        now: Millis,
        ticket: &Ticket,
        caller_end: Millis,
        reason: Reason,
    ) -> Option<u64> {
        let told = match self {
            Self::Queue(queue) => queue.return_ms(now, ticket, caller_end),
            Self::Escalating(..) | Self::Fifo(_) => None,
        };
        told.or(reason.retry_ms())
    }

    pub(super) fn finish(
        &mut self,
        now: Millis,
        id: u64,
        took_ms: u64,
        end: RequestEnd,
    ) -> Decisions {
        match self {
            Self::Queue(queue) | Self::Escalating(queue, _) => queue.finish(now, id, took_ms, end),
            Self::Fifo(fifo) => fifo.finish(),
        }
    }

    pub(super) fn expire(&mut self, now: Millis) -> Decisions {
        match self {
            Self::Queue(queue) | Self::Escalating(queue, _) => queue.expire(now),
            Self::Fifo(_) => Decisions::new(),
        }
    }

    pub(super) fn next_due(&self, now: Millis) -> Option<Millis> {
        match self {
            Self::Queue(queue) | Self::Escalating(queue, _) => queue.next_due(now),
            Self::Fifo(_) => None,
        }
    }
}

pub(super) struct Fifo {
    slots: usize,
    depth: usize,
    running: usize,
    waiting: VecDeque<u64>,
}

impl Fifo {
    fn new(slots: usize, depth: usize) -> Self {
        Self {
            slots,
            depth,
            running: 0,
            waiting: VecDeque::new(),
        }
    }

    fn offer(&mut self, ticket: Ticket) -> OfferResult {
        if self.running < self.slots {
            self.running += 1;
            return OfferResult::Start;
        }
        if self.waiting.len() >= self.depth {
            return OfferResult::Refuse(Reason::QueueFull);
        }
        self.waiting.push_back(ticket.id);
        OfferResult::Wait
    }

    fn finish(&mut self) -> Decisions {
        let next = self.waiting.pop_front();
        if next.is_none() {
            self.running -= 1;
        }
        next.into_iter().map(Decision::Start).collect()
    }
}

/// Rate limits by caller. Each second with refusals halves the caller's rate, down to 1/16 of the
/// target's rate; each second without refusals doubles it again.
pub(super) struct RateLimits {
    /// Mean time between two answers of the target at full concurrency, in microseconds.
    gap_us: u64,
    callers: Vec<CallerLimit>,
}

#[derive(Clone, Copy)]
struct CallerLimit {
    /// The caller's rate is that of the target divided by 2 to the power of `level`; 0 is no limit.
    level: u32,
    /// Refusals by the queue in the current second.
    refused: u64,
    /// Number of the current second.
    second: u64,
    /// Earliest time of the next request.
    next_us: u64,
}

impl RateLimits {
    fn new(scenario: &Scenario) -> Self {
        let unlimited = CallerLimit {
            level: 0,
            refused: 0,
            second: 0,
            next_us: 0,
        };
        Self {
            gap_us: scenario.usual.service_us / scenario.usual.slots as u64,
            callers: vec![unlimited; scenario.callers.len()],
        }
    }

    fn offer(&mut self, queue: &mut Queue, now: Millis, ticket: Ticket) -> OfferResult {
        let caller = usize::try_from(ticket.caller).expect("caller numbers fit into usize");
        let caller = &mut self.callers[caller];
        while caller.second < now / 1_000 {
            caller.level = match caller.refused {
                0 => caller.level.saturating_sub(1),
                _ => (caller.level + 1).min(4),
            };
            caller.refused = 0;
            caller.second += 1;
        }
        if caller.level > 0 {
            if caller.next_us > now * 1_000 {
                return OfferResult::Refuse(Reason::CallerShare);
            }
            caller.next_us = now * 1_000 + (self.gap_us << caller.level);
        }
        let offer = queue.offer(now, ticket);
        caller.refused += u64::from(matches!(offer, OfferResult::Refuse(_)));
        offer
    }
}
