//! The votes for one host as gateway of one target.

use std::sync::Arc;

use smallvec::SmallVec;

use crate::{ListChange, Millis, TargetRow, VOTE_MS, VOTER_COUNT, Verdict, VoteReply};

/// Counts the votes that a host has for a target and computes when its tenure ends.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct VoteTally {
    ballots: SmallVec<[Ballot; VOTER_COUNT]>,
    /// When the host or one of its voters last contacted the store.
    contact: Option<Millis>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Ballot {
    voter: Arc<str>,
    /// When the newest answered request was sent.
    last_sent: Millis,
    /// Exclusive end of the vote; zero if the voter has not granted it.
    until: Millis,
    /// Revision of the target row under which the vote was requested.
    rev: u64,
    verdict: Verdict,
}

/// Which votes count.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CountedVotes {
    /// All unexpired votes.
    All,
    /// Votes that were requested under this or a later revision of the target row.
    Since(u64),
}

impl VoteTally {
    /// Records a successful store read of this host that began at `read_start`.
    pub fn on_contact(&mut self, read_start: Millis) {
        self.contact = self.contact.max(Some(read_start));
    }

    /// Records the answer of `voter` to a request that was sent at `sent` under revision `rev`.
    /// The vote is counted from `sent`, so that it ends here before it ends at the voter.
    pub fn on_vote(&mut self, voter: &str, sent: Millis, rev: u64, reply: &VoteReply) {
        let ballot = self.ballot(voter);
        if sent < ballot.last_sent {
            return;
        }
        ballot.last_sent = sent;
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

    fn ballot(&mut self, voter: &str) -> &mut Ballot {
        let position = self.ballots.iter().position(|it| *it.voter == *voter);
        let position = position.unwrap_or_else(|| {
            self.ballots.push(Ballot {
                voter: voter.into(),
                last_sent: 0,
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
    pub fn until(&self, row: &TargetRow, hold_ms: Millis, counted: CountedVotes) -> Millis {
        let Some(contact) = self.contact else {
            return 0;
        };
        let mut until = contact.saturating_add(hold_ms);
        until = until.min(self.majority(&row.voters, counted));
        if let ListChange::Joint { previous } = &row.change {
            until = until.min(self.majority(previous, counted));
        }
        until
    }

    /// Returns the exclusive end of the votes of a majority of `list`; zero without a majority.
    fn majority(&self, list: &[Arc<str>], counted: CountedVotes) -> Millis {
        let mut ends: SmallVec<[Millis; VOTER_COUNT]> = SmallVec::new();
        for ballot in &self.ballots {
            let is_counted = match counted {
                CountedVotes::All => true,
                CountedVotes::Since(rev) => ballot.rev >= rev,
            };
            if is_counted && list.contains(&ballot.voter) {
                ends.push(ballot.until);
            }
        }
        ends.sort_unstable_by(|a, b| b.cmp(a));
        ends.get(list.len() / 2).copied().unwrap_or(0)
    }

    /// Returns the hosts that hold votes which this attempt requested.
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

    /// Returns when the newest request that `voter` answered was sent.
    #[must_use]
    pub fn last_answered(&self, voter: &str) -> Option<Millis> {
        let ballot = self.ballots.iter().find(|it| *it.voter == *voter)?;
        Some(ballot.last_sent)
    }

    /// Removes all votes; the last store contact is kept.
    pub fn clear(&mut self) {
        self.ballots.clear();
    }
}
