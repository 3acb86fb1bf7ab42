//! Commits to the store's table.

use super::{
    Checks, CommitOutcome, DataCentreState, Gateway, Intent, MoveReason, Owned, OwnedState,
    Regrant, Review, grants, reign::Reign,
};
use crate::{
    GRANT_MS, ListChange, Millis, Slice, TargetRow, VOTE_RENEW_MS, VOTER_TIMEOUT_MS,
    next_generation_step, tenure::Count, with_drift,
};

/// The commit of a gateway that has not been resolved, if any.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(super) struct Commit {
    state: State,
    /// No commit is made until a store read has begun after this time.
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
    pub(super) fn records(&self, row: &TargetRow) -> bool {
        match &self.state {
            State::Outstanding(Intent::Record { row: own })
            | State::Unknown(Intent::Record { row: own }, _) => own == row,
            _ => false,
        }
    }
}

impl Gateway {
    /// Takes in the outcome of the last commit.
    pub fn on_commit(&mut self, now: Millis, outcome: CommitOutcome) {
        self.observe(now);
        self.review = now;
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
                self.mark(&intent, OwnedState::Conflict(now));
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
                if let Some(reign) = &mut self.reign {
                    if reign.recorded.is_none() {
                        reign.recorded = Some((now, rev));
                        reign.used_rev = rev;
                    }
                    if self.policy.checks == Checks::Nothing && reign.epoch != Some(row.epoch) {
                        reign.epoch = Some(row.epoch);
                        reign.announce = Some(row.epoch);
                    }
                }
                self.observe(now);
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
                    self.released.remove(&slice.low);
                    self.moved.insert(slice.low, rev);
                }
            }
        }
    }

    fn mark(&mut self, intent: &Intent, state: OwnedState) {
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
        reign: &mut Reign,
    ) -> Option<Intent> {
        let intent = match &self.commit.state {
            State::Outstanding(_) | State::Abandoned => return None,
            State::Unknown(_, due) if now < *due => return None,
            State::Unknown(intent, _) => intent.clone(),
            State::None if self.commit.after.is_some_and(|it| self.read <= Some(it)) => {
                return None;
            }
            State::None => self
                .record(now, reign)
                .or_else(|| self.move_slices(now, review, reign))?,
        };
        self.mark(&intent, OwnedState::Moving);
        if let Intent::Reassign { slices, .. } = &intent {
            // From now on another target may own the slices, even if no answer says so.
            for slice in slices {
                reign.link.forget(slice.low, slice.high);
            }
        }
        self.commit.after = None;
        self.commit.state = State::Outstanding(intent.clone());
        Some(intent)
    }

    fn move_slices(&self, now: Millis, review: Review, reign: &Reign) -> Option<Intent> {
        if review == Review::Later {
            return None;
        }
        self.vacate(now, reign).or_else(|| self.regrant(reign))
    }

    /// Returns the target row that is to be written, if it differs from the known one.
    fn record(&self, now: Millis, reign: &Reign) -> Option<Intent> {
        let (rev, known) = self.row.as_ref()?;
        let mut row = known.clone();
        row.epoch = match (self.policy.checks, reign.epoch) {
            (Checks::Grants, epoch) => epoch?,
            (Checks::Nothing, Some(epoch)) if reign.recorded.is_some() => epoch,
            (Checks::Nothing, _) => known.epoch + 1,
        };
        row.gateway = self.host.clone();
        match &known.change {
            ListChange::Settled if reign.recorded.is_some() => self.replace(now, reign, &mut row),
            ListChange::Settled => {}
            ListChange::Joint { .. } => {
                if now < self.tenure_until(Count::Since(*rev)) {
                    row.change = ListChange::Settled;
                }
            }
            ListChange::Forced => {
                // A target that checks grants has accepted the claim and refuses the old holder.
                if self.policy.checks == Checks::Grants || self.hold_ended(now, reign) {
                    row.change = ListChange::Settled;
                }
            }
        }
        (reign.recorded.is_none() || row != *known).then_some(Intent::Record { row })
    }

    /// Replaces one sponsor that is gone or silent by a live host.
    fn replace(&self, now: Millis, reign: &Reign, row: &mut TargetRow) {
        let Some(members) = &self.members else {
            return;
        };
        let lost = row.voters.iter().position(|it| {
            let heard = self.tenure.heard(it).unwrap_or(0).max(reign.start);
            *it != self.host && (!members.contains(it) || now >= heard + VOTER_TIMEOUT_MS)
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

    /// Returns whether the holder of a replaced sponsor list can have no tenure any more.
    fn hold_ended(&self, now: Millis, reign: &Reign) -> bool {
        self.policy.data_centre == DataCentreState::Lost
            || now >= reign.start.saturating_add(with_drift(self.policy.hold_ms))
    }

    /// Returns the slices that the target provably does not own any more and that are to move.
    fn vacate(&self, now: Millis, reign: &Reign) -> Option<Intent> {
        let free = self
            .slices
            .values()
            .filter(|it| it.state == OwnedState::Free);
        let proven = free.filter_map(|it| Some((self.proof(now, reign, it)?, it)));
        let mut proven = proven.peekable();
        let cause = proven.peek()?.0;
        let same = proven.filter(|it| it.0 == cause);
        let slices: Vec<Slice> = same.map(|it| it.1.slice.clone()).collect();
        Some(Intent::Reassign {
            slices,
            reason: cause,
        })
    }

    fn proof(&self, now: Millis, reign: &Reign, owned: &Owned) -> Option<MoveReason> {
        let (low, high) = (owned.slice.low, owned.slice.high);
        let leaving = self.leaving(low);
        let forced = self.row.as_ref()?.1.change == ListChange::Forced;
        let hold = if forced && self.policy.data_centre != DataCentreState::Lost {
            with_drift(self.policy.hold_ms)
        } else {
            0
        };
        let start = reign.start.saturating_add(hold);
        let deadline = with_drift(self.policy.deadline_ms);
        match self.policy.checks {
            Checks::Grants if reign.link.silent => {
                let lapse = reign
                    .lapse()
                    .max(start.saturating_add(with_drift(GRANT_MS)));
                (now >= lapse).then_some(MoveReason::Lost)
            }
            Checks::Grants => {
                // Requests of an earlier gateway may be in flight until their deadline.
                let ended = !self.flights.overlap(low, high) && now >= reign.start + deadline;
                let dropped = reign.epoch.is_some() && !reign.link.may_hold(low, high);
                leaving.filter(|_| ended && dropped)
            }
            Checks::Nothing => {
                let last = self.flights.last(low, high).unwrap_or(0).max(start);
                let cause = reign.lost.map(|_| MoveReason::Lost).or(leaving)?;
                (now >= last.saturating_add(deadline)).then_some(cause)
            }
        }
    }

    /// Returns the slices that the target does not hold and that need the next generation step.
    fn regrant(&self, reign: &Reign) -> Option<Intent> {
        if self.policy.checks == Checks::Nothing
            || reign.epoch.is_none()
            || !reign.confirmed(self.read)
        {
            return None;
        }
        let missing = self.slices.values().filter(|it| {
            self.stays(it)
                && self.leaving(it.slice.low).is_none()
                && grants::generation(reign, it).is_none()
        });
        let slices: Vec<Regrant> = missing
            .map(|it| Regrant {
                slice: it.slice.clone(),
                generation: next_generation_step(
                    it.slice
                        .generation
                        .max(reign.link.used(it.slice.low, it.slice.high).unwrap_or(0)),
                ),
            })
            .collect();
        (!slices.is_empty()).then_some(Intent::Regrant { slices })
    }
}
