//! State of a gateway during one tenure.

use std::collections::BTreeMap;

use super::{Action, Actions};
use crate::{
    GENERATION_STEP, GRANT_MS, GRANT_RENEW_MS, GRANT_RETRY_MS, GrantState, HeldSlice, Millis,
    lengthen_for_drift, shorten_for_drift,
};

/// State of one tenure; dropped when the tenure ends.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct TenureState {
    /// When the tenure began.
    pub(super) start: Millis,
    /// Exclusive end of the tenure as last computed.
    pub(super) until: Millis,
    /// Epoch of the host, once it has one.
    pub(super) epoch: Option<u64>,
    /// When the outcome of the commit that recorded the epoch arrived, and its revision.
    pub(super) recorded: Option<(Millis, u64)>,
    /// The epoch, if it has not been announced yet.
    pub(super) unannounced: Option<u64>,
    /// Slice rows above this revision have not been granted to the target's incarnation before.
    pub(super) granted_rev: u64,
    /// When requests found that the target refuses connections.
    pub(super) unreachable_since: Option<Millis>,
    /// Exchange of grants with a target that checks them.
    pub(super) exchange: GrantExchange,
}

/// Exchange of grants with a target.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(super) struct GrantExchange {
    /// The target's last answer.
    pub(super) answer: Option<Answer>,
    /// When the last order with a later expiry than the one before was sent.
    pub(super) last_extended: Millis,
    /// The message without an outcome.
    pub(super) pending: Option<Pending>,
    /// When the next message is due.
    pub(super) due: Millis,
    /// When a changed set of slices may be sent at the earliest, before `due`.
    pub(super) change_due: Millis,
    /// Whether the last message had no answer.
    pub(super) unanswered: bool,
    /// Highest epoch that the target has accepted, as of its last answer with a grant state.
    pub(super) epoch: u64,
    /// Earliest expiry of the slices that the target holds, on the host's clock.
    pub(super) expires: Millis,
    /// Slices that the target holds under the host's epoch, by lowest hash.
    pub(super) granted: BTreeMap<u64, HeldSlice>,
    /// Ranges that the target may hold: those of the last accepted order and of all later orders.
    pub(super) possibly_held: Vec<(u64, u64)>,
    /// Highest generation that was seen or ordered for a range in this tenure, by lowest hash.
    pub(super) generations: BTreeMap<u64, HeldSlice>,
}

/// Incarnation and clock of an answer, and when its message was sent and the answer received.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct Answer {
    pub(super) incarnation: u64,
    pub(super) clock: Millis,
    pub(super) sent: Millis,
    pub(super) received: Millis,
}

/// A message to the target without an outcome.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Pending {
    pub(super) sent: Millis,
    /// When the order's term of `GRANT_MS` begins at the earliest.
    pub(super) term_start: Millis,
    pub(super) kind: MessageKind,
}

/// Type of a message to the target.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) enum MessageKind {
    Read,
    /// Raises the epoch and keeps the held slices.
    Claim {
        epoch: u64,
    },
    /// Renews the held slices, which this tag identifies.
    Renew {
        tag: u64,
    },
    /// Replaces the held slices.
    Set(Vec<(u64, u64)>),
}

impl TenureState {
    pub(super) fn new(start: Millis, until: Millis) -> Self {
        Self {
            start,
            until,
            epoch: None,
            recorded: None,
            unannounced: None,
            granted_rev: u64::MAX,
            unreachable_since: None,
            exchange: GrantExchange::default(),
        }
    }

    /// Returns whether the table is known to be at least as new as the host's own record, so that
    /// no commit of a previous gateway can take effect any more. `read` is when the last
    /// successful store read began.
    pub(super) fn is_confirmed(&self, read: Option<Millis>) -> bool {
        self.recorded.is_some_and(|(at, _)| read > Some(at))
    }

    /// Returns when every grant of this and of previous tenures has expired if the target doesn't
    /// answer any more. An order names its expiry on the target's clock, at most `GRANT_MS` after
    /// the order was sent, so that delayed orders don't extend grants.
    pub(super) fn grants_expiry(&self) -> Millis {
        let received = self.exchange.answer.map_or(0, |it| it.received);
        self.start.max(received).max(self.exchange.last_extended) + lengthen_for_drift(GRANT_MS)
    }
}

impl GrantExchange {
    /// Returns by how much the target's clock has at least advanced since its last answer when the
    /// next order is sent. An order after an unanswered one repeats its expiry; otherwise the wait
    /// for the expiry of the grants of a target that doesn't answer would never end.
    pub(super) fn min_clock_advance(&self, now: Millis, answer: &Answer) -> Millis {
        let from = if self.unanswered {
            self.last_extended
        } else {
            now
        };
        shorten_for_drift(from.saturating_sub(answer.received))
    }

    /// Records that a message is sent. `term_start` is when the term of an order begins at the
    /// earliest.
    pub(super) fn send(&mut self, now: Millis, term_start: Millis, kind: MessageKind) {
        if kind != MessageKind::Read && !self.unanswered {
            self.last_extended = now;
        }
        self.due = now + GRANT_RENEW_MS;
        self.pending = Some(Pending {
            sent: now,
            term_start,
            kind,
        });
    }

    /// Reads the target's state if a message is due.
    pub(super) fn read(&mut self, now: Millis, actions: &mut Actions) {
        if now < self.due {
            return;
        }
        self.send(now, now, MessageKind::Read);
        actions.push(Action::ReadGrant);
    }

    /// Records that the message that was sent at `sent` has no answer.
    pub(super) fn mark_unanswered(&mut self, now: Millis, sent: Millis) {
        self.unanswered = true;
        self.due = self.due.min(now.max(sent + GRANT_RETRY_MS));
    }

    /// Records an answer of the target to the message that was sent at `sent`.
    pub(super) fn record_answer(&mut self, now: Millis, sent: Millis, state: &GrantState) {
        self.epoch = state.epoch;
        self.record_clock(now, sent, state.incarnation, state.clock);
    }

    /// Records the clock in an answer to the message that was sent at `sent`.
    pub(super) fn record_clock(
        &mut self,
        now: Millis,
        sent: Millis,
        incarnation: u64,
        clock: Millis,
    ) {
        self.unanswered = false;
        self.answer = Some(Answer {
            incarnation,
            clock,
            sent,
            received: now,
        });
    }

    /// Replaces the granted slices by those that the target reports.
    pub(super) fn set_granted(&mut self, held: &[HeldSlice]) {
        self.granted = held.iter().map(|it| (it.low, it.clone())).collect();
        for slice in held {
            self.record_generation(slice);
        }
    }

    /// Records that `slice` was seen or ordered under its generation.
    pub(super) fn record_generation(&mut self, slice: &HeldSlice) {
        let used = self
            .generations
            .entry(slice.low)
            .or_insert_with(|| slice.clone());
        if used.generation <= slice.generation {
            *used = slice.clone();
        }
    }

    /// Returns the highest generation that was seen or ordered for a part of `low..=high`.
    pub(super) fn highest_generation(&self, low: u64, high: u64) -> Option<u64> {
        let ranges = self.generations.range(..=high).map(|it| it.1);
        let overlaps = ranges.filter(|it| low <= it.high);
        overlaps.map(|it| it.generation).max()
    }

    /// Returns the granted slice that contains all of `low..=high`.
    pub(super) fn find_covering(&self, low: u64, high: u64) -> Option<&HeldSlice> {
        self.find_granted(low).filter(|it| high <= it.high)
    }

    /// Returns the granted slice that contains `hash`.
    pub(super) fn find_granted(&self, hash: u64) -> Option<&HeldSlice> {
        let (_, held) = self.granted.range(..=hash).next_back()?;
        (hash <= held.high).then_some(held)
    }

    /// Returns whether the target may hold a part of `low..=high`.
    pub(super) fn may_hold(&self, low: u64, high: u64) -> bool {
        self.possibly_held
            .iter()
            .any(|it| it.0 <= high && low <= it.1)
    }

    /// Removes the slices that overlap `low..=high`, which move to another target.
    pub(super) fn remove_overlapping(&mut self, low: u64, high: u64) {
        self.generations
            .retain(|_, it| high < it.low || it.high < low);
        self.granted.retain(|_, it| high < it.low || it.high < low);
    }

    /// Discards the state of a previous incarnation.
    pub(super) fn reset(&mut self) {
        *self = Self {
            answer: self.answer,
            due: self.due,
            epoch: self.epoch,
            ..Self::default()
        };
    }
}

/// Returns the generation that follows `used` within the step of `stored`, the generation in the
/// table; `None` if the step is used up and a commit is needed.
pub(super) fn next_generation(used: u64, stored: u64) -> Option<u64> {
    let next = used + 1;
    (next / GENERATION_STEP == stored / GENERATION_STEP).then_some(next)
}
