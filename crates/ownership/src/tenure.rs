//! The tenure of one host for one target.

use std::sync::Arc;

use smallvec::SmallVec;

use crate::{ListChange, Millis, TargetRow, VOTE_MS, VOTER_COUNT, Verdict, VoteReply};

/// Counts the votes that a host has for a target and tells until when they give it tenure.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Tenure {
    ballots: SmallVec<[Ballot; VOTER_COUNT]>,
    /// When the host or one of its voters last contacted the store.
    contact: Option<Millis>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Ballot {
    sponsor: Arc<str>,
    /// When the newest answered request was sent.
    heard: Millis,
    /// Exclusive end of the vote; zero if the sponsor has not given it.
    until: Millis,
    /// Revision of the target row under which the vote was requested.
    rev: u64,
    verdict: Verdict,
}

/// Which votes count.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Count {
    /// All unexpired votes.
    Any,
    /// Votes that were requested under this or a later revision of the target row.
    Since(u64),
}

impl Tenure {
    /// Notes a store read of this host that began at `began`.
    pub fn on_contact(&mut self, began: Millis) {
        self.contact = self.contact.max(Some(began));
    }

    /// Notes the answer of `sponsor` to a request that was sent at `sent` under revision `rev`.
    /// The vote is counted from `sent`, so that it ends here before it ends at the sponsor.
    pub fn on_vote(&mut self, sponsor: &str, sent: Millis, rev: u64, reply: &VoteReply) {
        let ballot = self.ballot(sponsor);
        if sent < ballot.heard {
            return;
        }
        ballot.heard = sent;
        ballot.verdict = reply.verdict.clone();
        if reply.verdict != Verdict::Granted {
            return;
        }
        ballot.until = ballot.until.max(sent + VOTE_MS);
        ballot.rev = ballot.rev.max(rev);
        if let Some(age) = reply.contact {
            self.contact = self.contact.max(sent.checked_sub(age));
        }
    }

    fn ballot(&mut self, sponsor: &str) -> &mut Ballot {
        let position = self.ballots.iter().position(|it| *it.sponsor == *sponsor);
        let position = position.unwrap_or_else(|| {
            self.ballots.push(Ballot {
                sponsor: sponsor.into(),
                heard: 0,
                until: 0,
                rev: 0,
                verdict: Verdict::Abstained,
            });
            self.ballots.len() - 1
        });
        &mut self.ballots[position]
    }

    /// Returns the exclusive end of the tenure under `row` on the host's clock; zero if there is
    /// none. `hold_ms` is how long the tenure lasts without store contact.
    #[must_use]
    pub fn until(&self, row: &TargetRow, hold_ms: Millis, count: Count) -> Millis {
        let Some(contact) = self.contact else {
            return 0;
        };
        let mut until = contact.saturating_add(hold_ms);
        until = until.min(self.majority(&row.voters, count));
        if let ListChange::Joint { previous } = &row.change {
            until = until.min(self.majority(previous, count));
        }
        until
    }

    /// Returns until when a majority of `list` has voted for the host.
    fn majority(&self, list: &[Arc<str>], count: Count) -> Millis {
        let mut ends: SmallVec<[Millis; VOTER_COUNT]> = SmallVec::new();
        for ballot in &self.ballots {
            let counts = match count {
                Count::Any => true,
                Count::Since(rev) => ballot.rev >= rev,
            };
            if counts && list.contains(&ballot.sponsor) {
                ends.push(ballot.until);
            }
        }
        ends.sort_unstable_by(|a, b| b.cmp(a));
        ends.get(list.len() / 2).copied().unwrap_or(0)
    }

    /// Returns the hosts that hold votes which this attempt asked for.
    pub fn rivals(&self) -> impl Iterator<Item = &Arc<str>> {
        self.ballots.iter().filter_map(|it| match &it.verdict {
            Verdict::Held { by } => Some(by),
            Verdict::Granted | Verdict::Stale { .. } | Verdict::Abstained => None,
        })
    }

    /// Returns whether the host has an unexpired vote at `now`.
    #[must_use]
    pub fn has_votes(&self, now: Millis) -> bool {
        self.ballots.iter().any(|it| now < it.until)
    }

    /// Returns when the newest request that `sponsor` answered was sent.
    #[must_use]
    pub fn heard(&self, sponsor: &str) -> Option<Millis> {
        let ballot = self.ballots.iter().find(|it| *it.sponsor == *sponsor)?;
        Some(ballot.heard)
    }

    /// Forgets all votes; store contacts are kept.
    pub fn clear(&mut self) {
        self.ballots.clear();
    }
}
