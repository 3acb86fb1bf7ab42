//! What goes into a queue and comes out of it.

use refusal::Reason;
use smallvec::SmallVec;

use crate::Millis;

/// Limits of a [`Queue`](crate::Queue).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Requests that run at the same time.
    pub slots: usize,
    /// Requests that wait.
    pub depth: usize,
    /// Waiting requests of one caller, in percent of `depth`; at least one may wait.
    pub caller_share: u32,
}

/// A request at a queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// Unique number of the request among those in the queue.
    pub id: u64,
    /// Hash of the request's key.
    pub key: u64,
    /// Hash that tells callers apart.
    pub caller: u64,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// When the answer is of no more use.
    pub deadline: Millis,
}

/// Answer to [`Queue::offer`](crate::Queue::offer).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OfferResult {
    /// The request runs now.
    Start,
    /// The request waits; a [`Decision`] follows.
    Wait,
    /// The request is refused and was not started.
    Refuse(Reason),
}

/// How a running request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The target answered.
    Answered,
    /// The target shed it.
    Shed,
    /// The target or the connection failed.
    Failed,
    /// It was cancelled, by the caller or at its deadline.
    Cancelled,
}

/// What becomes of a waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It runs now.
    Start(u64),
    /// It is refused and was not started.
    Refuse(u64, Reason),
}

/// Decisions about waiting requests, in the order in which they were made.
pub type Decisions = SmallVec<[Decision; 4]>;

/// Which of a caller's waiting requests starts first.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Order {
    /// The one that has waited longest.
    Oldest,
    /// The one that arrived last.
    Newest,
    /// Oldest first, but newest first while the queue is overloaded.
    #[default]
    Adaptive,
}
