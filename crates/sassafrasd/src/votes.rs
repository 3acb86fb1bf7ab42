//! Requests for votes to the sponsors of targets.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
};

use ownership::{TargetId, VOTE_MS, Verdict, VoteRenewal, VoteReply, VoteRequest};
use peer::{Renewed, Votes};

use crate::{
    clock::Millis,
    gate::Gate,
    host::Host,
    peer_server,
    peers::{for_votes, short},
};

/// Asks this host's own sponsors, then the others, one message for each host.
pub fn ask(host: &Arc<Host>, now: Millis, votes: Vec<Request>) {
    let own = &host.settings.host;
    let mut batches: HashMap<Arc<str>, Vec<Request>> = HashMap::new();
    for (gate, request) in votes {
        let reply = peer_server::vote(host, &request);
        let granted = reply.verdict == Verdict::Granted;
        gate.lock().gateway.on_vote(now, own, now, &reply);
        if !granted {
            continue;
        }
        for sponsor in sponsors_of(host, &gate.id) {
            if sponsor == *own {
                continue;
            }
            batches
                .entry(sponsor)
                .or_default()
                .push((Arc::clone(&gate), request.clone()));
        }
    }
    for (sponsor, batch) in batches {
        let host = Arc::clone(host);
        let (kept, fresh) = host.granted.split(now, &sponsor, batch);
        tokio::spawn(async move { ask_sponsor(&host, &sponsor, now, kept, fresh).await });
    }
}

/// Renews the votes of `kept` by one short message that also asks for those of `fresh`. If the
/// sponsor knows another set of votes, it gets the full requests instead.
async fn ask_sponsor(
    host: &Host,
    sponsor: &Arc<str>,
    sent: Millis,
    kept: Vec<Request>,
    fresh: Vec<Request>,
) {
    let own = Arc::clone(&host.settings.host);
    let requests = kept.iter().map(|(_, request)| request);
    let renewal = (!kept.is_empty()).then(|| VoteRenewal::new(own, requests));
    let Some(votes) = call(host, sponsor, renewal, &fresh).await else {
        return;
    };
    take(host, sponsor, sent, &fresh, &votes.replies);
    let replies = match votes.renewed {
        Renewed::All => {
            let reply = VoteReply {
                verdict: Verdict::Granted,
                contact: votes.contact,
            };
            vec![reply; kept.len()]
        }
        Renewed::None if kept.is_empty() => Vec::new(),
        Renewed::None => match call(host, sponsor, None, &kept).await {
            Some(votes) => votes.replies,
            None => return,
        },
    };
    take(host, sponsor, sent, &kept, &replies);
    host.wake.notify_one();
}

async fn call(
    host: &Host,
    sponsor: &Arc<str>,
    renewal: Option<VoteRenewal>,
    requests: &[Request],
) -> Option<Votes> {
    let address = host.member(sponsor)?.peer?;
    let client = host.peers.client(address).await?;
    let requests = requests.iter().map(|(_, it)| it.clone()).collect();
    let result = client.vote(for_votes(), renewal, requests).await;
    host.peers.note(address, sponsor, host.clock.now(), result)
}

/// Passes the answers to requests of the tick at `sent` to the gateways.
fn take(host: &Host, sponsor: &Arc<str>, sent: Millis, batch: &[Request], replies: &[VoteReply]) {
    for ((gate, request), reply) in batch.iter().zip(replies) {
        host.granted.note(sponsor, sent, request, &reply.verdict);
        let now = host.clock.now();
        gate.lock().gateway.on_vote(now, sponsor, sent, reply);
    }
}

/// A request for a vote and the gate of its target.
type Request = (Arc<Gate>, VoteRequest);

/// The votes that other hosts have given to this one, by sponsor.
#[derive(Default)]
pub struct Granted {
    votes: Mutex<HashMap<Arc<str>, HashMap<TargetId, Vote>>>,
}

struct Vote {
    request: VoteRequest,
    sent: Millis,
    verdict: Verdict,
}

impl Granted {
    /// Splits requests into those that a renewal can stand for and the others. A renewal stands
    /// for all votes that the sponsor has given to this host, so there is none if one is not due.
    fn split(
        &self,
        now: Millis,
        sponsor: &str,
        batch: Vec<Request>,
    ) -> (Vec<Request>, Vec<Request>) {
        let mut all = self.votes();
        all.retain(|_, votes| {
            votes.retain(|_, it| now < it.sent + VOTE_MS);
            !votes.is_empty()
        });
        let Some(votes) = all.get(sponsor) else {
            return (Vec::new(), batch);
        };
        let (kept, mut fresh): (Vec<_>, Vec<_>) = batch.into_iter().partition(|(_, request)| {
            votes
                .get(&request.target)
                .is_some_and(|it| it.verdict == Verdict::Granted && it.request == *request)
        });
        let granted = votes.values().filter(|it| it.verdict == Verdict::Granted);
        if kept.len() == granted.count() {
            return (kept, fresh);
        }
        fresh.extend(kept);
        (Vec::new(), fresh)
    }

    /// Notes the newest answer to a request.
    fn note(&self, sponsor: &Arc<str>, sent: Millis, request: &VoteRequest, verdict: &Verdict) {
        let mut all = self.votes();
        let votes = all.entry(Arc::clone(sponsor)).or_default();
        if votes.get(&request.target).is_some_and(|it| sent < it.sent) {
            return;
        }
        let vote = Vote {
            request: request.clone(),
            sent,
            verdict: verdict.clone(),
        };
        votes.insert(request.target.clone(), vote);
    }

    /// Forgets the votes for a target because they are released.
    fn forget(&self, target: &TargetId) {
        for votes in self.votes().values_mut() {
            votes.remove(target);
        }
    }

    fn votes(&self) -> MutexGuard<'_, HashMap<Arc<str>, HashMap<TargetId, Vote>>> {
        self.votes.lock().expect("no holder of the lock panics")
    }
}

/// The sponsors in the target's row, old ones of an unfinished change included.
fn sponsors_of(host: &Host, id: &TargetId) -> Vec<Arc<str>> {
    let table = host.table();
    let Some((_, row)) = table.target(id) else {
        return Vec::new();
    };
    let mut out: Vec<Arc<str>> = row.voters.iter().cloned().collect();
    if let ownership::ListChange::Joint { previous } = &row.change {
        for sponsor in previous {
            if !out.contains(sponsor) {
                out.push(Arc::clone(sponsor));
            }
        }
    }
    out
}

/// Gives up the votes of an attempt at all sponsors of the target.
pub fn resign(host: &Arc<Host>, gate: &Gate, incarnation: u64) {
    let own = Arc::clone(&host.settings.host);
    host.granted.forget(&gate.id);
    if let Some(sponsor) = host.sponsors().get_mut(&gate.id) {
        sponsor.resign(host.clock.now(), &own, incarnation);
    }
    for sponsor in sponsors_of(host, &gate.id) {
        let Some(address) = host.member(&sponsor).and_then(|it| it.peer) else {
            continue;
        };
        if sponsor == own {
            continue;
        }
        let (host, own, id) = (Arc::clone(host), Arc::clone(&own), gate.id.clone());
        tokio::spawn(async move {
            let Some(client) = host.peers.client(address).await else {
                return;
            };
            let result = client.resign(short(), vec![id], own, incarnation).await;
            host.peers.note(address, &sponsor, host.clock.now(), result);
        });
    }
}

#[cfg(test)]
mod tests;
