//! The state machine of one host for one target.

mod action;
mod commits;
mod flights;
mod grants;
mod permit;
mod policy;
mod reign;
mod requests;
mod status;
mod votes;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use smallvec::SmallVec;

use self::{action::Actions, commits::Commit, flights::Flights, reign::Reign, votes::Attempt};
use crate::{Millis, Slice, TargetId, TargetRow, Tenure, VoteReply, tenure::Count, with_drift};

pub use self::{
    action::{Action, CommitOutcome, GrantOutcome, Intent, MoveReason, Regrant},
    permit::{Permit, PermitError},
    policy::{Checks, DataCentreState, Policy},
    status::{GatewayState, GatewayStatus},
};

/// Gains and keeps the tenure of one host for one target, keeps the target's grants, moves slices
/// off the target and decides which requests may start.
///
/// The driver passes in what it learns and carries out what [`Gateway::tick`] returns. It calls
/// `tick` every few milliseconds and after each input.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Gateway {
    host: Arc<str>,
    target: TargetId,
    policy: Policy,
    attempt: Attempt,
    row: Option<(u64, TargetRow)>,
    members: Option<SmallVec<[Arc<str>; 4]>>,
    tenure: Tenure,
    reign: Option<Reign>,
    slices: BTreeMap<u64, Owned>,
    /// Revisions below which a slice row is known to be outdated, by lowest hash.
    moved: BTreeMap<u64, u64>,
    /// When the newest store read began whose rows have been passed in.
    read: Option<Millis>,
    commit: Commit,
    flights: Flights,
    /// Planned moves that have not begun, by lowest hash, and when they were asked for.
    asked: BTreeMap<u64, Millis>,
    released: BTreeSet<u64>,
    draining: Draining,
    stopping: Stopping,
    /// When all slices are examined next; inputs that concern them bring it forward.
    review: Millis,
}

/// Whether a tick examines all slices.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Review {
    Now,
    Later,
}

/// Longest time from the request for a planned move to its begin, in milliseconds; the planner asks
/// again in its next round, 2 s later.
const MOVE_WAIT_MS: Millis = 1_500;

/// Interval between examinations of all slices without an input, in milliseconds; ticks are more
/// frequent, and a target can have thousands of slices.
const REVIEW_MS: Millis = 50;

/// A slice that the table assigns to the target.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Owned {
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
    /// The commit had a conflict at this time; a store read that begins later tells the owner.
    Conflict(Millis),
}

/// Whether the slices are to be moved off the target.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Draining {
    No,
    /// The current incarnation of the target says so.
    Incarnation,
    /// The driver says so.
    Target,
}

/// Whether the host is giving up the role.
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
            tenure: Tenure::default(),
            reign: None,
            slices: BTreeMap::new(),
            moved: BTreeMap::new(),
            read: None,
            commit: Commit::default(),
            flights: Flights::default(),
            asked: BTreeMap::new(),
            released: BTreeSet::new(),
            draining: Draining::No,
            stopping: Stopping::No,
            review: 0,
        }
    }

    /// Replaces the policy. It can end the tenure but not revive one that has ended. A target that
    /// begins or ceases to check grants is taken over like that of another gateway.
    pub fn set_policy(&mut self, policy: Policy) {
        if self.policy.checks != policy.checks {
            self.end_reign();
        }
        self.policy = policy;
        let until = self.tenure_until(Count::Any);
        if let Some(reign) = &mut self.reign {
            reign.until = reign.until.min(until);
        }
    }

    /// Takes in the target row with revision `rev`.
    pub fn on_row(&mut self, now: Millis, rev: u64, row: &TargetRow) {
        self.observe(now);
        if self.row.as_ref().is_some_and(|it| rev <= it.0) {
            return;
        }
        let rank = row.voters.iter().position(|it| *it == self.host);
        self.attempt.on_row(now, self.row.is_none(), rank);
        let own = self.commit.records(row);
        self.row = Some((rev, row.clone()));
        if let Some(reign) = &mut self.reign
            && !own
        {
            // Another host wrote the row; commits that it made under it are not yet excluded.
            reign.recorded = None;
        }
        self.observe(now);
    }

    /// Takes in all slices that the table assigns to the target, with the revisions of their rows.
    /// `confirmed` is when the newest successful store read began whose rows the table contains.
    pub fn on_slices(&mut self, now: Millis, slices: Vec<(u64, Slice)>, confirmed: Option<Millis>) {
        self.observe(now);
        self.review = now;
        self.read = self.read.max(confirmed);
        let mut known = std::mem::take(&mut self.slices);
        for (rev, slice) in slices {
            let low = slice.low;
            if self.moved.get(&low).is_some_and(|it| rev < *it) {
                continue;
            }
            self.moved.remove(&low);
            let mut owned = Owned {
                rev,
                slice,
                state: OwnedState::Free,
            };
            if let Some(old) = known.remove(&low) {
                owned.state = match old.state {
                    OwnedState::Conflict(at) if self.read > Some(at) => OwnedState::Free,
                    state => state,
                };
                if old.rev > rev {
                    owned.rev = old.rev;
                    owned.slice = old.slice;
                }
            }
            self.slices.insert(low, owned);
        }
        // A listing can be older than an applied commit, but a slice that such a commit left on
        // the target is in it under an older revision. What is missing has moved away.
        self.released.retain(|it| self.slices.contains_key(it));
        self.asked.retain(|it, _| self.slices.contains_key(it));
    }

    /// Takes in the answer of `sponsor` to the request that the tick at `sent` returned.
    pub fn on_vote(&mut self, now: Millis, sponsor: &str, sent: Millis, reply: &VoteReply) {
        self.observe(now);
        let Some(rev) = self.attempt.rev_at(sent) else {
            return;
        };
        self.tenure.on_vote(sponsor, sent, rev, reply);
        self.observe(now);
    }

    /// Takes in that a store read succeeded. `now` is when it began, and its rows have been passed
    /// in before.
    pub fn on_contact(&mut self, now: Millis) {
        self.observe(now);
        self.tenure.on_contact(now);
        self.observe(now);
    }

    /// Takes in the live hosts that can be voters of the target, the preferred ones first.
    pub fn on_members(&mut self, _now: Millis, live: &[Arc<str>]) {
        self.members = Some(live.iter().cloned().collect());
    }

    /// Asks for a planned move of the slices with these lowest hashes. It begins once a store read
    /// that began at `now` or later has succeeded, and is dropped if none does in time: a slice
    /// that its target gives up while the store is away has no owner until the store is back.
    pub fn request_move(&mut self, now: Millis, lows: &[u64]) {
        let slices = &self.slices;
        let known = lows.iter().filter(|it| slices.contains_key(it));
        self.asked.extend(known.map(|it| (*it, now)));
        self.review = 0;
    }

    /// Starts no new requests on the target and moves its slices away.
    pub fn drain(&mut self, now: Millis) {
        self.review = now;
        self.draining = Draining::Target;
    }

    /// As [`Self::drain`], because the target says so. One that checks grants ends this itself by
    /// an answer to a grant, as after a restart; one that does not has no such answer.
    pub fn drain_by_target(&mut self, now: Millis) {
        match self.policy.checks {
            Checks::Grants if self.draining == Draining::No => {
                self.review = now;
                self.draining = Draining::Incarnation;
            }
            Checks::Grants => {}
            Checks::Nothing => self.drain(now),
        }
    }

    /// Ends a drain that [`Self::drain`] began.
    pub fn end_drain(&mut self, now: Millis) {
        if self.draining == Draining::Target {
            self.review = now;
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
        self.stopping == Stopping::Yes && self.reign.is_none() && self.flights.is_empty()
    }

    /// Takes in that the target refuses connections.
    pub fn target_lost(&mut self, now: Millis) {
        if let Some(reign) = &mut self.reign
            && reign.lost.is_none()
        {
            reign.lost = Some(now);
            // The wait for the expiry of the target's grants begins with the next lost message.
            reign.link.due = reign.link.due.min(now);
        }
    }

    /// Takes in that the target accepts connections again.
    pub fn target_recovered(&mut self, _now: Millis) {
        if let Some(reign) = &mut self.reign {
            reign.lost = None;
        }
    }

    /// Returns what is to be done at `now`.
    pub fn tick(&mut self, now: Millis) -> Actions {
        let mut actions = Actions::new();
        self.observe(now);
        self.tick_votes(now, &mut actions);
        let Some(mut reign) = self.reign.take() else {
            return actions;
        };
        let mut review = Review::Later;
        if self.review <= now {
            review = Review::Now;
            self.review = now + REVIEW_MS;
        }
        self.begin_moves(now, &reign);
        if self.policy.checks == Checks::Grants {
            self.tick_grants(now, review, &mut reign, &mut actions);
        }
        if let Some(epoch) = reign.announce.take() {
            actions.push(Action::Announce { epoch });
        }
        if let Some(intent) = self.next_commit(now, review, &mut reign) {
            actions.push(Action::Commit(intent));
        }
        self.reign = Some(reign);
        actions
    }

    /// Begins or ends the tenure according to the votes at `now`.
    ///
    /// It runs before and after each input that can extend the tenure, so that an input that
    /// arrives after the end begins a new tenure and doesn't extend the old one.
    fn observe(&mut self, now: Millis) {
        if self.reign.as_ref().is_some_and(|it| it.until <= now) {
            self.end_reign();
        }
        let until = self.tenure_until(Count::Any);
        match &mut self.reign {
            Some(reign) => reign.until = until,
            None if now < until => self.reign = Some(Reign::new(now, until)),
            None => {}
        }
        if until <= now {
            self.end_reign();
        }
    }

    fn end_reign(&mut self) {
        if self.reign.take().is_none() {
            return;
        }
        self.commit.abandon();
        for owned in self.slices.values_mut() {
            owned.state = OwnedState::Free;
        }
        if self.draining == Draining::Incarnation {
            self.draining = Draining::No;
        }
    }

    fn tenure_until(&self, count: Count) -> Millis {
        let Some((_, row)) = &self.row else {
            return 0;
        };
        if self.policy.data_centre == DataCentreState::HostLost || !row.voters.contains(&self.host)
        {
            return 0;
        }
        self.tenure.until(row, self.policy.hold_ms, count)
    }

    /// Begins the planned moves that can be committed at once.
    fn begin_moves(&mut self, now: Millis, reign: &Reign) {
        if self.asked.is_empty() {
            return;
        }
        // Targets that check grants are released at once, but the commit waits until no request of an
        // earlier gateway can be in flight. Others wait for that with the slice given up.
        let ready = match self.policy.checks {
            Checks::Grants => reign.start + with_drift(self.policy.deadline_ms),
            Checks::Nothing => reign.start,
        };
        if now < ready {
            return;
        }
        self.asked
            .retain(|_, at| now < ready.max(*at) + MOVE_WAIT_MS);
        let read = self.read;
        let begun = self
            .asked
            .extract_if(.., |_, at| read >= Some(ready.max(*at)));
        self.released.extend(begun.map(|it| it.0));
    }

    /// Returns why the slices of the target with this lowest hash are to be moved, if they are.
    fn leaving(&self, low: u64) -> Option<MoveReason> {
        if self.draining != Draining::No || self.policy.data_centre == DataCentreState::Lost {
            return Some(MoveReason::Draining);
        }
        self.released.contains(&low).then_some(MoveReason::Planned)
    }
}
