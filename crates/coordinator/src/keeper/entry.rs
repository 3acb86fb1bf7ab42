//! One slice as the keeper sees it.

use std::{collections::BTreeMap, sync::Arc};

use smallvec::SmallVec;

use super::{GrantEnd, OrderId, ReleaseEnd};
use crate::{KeyRange, Life, Millis, Phase, Slice, SliceRow, Stamp};

/// An owner of before that may still hold the keys.
#[derive(Clone, Debug)]
pub(super) struct Earlier {
    pub(super) life: Life,
    /// The latest end of its hold.
    pub(super) until: Millis,
    /// A grant without an answer may be carried out until then, even after a release.
    pub(super) unsure: Millis,
    /// The release that is under way.
    pub(super) release: Option<OrderId>,
    /// When the release may be repeated.
    pub(super) retry_at: Millis,
    /// It has released the keys.
    released: bool,
}

impl Earlier {
    pub(super) fn new(life: Life, until: Millis) -> Self {
        Self {
            life,
            until,
            unsure: 0,
            release: None,
            retry_at: 0,
            released: false,
        }
    }

    /// A grant that was under way when the slice moved may count until `until`.
    pub(super) fn on_late_grant(&mut self, until: Millis, end: GrantEnd) {
        self.until = self.until.max(until);
        if end == GrantEnd::NoAnswer {
            self.unsure = self.unsure.max(until);
        }
    }

    fn is_clear(&self, now: Millis) -> bool {
        now >= self.until || self.released && now >= self.unsure
    }
}

/// A slice with its owner and those who may still hold it.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) range: KeyRange,
    pub(super) owner: Life,
    pub(super) stamp: Stamp,
    /// The fencing token of the next grant. It rises above the stamp when a grant gets no answer,
    /// so that the target refuses that one if it is carried out after the next.
    pub(super) fence: Stamp,
    pub(super) phase: Phase,
    pub(super) earlier: SmallVec<[Earlier; 1]>,
    /// The store names the owner.
    pub(super) recorded: bool,
    /// The latest end of the owner's hold; 0 if it was never granted the keys.
    pub(super) until: Millis,
    /// A grant without an answer may be carried out until then.
    pub(super) unsure: Millis,
    pub(super) renew_at: Millis,
    pub(super) grant: Option<OrderId>,
    pub(super) handover: Option<Arc<str>>,
    /// The owner does not answer; its hold is left to run out.
    pub(super) lost: bool,
}

impl Entry {
    /// A slice that nobody has held.
    pub(super) fn new(range: KeyRange, owner: Life, stamp: Stamp) -> Self {
        Self {
            range,
            owner,
            stamp,
            fence: stamp,
            phase: Phase::Pending,
            earlier: SmallVec::new(),
            recorded: false,
            until: 0,
            unsure: 0,
            renew_at: 0,
            grant: None,
            handover: None,
            lost: false,
        }
    }

    /// A slice whose owner was granted it by an earlier coordinator.
    pub(super) fn taken_over(
        range: KeyRange,
        owner: Life,
        stamp: Stamp,
        earlier: SmallVec<[Earlier; 1]>,
        until: Millis,
    ) -> Self {
        let phase = if earlier.is_empty() {
            Phase::Held
        } else {
            Phase::Pending
        };
        Self {
            phase,
            earlier,
            recorded: true,
            until,
            ..Self::new(range, owner, stamp)
        }
    }

    /// The same slice with fewer keys.
    pub(super) fn part(&self, range: KeyRange) -> Self {
        Self {
            range,
            ..self.clone()
        }
    }

    /// Gives the slice to `owner`. `busy` says that a grant of the present owner is under way.
    pub(super) fn give(&mut self, owner: Life, stamp: Stamp, busy: bool, now: Millis) {
        if busy || self.until > now {
            let mut earlier = Earlier::new(self.owner.clone(), self.until);
            earlier.unsure = self.unsure;
            self.earlier.push(earlier);
        }
        let earlier = std::mem::take(&mut self.earlier);
        let handover = self.handover.take();
        *self = Self::new(self.range, owner, stamp);
        self.earlier = earlier;
        self.handover = handover;
    }

    /// Whether the owner is to be granted the slice now.
    pub(super) fn is_due(&self, now: Millis) -> bool {
        self.earlier.is_empty()
            && self.recorded
            && self.grant.is_none()
            && now >= self.renew_at
            && !self.lost
    }

    pub(super) fn on_lives(&mut self, lives: &BTreeMap<Arc<str>, u64>, now: Millis) {
        let reborn = |life: &Life| lives.get(&life.target).is_some_and(|it| *it != life.born);
        self.end(reborn, now);
    }

    pub(super) fn on_ended(&mut self, life: &Life, now: Millis) {
        self.end(|it| it == life, now);
    }

    /// Takes note of lives that hold nothing any more.
    fn end(&mut self, ended: impl Fn(&Life) -> bool, now: Millis) {
        self.earlier.retain(|it| !ended(&it.life));
        if ended(&self.owner) {
            self.until = self.until.min(now);
            self.unsure = 0;
            self.lost = true;
        }
    }

    /// Drops the earlier owners that cannot hold the keys any more. `granting` tells whether a
    /// grant to one of them is under way.
    pub(super) fn clear_ended(&mut self, now: Millis, granting: impl Fn(&Life) -> bool) {
        self.earlier
            .retain(|it| !it.is_clear(now) || granting(&it.life));
    }

    pub(super) fn on_release(
        &mut self,
        id: OrderId,
        life: &Life,
        end: &ReleaseEnd,
        now: Millis,
        retry_ms: u64,
    ) {
        for earlier in &mut self.earlier {
            if earlier.life != *life || earlier.release != Some(id) {
                continue;
            }
            earlier.release = None;
            match end {
                ReleaseEnd::Done { handover } => {
                    earlier.released = true;
                    earlier.retry_at = earlier.until;
                    self.handover.clone_from(handover);
                }
                ReleaseEnd::Ended | ReleaseEnd::NoAnswer => earlier.retry_at = now + retry_ms,
            }
        }
    }

    pub(super) fn is_settled(&self, now: Millis) -> bool {
        self.phase == Phase::Held && self.earlier.is_empty() && now >= self.unsure && !self.lost
    }

    pub(super) fn slice(&self) -> Slice {
        Slice {
            range: self.range,
            owner: self.owner.clone(),
            stamp: self.stamp,
            phase: self.phase,
        }
    }

    pub(super) fn row(&self, service: &Arc<str>) -> SliceRow {
        SliceRow {
            service: Arc::clone(service),
            range: self.range,
            owner: self.owner.clone(),
            earlier: self.earlier.iter().map(|it| it.life.clone()).collect(),
            stamp: self.stamp,
        }
    }
}
