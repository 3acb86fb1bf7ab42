//! The votes of one host for one target.

use std::sync::Arc;

use crate::{
    Millis, TargetId, VOTE_MS, Verdict, VoteRenewal, VoteReply, VoteRequest, lengthen_for_drift,
};

/// Grants the vote of one host for one target to at most one attempt at a time.
///
/// Votes are kept in memory only. A starting host creates its voters with its start time, after a
/// store read of its own, and passes the revision of every newer target row to
/// [`Voter::observe_rev`].
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Voter {
    abstain_until: Millis,
    rev: u64,
    vote: Option<Vote>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Vote {
    host: Arc<str>,
    incarnation: u64,
    until: Millis,
}

impl Voter {
    /// Creates the voter of a host that started at `start`. It grants no vote until every vote that
    /// the host may have granted before its restart has expired.
    #[must_use]
    pub fn new(start: Millis) -> Self {
        Self {
            abstain_until: start + lengthen_for_drift(VOTE_MS),
            rev: 0,
            vote: None,
        }
    }

    /// Records that the target row has revision `rev`; requests under a lower one are refused.
    pub fn observe_rev(&mut self, rev: u64) {
        self.rev = self.rev.max(rev);
    }

    /// Decides on `request`. The vote lasts for `VOTE_MS` plus the drift allowance from `now`,
    /// because the holder counts `VOTE_MS` on another clock.
    pub fn vote(&mut self, now: Millis, request: &VoteRequest) -> VoteReply {
        VoteReply {
            verdict: self.decide(now, request),
            contact: None,
        }
    }

    fn decide(&mut self, now: Millis, request: &VoteRequest) -> Verdict {
        if request.rev < self.rev {
            return Verdict::Stale { rev: self.rev };
        }
        self.rev = request.rev;
        if now < self.abstain_until {
            return Verdict::Abstained;
        }
        if let Some(vote) = &self.vote
            && now < vote.until
            && (vote.host != request.host || vote.incarnation != request.incarnation)
        {
            return Verdict::Held {
                by: Arc::clone(&vote.host),
            };
        }
        self.vote = Some(Vote {
            host: Arc::clone(&request.host),
            incarnation: request.incarnation,
            until: now + lengthen_for_drift(VOTE_MS),
        });
        Verdict::Granted
    }

    /// Returns the request that renews the unexpired vote of `host` for `target`, if there is one.
    /// It names the newest revision known here; a holder that knows an older one sends another
    /// request.
    fn renewal_request(&self, now: Millis, target: &TargetId, host: &str) -> Option<VoteRequest> {
        let vote = self.vote.as_ref()?;
        if *vote.host != *host || vote.until <= now {
            return None;
        }
        Some(VoteRequest {
            target: target.clone(),
            rev: self.rev,
            host: Arc::clone(&vote.host),
            incarnation: vote.incarnation,
        })
    }

    /// Releases the vote if this attempt of `host` holds it.
    pub fn resign(&mut self, _now: Millis, host: &str, incarnation: u64) {
        if let Some(vote) = &self.vote
            && *vote.host == *host
            && vote.incarnation == incarnation
        {
            self.vote = None;
        }
    }
}

/// Decides on a renewal, given the voters of all targets of this host. Returns `true` if the
/// renewal covers exactly the unexpired votes of the requesting host; each is then granted as on a
/// full request. Otherwise no vote changes.
#[must_use]
pub fn renew_votes<'a>(
    voters: impl IntoIterator<Item = (&'a TargetId, &'a mut Voter)>,
    now: Millis,
    renewal: &VoteRenewal,
) -> bool {
    let mut held = Vec::new();
    for (target, voter) in voters {
        if let Some(request) = voter.renewal_request(now, target, &renewal.host) {
            held.push((voter, request));
        }
    }
    let requests = held.iter().map(|(_, request)| request);
    if VoteRenewal::new(Arc::clone(&renewal.host), requests) != *renewal {
        return false;
    }
    let mut granted = true;
    for (voter, request) in held {
        granted &= voter.decide(now, &request) == Verdict::Granted;
    }
    granted
}
