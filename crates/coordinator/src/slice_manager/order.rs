//! Orders to targets and their outcomes.

use std::sync::Arc;

use crate::{FencingToken, Incarnation, KeyRange, Millis};

/// Durations of grants and retries, and the assumed clock drift of targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GrantTiming {
    /// Usual duration of a grant.
    pub hold_ms: u64,
    /// Longest duration of a grant.
    pub max_hold_ms: u64,
    /// Time after the sending of a grant at which it is renewed.
    pub renew_ms: u64,
    /// Delay before an order that failed or got no answer is repeated. An unanswered grant to the
    /// owner is repeated at once.
    pub retry_ms: u64,
    /// Time after which a grant without an answer is given up.
    pub timeout_ms: u64,
    /// Longest time for which an order without an answer may stay unread after its sender has given
    /// it up: closing a connection does not withdraw bytes that an overloaded target has received
    /// and not read yet.
    pub unread_ms: u64,
    /// How much slower than this host's clock a target's clock may run, in percent.
    pub drift_percent: u64,
}

impl GrantTiming {
    /// Returns the latest end of a grant of `hold_ms` that reached its target by `arrived`.
    #[must_use]
    pub fn latest_end(&self, arrived: Millis, hold_ms: u64) -> Millis {
        // For a drift of 2%, dividing by 98% adds slightly more than 2%, which is on the safe side.
        // The last millisecond makes up for the rounding of the division.
        arrived + hold_ms * 100 / (100 - self.drift_percent) + 1
    }

    /// Returns the longest time, from its sending on, for which a grant of an earlier coordinator can
    /// be in force: one of the longest duration that its target reads as late as it can.
    #[must_use]
    pub fn longest_grant_ms(&self) -> u64 {
        self.latest_end(self.timeout_ms + self.unread_ms, self.max_hold_ms)
    }

    /// Returns the longest time for which keys are withheld after the store has come back from a
    /// copy: that of a grant of the longest duration that its target has answered, or of one of the
    /// usual duration that its target reads late.
    #[must_use]
    pub fn max_recovery_ms(&self) -> u64 {
        let answered = self.latest_end(0, self.max_hold_ms);
        answered.max(self.latest_end(self.unread_ms, self.hold_ms))
    }
}

/// Identifies an order within one manager.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct OrderId(pub u64);

/// The kind of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// The target may run requests for the keys.
    Grant {
        /// Duration of the grant, from the arrival of the order.
        hold_ms: u64,
        /// Proof of a hand-over by the previous owner, with which the target has no warm-up time on
        /// the keys; absent if there was no hand-over.
        handover: Option<Arc<str>>,
    },
    /// The target must not start further requests for the keys.
    Release,
}

/// An order to a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Identifies the order.
    pub id: OrderId,
    /// The incarnation of the target.
    pub incarnation: Incarnation,
    /// The keys.
    pub range: KeyRange,
    /// The fencing token; a target refuses a grant if it has seen a higher token for one of the
    /// keys.
    pub token: FencingToken,
    /// Whether the order is a grant or a release.
    pub kind: OrderKind,
}

/// The outcome of a grant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GrantOutcome {
    /// The target holds the keys.
    Accepted,
    /// The target has seen a higher fencing token on some of the keys.
    Superseded,
    /// The target refused the order, which therefore does not let it hold the keys.
    Refused,
    /// The target has ended; another process answers at its address.
    Gone,
    /// The order was not sent.
    NotSent,
    /// There was no answer. The target may hold the keys now or when the order arrives later.
    NoAnswer,
}

impl GrantOutcome {
    /// Whether the target may hold the keys because of the order.
    pub(super) fn may_hold(self) -> bool {
        matches!(self, Self::Accepted | Self::NoAnswer)
    }
}

/// The outcome of a release.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReleaseOutcome {
    /// The target has finished all requests for the keys.
    Done {
        /// Proof of the hand-over, which the next grant passes on; absent if the target gave none.
        handover: Option<Arc<str>>,
    },
    /// The target has ended; another process answers at its address.
    Gone,
    /// There was no answer.
    NoAnswer,
}

/// An order whose outcome is not known yet.
#[derive(Clone, Debug)]
pub(super) struct InFlightOrder {
    pub(super) incarnation: Incarnation,
    pub(super) range: KeyRange,
    pub(super) token: FencingToken,
    pub(super) sent_at: Millis,
    pub(super) hold_ms: u64,
}

impl InFlightOrder {
    pub(super) fn new(order: &Order, now: Millis) -> Self {
        let hold_ms = match order.kind {
            OrderKind::Grant { hold_ms, .. } => hold_ms,
            OrderKind::Release => 0,
        };
        Self {
            incarnation: order.incarnation.clone(),
            range: order.range,
            token: order.token,
            sent_at: now,
            hold_ms,
        }
    }
}
