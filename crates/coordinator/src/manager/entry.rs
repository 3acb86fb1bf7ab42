//! One slice as the manager sees it.

use std::{collections::BTreeMap, sync::Arc};

use smallvec::SmallVec;

use super::{Earlier, OrderId, ReleaseOutcome, Tenancy};
use crate::{FencingToken, Incarnation, KeyRange, Millis, Phase, Slice, SliceRow};

/// A slice with its owner and those who may still hold it.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) range: KeyRange,
    pub(super) owner: Incarnation,
    pub(super) token: FencingToken,
    pub(super) phase: Phase,
    pub(super) earlier: SmallVec<[Earlier; 1]>,
    /// The store names the owner.
    pub(super) recorded: bool,
    /// The latest end of the owner's hold; 0 if it was never granted the keys.
    pub(super) until: Millis,
    pub(super) renew_at: Millis,
    pub(super) grant: Option<OrderId>,
    pub(super) handover: Option<Arc<str>>,
    /// The owner does not answer; its hold is left to run out.
    pub(super) lost: bool,
}

impl Entry {
    /// A slice that nobody has held.
    pub(super) fn new(range: KeyRange, owner: Incarnation, token: FencingToken) -> Self {
        Self {
            range,
            owner,
            token,
            phase: Phase::Pending,
            earlier: SmallVec::new(),
            recorded: false,
            until: 0,
            renew_at: 0,
            grant: None,
            handover: None,
            lost: false,
        }
    }

    /// A slice whose owner was granted it by an earlier coordinator.
    pub(super) fn taken_over(
        range: KeyRange,
        owner: Incarnation,
        token: FencingToken,
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
            ..Self::new(range, owner, token)
        }
    }

    /// The same slice with fewer keys.
    pub(super) fn part(&self, range: KeyRange) -> Self {
        Self {
            range,
            ..self.clone()
        }
    }

    /// Gives the slice to `owner`. If the last one `answers`, it keeps the slice until the store
    /// names the next.
    pub(super) fn give(
        &mut self,
        owner: Incarnation,
        token: FencingToken,
        answers: bool,
        now: Millis,
    ) {
        if self.grant.is_some() || self.until > now {
            let mut earlier = Earlier::new(self.owner.clone(), self.until);
            earlier.grant = self.grant;
            if answers && self.is_held() {
                earlier.tenancy = Some(Tenancy {
                    token: self.token,
                    renew_at: self.renew_at,
                });
            }
            self.earlier.push(earlier);
        }
        let earlier = std::mem::take(&mut self.earlier);
        let handover = self.handover.take();
        *self = Self::new(self.range, owner, token);
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

    pub(super) fn on_incarnations(&mut self, incarnations: &BTreeMap<Arc<str>, u64>, now: Millis) {
        let reborn = |incarnation: &Incarnation| {
            incarnations
                .get(&incarnation.target)
                .is_some_and(|it| *it != incarnation.started_ms)
        };
        self.end(reborn, now);
    }

    pub(super) fn on_ended(&mut self, incarnation: &Incarnation, now: Millis) {
        self.end(|it| it == incarnation, now);
    }

    /// Takes note of incarnations that hold nothing any more.
    fn end(&mut self, ended: impl Fn(&Incarnation) -> bool, now: Millis) {
        self.earlier.retain(|it| !ended(&it.incarnation));
        if ended(&self.owner) {
            self.until = self.until.min(now);
            self.lost = true;
        }
    }

    /// Drops the earlier owners that cannot hold the keys any more.
    pub(super) fn clear_ended(&mut self, now: Millis) {
        self.earlier.retain(|it| !it.is_clear(now));
    }

    pub(super) fn on_release(
        &mut self,
        id: OrderId,
        incarnation: &Incarnation,
        end: &ReleaseOutcome,
        now: Millis,
        retry_ms: u64,
    ) {
        for earlier in &mut self.earlier {
            if earlier.incarnation != *incarnation || earlier.release != Some(id) {
                continue;
            }
            earlier.release = None;
            match end {
                ReleaseOutcome::Done { handover } => {
                    earlier.released = true;
                    earlier.retry_at = earlier.until;
                    self.handover.clone_from(handover);
                }
                ReleaseOutcome::TargetGone | ReleaseOutcome::NoAnswer => {
                    earlier.retry_at = now + retry_ms
                }
            }
        }
    }

    pub(super) fn is_settled(&self) -> bool {
        self.is_held() && self.earlier.is_empty()
    }

    /// The store names the owner, which may now be granted the slice.
    pub(super) fn record(&mut self) {
        self.recorded = true;
        for earlier in &mut self.earlier {
            earlier.tenancy = None;
        }
    }

    /// Renews all grants of the slice at `now`.
    pub(super) fn renew(&mut self, now: Millis) {
        self.renew_at = self.renew_at.min(now);
        for tenancy in self.earlier.iter_mut().filter_map(|it| it.tenancy.as_mut()) {
            tenancy.renew_at = tenancy.renew_at.min(now);
        }
    }

    fn is_held(&self) -> bool {
        self.phase == Phase::Held && !self.lost
    }

    pub(super) fn slice(&self) -> Slice {
        Slice {
            range: self.range,
            owner: self.owner.clone(),
            token: self.token,
            phase: self.phase,
        }
    }

    pub(super) fn row(&self, service: &Arc<str>) -> SliceRow {
        SliceRow {
            service: Arc::clone(service),
            range: self.range,
            owner: self.owner.clone(),
            earlier: self
                .earlier
                .iter()
                .map(|it| it.incarnation.clone())
                .collect(),
            token: self.token,
        }
    }
}
