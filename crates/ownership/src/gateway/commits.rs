//! Commits to the store's table.

use super::{
    Checks, CommitOutcome, DataCentreState, Gateway, Intent, MoveReason, OwnedSlice, OwnedState,
    Regrant, Review, grants, tenure::TenureState,
};
use crate::{
    GRANT_MS, ListChange, Millis, Slice, TargetRow, VOTE_RENEW_MS, VOTER_TIMEOUT_MS,
    lengthen_for_drift, next_generation_step, tally::CountedVotes,
};

/// The unresolved commit of a gateway, if any. At most one is outstanding.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(super) struct Commit {
    state: State,
    /// No commit is made before a store read that began after this time has succeeded.
    after: Option<Millis>,
}

#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
enum State {
    #[default]
    None,
    /// The driver is committing.
    Outstanding(Intent),
    /// The driver is committing, but the tenure under which the commit was made has ended.
    Abandoned,
    /// The outcome is unknown; the commit is repeated at this time.
    Unknown(Intent, Millis),
}

impl Commit {
    /// Drops the commit because the tenure has ended.
    pub(super) fn abandon(&mut self) {
        self.state = match std::mem::take(&mut self.state) {
            State::Outstanding(_) | State::Abandoned => State::Abandoned,
            State::None | State::Unknown(..) => State::None,
        };
    }

    /// Returns whether an unresolved commit writes `row`.
    pub(super) fn writes_row(&self, row: &TargetRow) -> bool {
        match &self.state {
            State::Outstanding(Intent::Record { row: own })
            | State::Unknown(Intent::Record { row: own }, _) => own == row,
            _ => false,
        }
    }
}

impl Gateway {
    /// Processes the outcome of the last commit.
    pub fn on_commit(&mut self, now: Millis, outcome: CommitOutcome) {
        self.update_tenure(now);
        self.review_due = now;
        let intent = match std::mem::take(&mut self.commit.state) {
            State::Outstanding(intent) => intent,
            State::Abandoned => {
                self.commit.after = Some(now);
                return;
            }
            state => {
                self.commit.state = state;
                return;
            }
        };
        match outcome {
            CommitOutcome::Applied { rev } => self.applied(now, rev, intent),
            CommitOutcome::NotApplied => {
                self.commit.after = Some(now);
                self.set_state(&intent, OwnedState::Conflict(now));
            }
            CommitOutcome::Unknown => {
                self.commit.state = State::Unknown(intent, now + VOTE_RENEW_MS);
            }
        }
    }

    fn applied(&mut self, now: Millis, rev: u64, intent: Intent) {
        match intent {
            Intent::Record { row } => {
                if self.row.as_ref().is_none_or(|it| it.0 < rev) {
                    self.attempt.on_row(now, false, None);
                    self.row = Some((rev, row.clone()));
                }
                if let Some(tenure) = &mut self.tenure {
                    if tenure.recorded.is_none() {
                        tenure.recorded = Some((now, rev));
                        tenure.granted_rev = rev;
                    }
                    if self.policy.checks == Checks::Nothing && tenure.epoch != Some(row.epoch) {
                        tenure.epoch = Some(row.epoch);
                        tenure.unannounced = Some(row.epoch);
                    }
                }
                self.update_tenure(now);
            }
            Intent::Regrant { slices } => {
                for regrant in slices {
                    let mut slice = regrant.slice;
                    slice.generation = regrant.generation;
                    let Some(owned) = self.slices.get_mut(&slice.low) else {
                        continue;
                    };
                    owned.state = OwnedState::Free;
                    if owned.rev < rev {
                        owned.rev = rev;
                        owned.slice = slice;
                    }
                }
            }
            Intent::Reassign { slices, .. } => {
                for slice in slices {
                    self.slices.remove(&slice.low);
                    self.started_moves.remove(&slice.low);
                    self.moved_revs.insert(slice.low, rev);
                }
            }
        }
    }

    fn set_state(&mut self, intent: &Intent, state: OwnedState) {
        let lows: Vec<u64> = match intent {
            Intent::Record { .. } => return,
            Intent::Regrant { slices } => slices.iter().map(|it| it.slice.low).collect(),
            Intent::Reassign { slices, .. } => slices.iter().map(|it| it.low).collect(),
        };
        for low in lows {
            if let Some(owned) = self.slices.get_mut(&low) {
                owned.state = state;
            }
        }
    }

    /// Returns the commit that is to be made at `now`. At most one is outstanding.
    pub(super) fn next_commit(
        &mut self,
        now: Millis,
        review: Review,
        tenure: &mut TenureState,
    ) -> Option<Intent> {
        let intent = match &self.commit.state {
            State::Outstanding(_) | State::Abandoned => return None,
            State::Unknown(_, due) if now < *due => return None,
            State::Unknown(intent, _) => intent.clone(),
            State::None
                if self
                    .commit
                    .after
                    .is_some_and(|it| self.last_read <= Some(it)) =>
            {
                return None;
            }
            State::None => self
                .record(now, tenure)
                .or_else(|| self.move_slices(now, review, tenure))?,
        };
        self.set_state(&intent, OwnedState::Moving);
        if let Intent::Reassign { slices, .. } = &intent {
            // Another target may own the slices from now on, even if the answer is lost.
            for slice in slices {
                tenure.exchange.remove_overlapping(slice.low, slice.high);
            }
        }
        self.commit.after = None;
        self.commit.state = State::Outstanding(intent.clone());
        Some(intent)
    }

    fn move_slices(&self, now: Millis, review: Review, tenure: &TenureState) -> Option<Intent> {
        if review == Review::Later {
            return None;
        }
        self.reassign(now, tenure).or_else(|| self.regrant(tenure))
    }

    /// Returns the commit of the target row, if `tenure.recorded` is not set or the row to write
    /// differs from the known one.
    fn record(&self, now: Millis, tenure: &TenureState) -> Option<Intent> {
        let (rev, known) = self.row.as_ref()?;
        let mut row = known.clone();
        row.epoch = match (self.policy.checks, tenure.epoch) {
            (Checks::Grants, epoch) => epoch?,
            (Checks::Nothing, Some(epoch)) if tenure.recorded.is_some() => epoch,
            (Checks::Nothing, _) => known.epoch + 1,
        };
        row.gateway = self.host.clone();
        match &known.change {
            ListChange::Settled if tenure.recorded.is_some() => self.replace(now, tenure, &mut row),
            ListChange::Settled => {}
            ListChange::Joint { .. } => {
                if now < self.tenure_until(CountedVotes::Since(*rev)) {
                    row.change = ListChange::Settled;
                }
            }
            ListChange::Forced => {
                // A target that checks grants has accepted the claim and refuses the previous
                // gateway.
                if self.policy.checks == Checks::Grants || self.hold_ended(now, tenure) {
                    row.change = ListChange::Settled;
                }
            }
        }
        (tenure.recorded.is_none() || row != *known).then_some(Intent::Record { row })
    }

    /// Replaces one voter that left or does not answer by a live host.
    fn replace(&self, now: Millis, tenure: &TenureState, row: &mut TargetRow) {
        let Some(members) = &self.members else {
            return;
        };
        let lost = row.voters.iter().position(|it| {
            let answered = self.tally.last_answered(it).unwrap_or(0).max(tenure.start);
            *it != self.host && (!members.contains(it) || now >= answered + VOTER_TIMEOUT_MS)
        });
        let spare = members.iter().find(|it| !row.voters.contains(it));
        let (Some(lost), Some(spare)) = (lost, spare) else {
            return;
        };
        let previous = row.voters.clone();
        row.voters.remove(lost);
        row.voters.push(spare.clone());
        row.change = ListChange::Joint { previous };
    }

    /// Returns whether the tenure under a replaced voter list has certainly ended.
    fn hold_ended(&self, now: Millis, tenure: &TenureState) -> bool {
        self.policy.data_centre == DataCentreState::Lost
            || now
                >= tenure
                    .start
                    .saturating_add(lengthen_for_drift(self.policy.hold_ms))
    }

    /// Returns the slices to be moved that the target provably no longer owns.
    fn reassign(&self, now: Millis, tenure: &TenureState) -> Option<Intent> {
        let free = self
            .slices
            .values()
            .filter(|it| it.state == OwnedState::Free);
        let proven = free.filter_map(|it| Some((self.proven_reason(now, tenure, it)?, it)));
        let mut proven = proven.peekable();
        let reason = proven.peek()?.0;
        let same = proven.filter(|it| it.0 == reason);
        let slices: Vec<Slice> = same.map(|it| it.1.slice.clone()).collect();
        Some(Intent::Reassign { slices, reason })
    }

    /// Returns why the slice is to be moved, once the target provably no longer owns it.
    fn proven_reason(
        &self,
        now: Millis,
        tenure: &TenureState,
        owned: &OwnedSlice,
    ) -> Option<MoveReason> {
        let (low, high) = (owned.slice.low, owned.slice.high);
        let reason = self.move_reason(low);
        let forced = self.row.as_ref()?.1.change == ListChange::Forced;
        let hold = if forced && self.policy.data_centre != DataCentreState::Lost {
            lengthen_for_drift(self.policy.hold_ms)
        } else {
            0
        };
        let start = tenure.start.saturating_add(hold);
        let deadline = lengthen_for_drift(self.policy.deadline_ms);
        match self.policy.checks {
            Checks::Grants if tenure.exchange.unanswered => {
                let expiry = tenure
                    .grants_expiry()
                    .max(start.saturating_add(lengthen_for_drift(GRANT_MS)));
                (now >= expiry).then_some(MoveReason::Lost)
            }
            Checks::Grants => {
                // Requests of a previous gateway may be in flight until their deadline.
                let ended = !self.in_flight.overlaps(low, high) && now >= tenure.start + deadline;
                let released = tenure.epoch.is_some() && !tenure.exchange.may_hold(low, high);
                reason.filter(|_| ended && released)
            }
            Checks::Nothing => {
                let last = self.in_flight.last_start(low, high).unwrap_or(0).max(start);
                let reason = tenure
                    .unreachable_since
                    .map(|_| MoveReason::Lost)
                    .or(reason)?;
                (now >= last.saturating_add(deadline)).then_some(reason)
            }
        }
    }

    /// Returns the slices that the target does not hold and that need the next generation step.
    fn regrant(&self, tenure: &TenureState) -> Option<Intent> {
        if self.policy.checks == Checks::Nothing
            || tenure.epoch.is_none()
            || !tenure.is_confirmed(self.last_read)
        {
            return None;
        }
        let missing = self.slices.values().filter(|it| {
            self.remains(it)
                && self.move_reason(it.slice.low).is_none()
                && grants::generation(tenure, it).is_none()
        });
        let slices: Vec<Regrant> = missing
            .map(|it| Regrant {
                slice: it.slice.clone(),
                generation: next_generation_step(
                    it.slice.generation.max(
                        tenure
                            .exchange
                            .highest_generation(it.slice.low, it.slice.high)
                            .unwrap_or(0),
                    ),
                ),
            })
            .collect();
        (!slices.is_empty()).then_some(Intent::Regrant { slices })
    }
}
