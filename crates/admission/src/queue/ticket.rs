//! Inputs and results of a queue.

use refusal::Reason;
use smallvec::SmallVec;

use crate::Millis;

/// Limits of a [`Queue`](crate::Queue).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueLimits {
    /// Maximum number of requests that run at the same time.
    pub slots: usize,
    /// Maximum number of requests that wait.
    pub depth: usize,
    /// Maximum number of waiting requests of one caller, in percent of `depth`; at least one may
    /// wait.
    pub caller_share: u32,
}

/// A request that is offered to a queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// Unique number of the request among those in the queue.
    pub id: u64,
    /// Hash of the request's key.
    pub key: u64,
    /// Hash that identifies the caller.
    pub caller: u64,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Hash of the request's route. Each route has its own estimate of the work of a request.
    pub route: u64,
    /// Until when the request counts as answered in time; it matters to
    /// [`QueueOrder::Objective`] only.
    pub objective: Millis,
    /// When the request must have been answered.
    pub deadline: Millis,
}

/// Result of [`Queue::offer`](crate::Queue::offer).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OfferResult {
    /// The request must be started now.
    Start,
    /// The request waits; a [`Decision`] follows.
    Wait,
    /// The request is refused and was not started.
    Refuse(Reason),
}

/// How a running request ended, as it counts for the [`Queue`](crate::Queue).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestEnd {
    /// The target answered.
    Answered,
    /// The target shed the request.
    Shed,
    /// The target or the connection to it failed.
    Failed,
    /// The request was cancelled, by the caller or at its deadline.
    Cancelled,
}

/// Decision about a waiting request, with its [`Ticket::id`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request must be started now.
    Start(u64),
    /// The request is refused and was not started.
    Refuse(u64, Reason),
}

/// Decisions about waiting requests, in the order in which they were made.
pub type Decisions = SmallVec<[Decision; 4]>;

/// Which waiting requests start first.
///
/// In all orders but [`Objective`](Self::Objective), callers and keys share the slots, and the order
/// is that of one caller's requests for one key.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum QueueOrder {
    /// The request that has waited longest.
    Oldest,
    /// The request that arrived last.
    Newest,
    /// Oldest first, but newest first while the queue is overloaded.
    #[default]
    Adaptive,
    /// By objective and expected work, whatever the caller and the key: what is delayed or refused
    /// costs callers least.
    Objective,
}
