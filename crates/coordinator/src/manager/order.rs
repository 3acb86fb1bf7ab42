//! Orders to targets and how they end.

use std::sync::Arc;

use crate::{FencingToken, Incarnation, KeyRange, Millis};

/// Times of the manager, in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// How long a grant lasts.
    pub hold_ms: u64,
    /// The longest that a grant may last.
    pub max_hold_ms: u64,
    /// Time after which a grant is renewed.
    pub renew_ms: u64,
    /// Time after which an order without an answer is repeated.
    pub retry_ms: u64,
    /// How much slower than this host's clock a target's clock may run, in percent.
    pub drift_percent: u64,
}

impl Bounds {
    /// The latest end of a grant of `hold_ms` that reached its target by `arrived`.
    #[must_use]
    pub fn latest_end(&self, arrived: Millis, hold_ms: u64) -> Millis {
        // A division by 98 percent is a little more than 2 percent on top.
        arrived + hold_ms * 100 / (100 - self.drift_percent) + 1
    }

    /// The longest time for which an order of an earlier coordinator can count.
    #[must_use]
    pub fn longest_ms(&self) -> u64 {
        self.latest_end(0, self.max_hold_ms)
    }
}

/// Number of an order.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct OrderId(pub u64);

/// What a target is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// It may run requests for the keys.
    Grant {
        /// For how long, from the arrival of the order.
        hold_ms: u64,
        /// Proof of a hand-over by the last owner; the target is not slow on the keys then.
        handover: Option<Arc<str>>,
    },
    /// It starts no more requests for the keys.
    Release,
}

/// An order to a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Its number.
    pub id: OrderId,
    /// The target.
    pub incarnation: Incarnation,
    /// The keys.
    pub range: KeyRange,
    /// The fencing token.
    pub token: FencingToken,
    /// What the target is told.
    pub kind: OrderKind,
}

/// How a grant ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GrantOutcome {
    /// The target holds the keys.
    Accepted,
    /// The target has seen a higher fencing token on some of the keys.
    Superseded,
    /// The target refused the order; it holds nothing by it.
    Refused,
    /// The target has ended: something else answers at its address.
    TargetGone,
    /// The order did not leave this host.
    NotSent,
    /// There was no answer. The target may hold the keys, now or later.
    NoAnswer,
}

impl GrantOutcome {
    /// Whether the target may hold keys by the order.
    pub(super) fn may_hold(self) -> bool {
        matches!(self, Self::Accepted | Self::NoAnswer)
    }
}

/// How a release ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReleaseOutcome {
    /// The target has ended its work on the keys.
    Done {
        /// Proof of the hand-over for the next owner.
        handover: Option<Arc<str>>,
    },
    /// The target has ended: something else answers at its address.
    TargetGone,
    /// There was no answer.
    NoAnswer,
}

/// An order that is under way.
#[derive(Clone, Debug)]
pub(super) struct Sent {
    pub(super) incarnation: Incarnation,
    pub(super) range: KeyRange,
    pub(super) token: FencingToken,
    pub(super) at: Millis,
    pub(super) hold_ms: u64,
}

impl Sent {
    pub(super) fn new(order: &Order, now: Millis) -> Self {
        let hold_ms = match order.kind {
            OrderKind::Grant { hold_ms, .. } => hold_ms,
            OrderKind::Release => 0,
        };
        Self {
            incarnation: order.incarnation.clone(),
            range: order.range,
            token: order.token,
            at: now,
            hold_ms,
        }
    }
}
