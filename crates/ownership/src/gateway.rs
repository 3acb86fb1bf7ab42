//! The state machine of one host for one target.

mod action;
mod commits;
mod grants;
mod in_flight;
mod permit;
mod policy;
mod requests;
mod status;
mod tenure;
mod votes;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use smallvec::SmallVec;

use self::{
    action::Actions, commits::Commit, in_flight::InFlight, tenure::TenureState, votes::Attempt,
};
use crate::{
    Millis, Slice, TargetId, TargetRow, VoteReply, VoteTally, lengthen_for_drift,
    tally::CountedVotes,
};

pub use self::{
    action::{Action, CommitOutcome, GrantOutcome, Intent, MoveReason, Regrant},
    permit::{Permit, PermitError},
    policy::{Checks, DataCentreState, Policy},
    status::{GatewayState, GatewayStatus},
};

/// Gains and keeps the tenure of one host for one target, renews the target's grants, moves slices
/// off the target and decides which requests may start.
///
/// The driver passes in its observations and performs the actions that [`Gateway::tick`] returns.
/// It calls `tick` every few milliseconds and after each input.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Gateway {
    host: Arc<str>,
    target: TargetId,
    policy: Policy,
    attempt: Attempt,
    row: Option<(u64, TargetRow)>,
    members: Option<SmallVec<[Arc<str>; 4]>>,
    tally: VoteTally,
    tenure: Option<TenureState>,
    slices: BTreeMap<u64, OwnedSlice>,
    /// Revisions below which a slice row is known to be outdated, by lowest hash.
    moved_revs: BTreeMap<u64, u64>,
    /// Start of the newest store read whose rows have been passed in.
    last_read: Option<Millis>,
    commit: Commit,
    in_flight: InFlight,
    /// Planned moves that have not started, by lowest hash, and when they were requested.
    requested_moves: BTreeMap<u64, Millis>,
    /// Lowest hashes of the slices whose planned move has started.
    started_moves: BTreeSet<u64>,
    draining: Draining,
    stopping: Stopping,
    /// When all slices are examined next; inputs about slices bring it forward.
    review_due: Millis,
}

/// Whether a tick examines all slices.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Review {
    Now,
    Later,
}

/// Longest time from the request for a planned move to its start, in milliseconds; the planner
/// repeats the request in its next round, 2 s later.
const MOVE_TIMEOUT_MS: Millis = 1_500;

/// Interval between examinations of all slices without an input, in milliseconds. Ticks are more
/// frequent, and a target can have thousands of slices.
const REVIEW_INTERVAL_MS: Millis = 50;

/// A slice that the table assigns to the target.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct OwnedSlice {
    rev: u64,
    slice: Slice,
    state: OwnedState,
}

/// Whether a commit about a slice is unresolved.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum OwnedState {
    Free,
    /// A commit that writes the slice's row is outstanding or its outcome is unknown.
    Moving,
    /// The commit had a conflict at this time; a store read that begins later returns the owner.
    Conflict(Millis),
}

/// Whether the slices are to be moved off the target.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Draining {
    No,
    /// The current incarnation of the target announced that it is draining.
    ByTarget,
    /// The driver requested it.
    ByDriver,
}

/// Whether [`Gateway::stop`] has been called.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Stopping {
    No,
    Yes,
}

impl Gateway {
    /// Creates the gateway of `host` for `target`. `incarnation` is random and new at each start of
    /// the host's process.
    #[must_use]
    pub fn new(host: Arc<str>, incarnation: u64, target: TargetId, policy: Policy) -> Self {
        Self {
            host,
            target,
            policy,
            attempt: Attempt::new(incarnation),
            row: None,
            members: None,
            tally: VoteTally::default(),
            tenure: None,
            slices: BTreeMap::new(),
            moved_revs: BTreeMap::new(),
            last_read: None,
            commit: Commit::default(),
            in_flight: InFlight::default(),
            requested_moves: BTreeMap::new(),
            started_moves: BTreeSet::new(),
            draining: Draining::No,
            stopping: Stopping::No,
            review_due: 0,
        }
    }

    /// Replaces the policy. This can end the tenure but not revive one that has ended. If the
    /// target begins or ceases to check grants, it is claimed again as after a change of gateway.
    pub fn set_policy(&mut self, policy: Policy) {
        if self.policy.checks != policy.checks {
            self.end_tenure();
        }
        self.policy = policy;
        let until = self.tenure_until(CountedVotes::All);
        if let Some(tenure) = &mut self.tenure {
            tenure.until = tenure.until.min(until);
        }
    }

    /// Processes the target row with revision `rev`.
    pub fn on_row(&mut self, now: Millis, rev: u64, row: &TargetRow) {
        self.update_tenure(now);
        if self.row.as_ref().is_some_and(|it| rev <= it.0) {
            return;
        }
        let rank = row.voters.iter().position(|it| *it == self.host);
        self.attempt.on_row(now, self.row.is_none(), rank);
        let own = self.commit.writes_row(row);
        self.row = Some((rev, row.clone()));
        if let Some(tenure) = &mut self.tenure
            && !own
        {
            // Another host wrote the row, and its commits under that row may still take effect.
            tenure.recorded = None;
        }
        self.update_tenure(now);
    }

    /// Processes the list of all slices that the table assigns to the target, with the revisions of
    /// their rows. `confirmed` is the start of the newest successful store read whose rows the
    /// table contains.
    pub fn on_slices(&mut self, now: Millis, slices: Vec<(u64, Slice)>, confirmed: Option<Millis>) {
        self.update_tenure(now);
        self.review_due = now;
        self.last_read = self.last_read.max(confirmed);
        let mut known = std::mem::take(&mut self.slices);
        for (rev, slice) in slices {
            let low = slice.low;
            if self.moved_revs.get(&low).is_some_and(|it| rev < *it) {
                continue;
            }
            self.moved_revs.remove(&low);
            let mut owned = OwnedSlice {
                rev,
                slice,
                state: OwnedState::Free,
            };
            if let Some(old) = known.remove(&low) {
                owned.state = match old.state {
                    OwnedState::Conflict(at) if self.last_read > Some(at) => OwnedState::Free,
                    state => state,
                };
                if old.rev > rev {
                    owned.rev = old.rev;
                    owned.slice = old.slice;
                }
            }
            self.slices.insert(low, owned);
        }
        // The list can be older than an applied commit. It then contains the slices that the commit
        // left on the target, under an older revision. Slices that are not listed have moved away.
        self.started_moves.retain(|it| self.slices.contains_key(it));
        self.requested_moves
            .retain(|it, _| self.slices.contains_key(it));
    }

    /// Processes the answer of `voter` to the request that the tick at `sent` returned.
    pub fn on_vote(&mut self, now: Millis, voter: &str, sent: Millis, reply: &VoteReply) {
        self.update_tenure(now);
        let Some(rev) = self.attempt.rev_at(sent) else {
            return;
        };
        self.tally.on_vote(voter, sent, rev, reply);
        self.update_tenure(now);
    }

    /// Records a successful store read that began at `read_start`, after its rows have been passed
    /// in.
    pub fn on_contact(&mut self, read_start: Millis) {
        self.update_tenure(read_start);
        self.tally.on_contact(read_start);
        self.update_tenure(read_start);
    }

    /// Sets the live hosts that can be voters of the target, the preferred ones first.
    pub fn on_members(&mut self, _now: Millis, live: &[Arc<str>]) {
        self.members = Some(live.iter().cloned().collect());
    }

    /// Requests a planned move of the slices with these lowest hashes. It starts once a store read
    /// that began at `now` or later has succeeded, and is dropped if none succeeds in time: a slice
    /// released while the store is unavailable has no owner until the store is available again.
    pub fn request_move(&mut self, now: Millis, lows: &[u64]) {
        let slices = &self.slices;
        let known = lows.iter().filter(|it| slices.contains_key(it));
        self.requested_moves.extend(known.map(|it| (*it, now)));
        self.review_due = 0;
    }

    /// Starts no new requests on the target and moves its slices away.
    pub fn drain(&mut self, now: Millis) {
        self.review_due = now;
        self.draining = Draining::ByDriver;
    }

    /// Like [`Self::drain`], because the target announced it. A target that checks grants can end
    /// the drain by its answer to a grant, for example after a restart; other targets give no such
    /// answer.
    pub fn drain_by_target(&mut self, now: Millis) {
        match self.policy.checks {
            Checks::Grants if self.draining == Draining::No => {
                self.review_due = now;
                self.draining = Draining::ByTarget;
            }
            Checks::Grants => {}
            Checks::Nothing => self.drain(now),
        }
    }

    /// Ends a drain that [`Self::drain`] began.
    pub fn end_drain(&mut self, now: Millis) {
        if self.draining == Draining::ByDriver {
            self.review_due = now;
            self.draining = Draining::No;
        }
    }

    /// Starts no new requests and gives up the tenure after the last request has ended, because the
    /// host stops.
    pub fn stop(&mut self, _now: Millis) {
        self.stopping = Stopping::Yes;
    }

    /// Returns whether [`Gateway::stop`] has been called and nothing remains to be done.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.stopping == Stopping::Yes && self.tenure.is_none() && self.in_flight.is_empty()
    }

    /// Records that the target refuses connections.
    pub fn target_lost(&mut self, now: Millis) {
        if let Some(tenure) = &mut self.tenure
            && tenure.unreachable_since.is_none()
        {
            tenure.unreachable_since = Some(now);
            // The wait for the expiry of the target's grants begins with the next unanswered
            // message.
            tenure.exchange.due = tenure.exchange.due.min(now);
        }
    }

    /// Records that the target accepts connections again.
    pub fn target_recovered(&mut self, _now: Millis) {
        if let Some(tenure) = &mut self.tenure {
            tenure.unreachable_since = None;
        }
    }

    /// Returns the actions to perform at `now`.
    pub fn tick(&mut self, now: Millis) -> Actions {
        let mut actions = Actions::new();
        self.update_tenure(now);
        self.tick_votes(now, &mut actions);
        let Some(mut tenure) = self.tenure.take() else {
            return actions;
        };
        let mut review = Review::Later;
        if self.review_due <= now {
            review = Review::Now;
            self.review_due = now + REVIEW_INTERVAL_MS;
        }
        self.start_moves(now, &tenure);
        if self.policy.checks == Checks::Grants {
            self.tick_grants(now, review, &mut tenure, &mut actions);
        }
        if let Some(epoch) = tenure.unannounced.take() {
            actions.push(Action::Announce { epoch });
        }
        if let Some(intent) = self.next_commit(now, review, &mut tenure) {
            actions.push(Action::Commit(intent));
        }
        self.tenure = Some(tenure);
        actions
    }

    /// Begins or ends the tenure according to the votes at `now`.
    ///
    /// It runs before and after each input that can extend the tenure, so that an input that
    /// arrives after the end begins a new tenure and doesn't extend the old one.
    fn update_tenure(&mut self, now: Millis) {
        if self.tenure.as_ref().is_some_and(|it| it.until <= now) {
            self.end_tenure();
        }
        let until = self.tenure_until(CountedVotes::All);
        match &mut self.tenure {
            Some(tenure) => tenure.until = until,
            None if now < until => self.tenure = Some(TenureState::new(now, until)),
            None => {}
        }
        if until <= now {
            self.end_tenure();
        }
    }

    fn end_tenure(&mut self) {
        if self.tenure.take().is_none() {
            return;
        }
        self.commit.abandon();
        for owned in self.slices.values_mut() {
            owned.state = OwnedState::Free;
        }
        if self.draining == Draining::ByTarget {
            self.draining = Draining::No;
        }
    }

    fn tenure_until(&self, counted: CountedVotes) -> Millis {
        let Some((_, row)) = &self.row else {
            return 0;
        };
        if self.policy.data_centre == DataCentreState::HostLost || !row.voters.contains(&self.host)
        {
            return 0;
        }
        self.tally.until(row, self.policy.hold_ms, counted)
    }

    /// Starts the planned moves that can be committed at once.
    fn start_moves(&mut self, now: Millis, tenure: &TenureState) {
        if self.requested_moves.is_empty() {
            return;
        }
        // A target that checks grants releases the slice at once, but the commit would wait until
        // no request of a previous gateway can be in flight. For a target without checks, that wait
        // is part of the move, during which no requests for the slice start.
        let ready = match self.policy.checks {
            Checks::Grants => tenure.start + lengthen_for_drift(self.policy.deadline_ms),
            Checks::Nothing => tenure.start,
        };
        if now < ready {
            return;
        }
        self.requested_moves
            .retain(|_, at| now < ready.max(*at) + MOVE_TIMEOUT_MS);
        let read = self.last_read;
        let started = self
            .requested_moves
            .extract_if(.., |_, at| read >= Some(ready.max(*at)));
        self.started_moves.extend(started.map(|it| it.0));
    }

    /// Returns why the slice with this lowest hash is to be moved, if it is.
    fn move_reason(&self, low: u64) -> Option<MoveReason> {
        if self.draining != Draining::No || self.policy.data_centre == DataCentreState::Lost {
            return Some(MoveReason::Draining);
        }
        self.started_moves
            .contains(&low)
            .then_some(MoveReason::Planned)
    }
}
