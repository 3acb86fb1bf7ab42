//! What a gateway knows during one tenure.

use std::collections::BTreeMap;

use super::{Action, Actions};
use crate::{
    GENERATION_STEP, GRANT_MS, GRANT_RENEW_MS, GRANT_RETRY_MS, GrantState, HeldSlice, Millis,
    with_drift, without_drift,
};

/// State of one tenure; dropped when the tenure ends.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Reign {
    /// When the tenure began.
    pub(super) start: Millis,
    /// Exclusive end of the tenure as last computed.
    pub(super) until: Millis,
    /// Epoch of the host, once it has one.
    pub(super) epoch: Option<u64>,
    /// When the commit that recorded the epoch was known to have taken effect, and its revision.
    pub(super) recorded: Option<(Millis, u64)>,
    /// The epoch, if it has not been announced yet.
    pub(super) announce: Option<u64>,
    /// Slice rows above this revision have not been granted to the target's incarnation before.
    pub(super) used_rev: u64,
    /// When requests showed that the target refuses connections.
    pub(super) lost: Option<Millis>,
    /// Exchange of grants with a target that checks them.
    pub(super) link: Link,
}

/// Exchange of grants with a target.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(super) struct Link {
    /// The target's last answer: incarnation, clock, and when it was asked for and received.
    pub(super) answer: Option<Answer>,
    /// When the last order was sent that names a later expiry than the one before.
    pub(super) ordered: Millis,
    /// The message without an outcome.
    pub(super) pending: Option<Pending>,
    /// When the next message is due.
    pub(super) due: Millis,
    /// When a changed set may be sent before that.
    pub(super) ready: Millis,
    /// Whether the last message had no answer.
    pub(super) silent: bool,
    /// Highest epoch that the target reported.
    pub(super) epoch: u64,
    /// Earliest expiry of what the target holds, on the host's clock.
    pub(super) expires: Millis,
    /// What the target holds under the host's epoch, by lowest hash.
    pub(super) granted: BTreeMap<u64, HeldSlice>,
    /// Ranges that the target may hold: those of the last accepted order and of all later ones.
    pub(super) maybe: Vec<(u64, u64)>,
    /// Highest generation that was seen or ordered for a range in this tenure, by lowest hash.
    pub(super) used: BTreeMap<u64, HeldSlice>,
}

/// When and by which clock the target answered.
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
    pub(super) base: Millis,
    pub(super) kind: Kind,
}

/// Kind of a message to the target.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) enum Kind {
    Read,
    /// Raises the epoch and keeps what is held.
    Claim {
        epoch: u64,
    },
    /// Keeps what is held, which this tag names.
    Keep {
        tag: u64,
    },
    /// Sets what is held.
    Set(Vec<(u64, u64)>),
}

impl Reign {
    pub(super) fn new(start: Millis, until: Millis) -> Self {
        Self {
            start,
            until,
            epoch: None,
            recorded: None,
            announce: None,
            used_rev: u64::MAX,
            lost: None,
            link: Link::default(),
        }
    }

    /// Returns whether the table is known to be at least as new as the host's own record, so that
    /// no commit of an earlier gateway can take effect any more. `read` is when the last
    /// successful store read began.
    pub(super) fn confirmed(&self, read: Option<Millis>) -> bool {
        self.recorded.is_some_and(|(at, _)| read > Some(at))
    }

    /// Returns when every grant of this and of earlier tenures has expired, if the target does
    /// not answer any more. An order names its expiry on the target's clock, at most `GRANT_MS`
    /// after the order was sent, so that a late one extends nothing.
    pub(super) fn lapse(&self) -> Millis {
        let received = self.link.answer.map_or(0, |it| it.received);
        self.start.max(received).max(self.link.ordered) + with_drift(GRANT_MS)
    }
}

impl Link {
    /// Returns how far the target's clock has at least advanced, since its last answer, when the
    /// next order is sent. An order that follows a lost one names the same expiry again: the wait
    /// for the expiry of a target that doesn't answer would otherwise never end.
    pub(super) fn advance(&self, now: Millis, answer: &Answer) -> Millis {
        let from = if self.silent { self.ordered } else { now };
        without_drift(from.saturating_sub(answer.received))
    }

    /// Notes that a message is sent. `base` is when the term of an order begins at the earliest.
    pub(super) fn send(&mut self, now: Millis, base: Millis, kind: Kind) {
        if kind != Kind::Read && !self.silent {
            self.ordered = now;
        }
        self.due = now + GRANT_RENEW_MS;
        self.pending = Some(Pending {
            sent: now,
            base,
            kind,
        });
    }

    /// Reads the target's state if a message is due.
    pub(super) fn read(&mut self, now: Millis, actions: &mut Actions) {
        if now < self.due {
            return;
        }
        self.send(now, now, Kind::Read);
        actions.push(Action::ReadGrant);
    }

    /// Notes that the message that was sent at `sent` has no answer.
    pub(super) fn lose(&mut self, now: Millis, sent: Millis) {
        self.silent = true;
        self.due = self.due.min(now.max(sent + GRANT_RETRY_MS));
    }

    /// Notes an answer of the target to the message that was sent at `sent`.
    pub(super) fn note(&mut self, now: Millis, sent: Millis, state: &GrantState) {
        self.epoch = state.epoch;
        self.note_clock(now, sent, state.incarnation, state.clock);
    }

    /// Notes the clock in an answer to the message that was sent at `sent`.
    pub(super) fn note_clock(
        &mut self,
        now: Millis,
        sent: Millis,
        incarnation: u64,
        clock: Millis,
    ) {
        self.silent = false;
        self.answer = Some(Answer {
            incarnation,
            clock,
            sent,
            received: now,
        });
    }

    /// Replaces what the target holds by its report.
    pub(super) fn hold(&mut self, held: &[HeldSlice]) {
        self.granted = held.iter().map(|it| (it.low, it.clone())).collect();
        for slice in held {
            self.uses(slice);
        }
    }

    /// Notes that `slice` was seen or ordered under its generation.
    pub(super) fn uses(&mut self, slice: &HeldSlice) {
        let used = self.used.entry(slice.low).or_insert_with(|| slice.clone());
        if used.generation <= slice.generation {
            *used = slice.clone();
        }
    }

    /// Returns the highest generation that was seen or ordered for a part of `low..=high`.
    pub(super) fn used(&self, low: u64, high: u64) -> Option<u64> {
        let ranges = self.used.range(..=high).map(|it| it.1);
        let overlaps = ranges.filter(|it| low <= it.high);
        overlaps.map(|it| it.generation).max()
    }

    /// Returns what the target holds of all of `low..=high`.
    pub(super) fn covers(&self, low: u64, high: u64) -> Option<&HeldSlice> {
        self.holds(low).filter(|it| high <= it.high)
    }

    /// Returns what the target holds for `hash`.
    pub(super) fn holds(&self, hash: u64) -> Option<&HeldSlice> {
        let (_, held) = self.granted.range(..=hash).next_back()?;
        (hash <= held.high).then_some(held)
    }

    /// Returns whether the target may hold a part of `low..=high`.
    pub(super) fn may_hold(&self, low: u64, high: u64) -> bool {
        self.maybe.iter().any(|it| it.0 <= high && low <= it.1)
    }

    /// Forgets the slices that overlap `low..=high`, which move to another target.
    pub(super) fn forget(&mut self, low: u64, high: u64) {
        self.used.retain(|_, it| high < it.low || it.high < low);
        self.granted.retain(|_, it| high < it.low || it.high < low);
    }

    /// Forgets everything about an earlier incarnation.
    pub(super) fn reset(&mut self) {
        *self = Self {
            answer: self.answer,
            due: self.due,
            epoch: self.epoch,
            ..Self::default()
        };
    }
}

/// Returns the generation that follows `used` within the step of `row`, the generation in the
/// table; `None` if the step is used up and a commit is needed.
pub(super) fn raise(used: u64, row: u64) -> Option<u64> {
    let next = used + 1;
    (next / GENERATION_STEP == row / GENERATION_STEP).then_some(next)
}
