//! The state of one slice.

use std::{collections::BTreeMap, sync::Arc};

use smallvec::SmallVec;

use super::{FormerHold, HoldEnd, InterimGrant, OrderId, PreviousOwner, ReleaseOutcome};
use crate::{FencingToken, Incarnation, KeyRange, Millis, Phase, Slice, SliceRow};

/// A slice with its owner and the previous owners that may still hold it.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) range: KeyRange,
    pub(super) owner: Incarnation,
    pub(super) token: FencingToken,
    pub(super) phase: Phase,
    pub(super) previous_owners: SmallVec<[PreviousOwner; 1]>,
    /// Whether the store names the owner.
    pub(super) recorded: bool,
    /// Whether this coordinator has granted the keys to the owner.
    pub(super) granted: bool,
    /// Latest end of the grants of this coordinator to the owner; 0 if there are none.
    pub(super) until: Millis,
    /// Latest end of the grants of earlier coordinators to the owner; 0 if there are none.
    earlier_until: Millis,
    /// Latest end of the grants of earlier coordinators to a process that replaces the owner under
    /// its name, and that knows no tokens.
    restart_until: Millis,
    /// When the next grant to the owner is due.
    pub(super) renew_at: Millis,
    pub(super) inflight_grant: Option<OrderId>,
    /// Proof of the hand-over by a previous owner, until the owner has accepted a grant.
    pub(super) handover: Option<Arc<str>>,
    /// Whether the incarnation of the owner has ended, so that the slice needs a new owner.
    pub(super) owner_lost: bool,
}

impl Entry {
    /// Creates a slice that no target has held.
    pub(super) fn new(range: KeyRange, owner: Incarnation, token: FencingToken) -> Self {
        Self {
            range,
            owner,
            token,
            phase: Phase::Pending,
            previous_owners: SmallVec::new(),
            recorded: false,
            granted: false,
            until: 0,
            earlier_until: 0,
            restart_until: 0,
            renew_at: 0,
            inflight_grant: None,
            handover: None,
            owner_lost: false,
        }
    }

    /// Creates a slice whose owner was granted it by an earlier coordinator until `earlier_until` at
    /// the latest.
    pub(super) fn taken_over(
        range: KeyRange,
        owner: Incarnation,
        token: FencingToken,
        previous_owners: SmallVec<[PreviousOwner; 1]>,
        earlier_until: Millis,
    ) -> Self {
        let phase = if previous_owners.is_empty() {
            Phase::Held
        } else {
            Phase::Pending
        };
        Self {
            phase,
            previous_owners,
            recorded: true,
            earlier_until,
            restart_until: earlier_until,
            ..Self::new(range, owner, token)
        }
    }

    /// Returns the same slice with other bounds, which lie within the present ones.
    pub(super) fn with_range(&self, range: KeyRange) -> Self {
        Self {
            range,
            ..self.clone()
        }
    }

    /// Assigns the slice to `owner`. If the previous owner holds it and `is_responsive`, that one
    /// keeps it until the store names the new owner.
    pub(super) fn reassign(
        &mut self,
        owner: Incarnation,
        token: FencingToken,
        is_responsive: bool,
        now: Millis,
    ) {
        let until = self.until.max(self.earlier_until);
        if self.inflight_grant.is_some() || until > now {
            let mut previous = PreviousOwner::new(self.owner.clone(), until);
            previous.inflight_grant = self.inflight_grant;
            if is_responsive && self.is_held() {
                previous.interim_grant = Some(InterimGrant {
                    token: self.token,
                    renew_at: self.renew_at,
                });
            }
            self.previous_owners.push(previous);
        }
        let previous_owners = std::mem::take(&mut self.previous_owners);
        let handover = self.handover.take();
        *self = Self::new(self.range, owner, token);
        self.previous_owners = previous_owners;
        self.handover = handover;
    }

    /// Whether a grant to the owner is due at `now`.
    pub(super) fn is_grant_due(&self, now: Millis) -> bool {
        self.previous_owners.is_empty()
            && self.recorded
            && self.inflight_grant.is_none()
            && now >= self.renew_at
            && !self.owner_lost
    }

    /// Applies the restarts of targets, for which `incarnations` has a later start: a process that
    /// may have accepted grants meant for its predecessor becomes a previous owner. An unknown start
    /// or an earlier one, from an outdated list, changes nothing.
    pub(super) fn on_incarnations(&mut self, incarnations: &BTreeMap<Arc<str>, u64>, now: Millis) {
        let successor = |it: &Incarnation| {
            let started_ms = *incarnations.get(&it.target)?;
            (it.started_ms != 0 && started_ms > it.started_ms).then(|| Incarnation {
                target: Arc::clone(&it.target),
                started_ms,
            })
        };
        for previous in &mut self.previous_owners {
            if let Some(incarnation) = successor(&previous.incarnation) {
                previous.replace_incarnation(incarnation);
            }
        }
        if self.owner_lost {
            return;
        }
        let Some(incarnation) = successor(&self.owner) else {
            return;
        };
        let until = self.until.max(self.restart_until);
        if self.inflight_grant.is_some() || until > now {
            let mut previous = PreviousOwner::new(incarnation, until);
            previous.inflight_grant = self.inflight_grant.take();
            self.previous_owners.push(previous);
        }
        self.end_hold(now);
    }

    pub(super) fn on_incarnation_ended(
        &mut self,
        incarnation: &Incarnation,
        now: Millis,
        former: &mut Vec<FormerHold>,
    ) {
        self.end_incarnations(|it| it == incarnation, now, former);
    }

    /// Drops the holds of incarnations that have ended.
    fn end_incarnations(
        &mut self,
        has_ended: impl Fn(&Incarnation) -> bool,
        now: Millis,
        former: &mut Vec<FormerHold>,
    ) {
        let end =
            |it: &PreviousOwner| has_ended(&it.incarnation).then_some(HoldEnd::IncarnationEnded);
        self.drop_previous_owners(end, former);
        if has_ended(&self.owner) {
            self.end_hold(now);
        }
    }

    /// Records that the incarnation of the owner has ended.
    fn end_hold(&mut self, now: Millis) {
        self.until = self.until.min(now);
        self.earlier_until = self.earlier_until.min(now);
        self.restart_until = self.restart_until.min(now);
        self.owner_lost = true;
    }

    /// Records that the owner has accepted a grant of this coordinator for the keys in `range`.
    ///
    /// If these are all keys of the slice, it refuses the grants of earlier coordinators since then,
    /// because their tokens are lower. Those that it had accepted before end at `earlier_until` at
    /// the latest; the new one does not shorten them.
    pub(super) fn on_accepted(&mut self, range: KeyRange, renew_at: Millis, earlier_until: Millis) {
        if self.range.intersection(range) == Some(self.range) {
            self.earlier_until = self.earlier_until.min(earlier_until);
        }
        self.renew_at = renew_at;
        self.handover = None;
    }

    /// Drops the previous owners that cannot hold the keys any more, and adds their holds to
    /// `former`.
    pub(super) fn drop_cleared_owners(&mut self, now: Millis, former: &mut Vec<FormerHold>) {
        self.drop_previous_owners(|it| it.hold_end(now), former);
    }

    fn drop_previous_owners(
        &mut self,
        hold_end: impl Fn(&PreviousOwner) -> Option<HoldEnd>,
        former: &mut Vec<FormerHold>,
    ) {
        let range = self.range;
        self.previous_owners.retain(|it| {
            let Some(end) = hold_end(it) else { return true };
            former.push(FormerHold {
                range,
                incarnation: it.incarnation.clone(),
                end,
            });
            false
        });
    }

    pub(super) fn on_release(
        &mut self,
        id: OrderId,
        incarnation: &Incarnation,
        outcome: &ReleaseOutcome,
        now: Millis,
        retry_ms: u64,
    ) {
        for owner in &mut self.previous_owners {
            if owner.incarnation != *incarnation || owner.inflight_release != Some(id) {
                continue;
            }
            owner.inflight_release = None;
            match outcome {
                ReleaseOutcome::Done { handover } => {
                    owner.released = true;
                    owner.retry_at = owner.until;
                    self.handover.clone_from(handover);
                }
                ReleaseOutcome::Gone | ReleaseOutcome::NoAnswer => owner.retry_at = now + retry_ms,
            }
        }
    }

    pub(super) fn is_settled(&self) -> bool {
        self.is_held() && self.previous_owners.is_empty()
    }

    /// Records that the store names the owner: it may be granted the slice, and previous owners are
    /// no longer granted it.
    pub(super) fn on_recorded(&mut self) {
        self.recorded = true;
        for owner in &mut self.previous_owners {
            owner.interim_grant = None;
        }
    }

    /// Makes all grants of the slice due at `now`.
    pub(super) fn renew_grants(&mut self, now: Millis) {
        self.renew_at = self.renew_at.min(now);
        for interim_grant in self
            .previous_owners
            .iter_mut()
            .filter_map(|it| it.interim_grant.as_mut())
        {
            interim_grant.renew_at = interim_grant.renew_at.min(now);
        }
    }

    fn is_held(&self) -> bool {
        self.phase == Phase::Held && !self.owner_lost
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
            previous_owners: self
                .previous_owners
                .iter()
                .map(|it| it.incarnation.clone())
                .collect(),
            token: self.token,
        }
    }
}
