//! Requests for votes.

use smallvec::SmallVec;

use super::{Action, Actions, DataCentreState, Gateway, Stopping};
use crate::{Millis, VOTE_RENEW_MS, VoteRequest};

/// A host's current attempt to gain or keep the tenure.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Attempt {
    /// Identifies the attempt at the voters.
    incarnation: u64,
    /// Requests that were returned up to this time belong to a previous attempt.
    resigned: Option<Millis>,
    /// When the next request is due.
    due: Millis,
    /// Revisions of the target row under which requests were made, each with the time of the first
    /// request under it.
    requested_revs: SmallVec<[(Millis, u64); 2]>,
}

impl Attempt {
    pub(super) fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            resigned: None,
            due: 0,
            requested_revs: SmallVec::new(),
        }
    }

    /// Schedules the next request after a new target row, in which the host is the voter with this
    /// rank.
    pub(super) fn on_row(&mut self, now: Millis, first: bool, rank: Option<usize>) {
        if first {
            // Delays by rank, so that hosts that start together do not split the votes.
            self.due = now + VOTE_RENEW_MS * rank.unwrap_or(0) as Millis;
        } else {
            self.due = self.due.min(now);
        }
    }

    /// Returns the revision under which the request of the tick at `sent` was made.
    pub(super) fn rev_at(&self, sent: Millis) -> Option<u64> {
        if self.resigned.is_some_and(|it| sent <= it) {
            return None;
        }
        let request = self.requested_revs.iter().rev().find(|it| it.0 <= sent);
        request.map(|it| it.1)
    }

    fn record_request(&mut self, now: Millis, rev: u64) {
        // All gateways of a host are due together, so that one message renews all their votes.
        self.due = (now / VOTE_RENEW_MS + 1) * VOTE_RENEW_MS;
        if self.requested_revs.last().is_some_and(|it| it.1 == rev) {
            return;
        }
        if self.requested_revs.len() == 2 {
            self.requested_revs.remove(0);
        }
        self.requested_revs.push((now, rev));
    }

    fn resign(&mut self, now: Millis, rank: usize) -> Action {
        let incarnation = self.incarnation;
        self.incarnation = incarnation.wrapping_add(1);
        self.resigned = Some(now);
        self.requested_revs.clear();
        self.due = now + VOTE_RENEW_MS * rank as Millis;
        Action::Resign { incarnation }
    }
}

impl Gateway {
    pub(super) fn tick_votes(&mut self, now: Millis, actions: &mut Actions) {
        let Some((rev, row)) = &self.row else {
            return;
        };
        let rank = row.voters.iter().position(|it| *it == self.host);
        let ended = self.stopping == Stopping::Yes && self.in_flight.is_empty();
        let (Some(rank), DataCentreState::Live | DataCentreState::Lost, false) =
            (rank, self.policy.data_centre, ended)
        else {
            if self.tally.has_votes(now) {
                self.resign(now, 0, actions);
            }
            return;
        };
        if now < self.attempt.due || self.stopping == Stopping::Yes && self.tenure.is_none() {
            return;
        }
        // If the candidates have split the votes, only the first one in the list keeps its votes.
        let yields = self.tenure.is_none()
            && self.tally.has_votes(now)
            && self.tally.rivals().any(|rival| {
                let position = row.voters.iter().position(|it| it == rival);
                position.is_some_and(|it| it < rank)
            });
        if yields {
            self.resign(now, rank, actions);
            return;
        }
        self.attempt.record_request(now, *rev);
        actions.push(Action::Vote(VoteRequest {
            target: self.target.clone(),
            rev: *rev,
            host: self.host.clone(),
            incarnation: self.attempt.incarnation,
        }));
    }

    fn resign(&mut self, now: Millis, rank: usize, actions: &mut Actions) {
        self.end_tenure();
        self.tally.clear();
        actions.push(self.attempt.resign(now, rank));
    }
}
