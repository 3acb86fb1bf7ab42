//! Requests votes from the voters of targets.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
};

use ownership::{TargetId, VOTE_MS, Verdict, VoteRenewal, VoteReply, VoteRequest};
use peer::{RenewalResult, Votes};

use crate::{
    clock::Millis,
    gateway_target::GatewayTarget,
    host::Host,
    peer_server,
    peers::{call_context, vote_context},
};

/// Requests votes from this host itself and then, for each vote that it grants, from the other
/// voters, with one message for each of them.
pub fn request_votes(host: &Arc<Host>, now: Millis, votes: Vec<Request>) {
    let own = &host.settings.host;
    let mut batches: HashMap<Arc<str>, Vec<Request>> = HashMap::new();
    for (gateway_target, request) in votes {
        let reply = peer_server::vote(host, &request);
        let granted = reply.verdict == Verdict::Granted;
        gateway_target.lock().gateway.on_vote(now, own, now, &reply);
        if !granted {
            continue;
        }
        for voter_name in voters_of(host, &gateway_target.id) {
            if voter_name == *own {
                continue;
            }
            batches
                .entry(voter_name)
                .or_default()
                .push((Arc::clone(&gateway_target), request.clone()));
        }
    }
    for (voter_name, batch) in batches {
        let host = Arc::clone(host);
        let (renewable, others) = host.vote_replies.split(now, &voter_name, batch);
        tokio::spawn(async move { request_from(&host, &voter_name, now, renewable, others).await });
    }
}

/// Renews the votes of `renewable` with one short message that also has the requests in `others`.
/// If the voter knows a different set of votes, the full requests are sent instead.
async fn request_from(
    host: &Host,
    voter_name: &Arc<str>,
    sent: Millis,
    renewable: Vec<Request>,
    others: Vec<Request>,
) {
    let own = Arc::clone(&host.settings.host);
    let requests = renewable.iter().map(|(_, request)| request);
    let renewal = (!renewable.is_empty()).then(|| VoteRenewal::new(own, requests));
    let Some(votes) = send(host, voter_name, renewal, &others).await else {
        return;
    };
    apply_replies(host, voter_name, sent, &others, &votes.replies);
    let replies = match votes.renewed {
        RenewalResult::All => {
            let reply = VoteReply {
                verdict: Verdict::Granted,
                contact: votes.contact,
            };
            vec![reply; renewable.len()]
        }
        RenewalResult::None if renewable.is_empty() => Vec::new(),
        RenewalResult::None => match send(host, voter_name, None, &renewable).await {
            Some(votes) => votes.replies,
            None => return,
        },
    };
    apply_replies(host, voter_name, sent, &renewable, &replies);
    host.wake.notify_one();
}

async fn send(
    host: &Host,
    voter_name: &Arc<str>,
    renewal: Option<VoteRenewal>,
    requests: &[Request],
) -> Option<Votes> {
    let address = host.member(voter_name)?.peer?;
    let client = host.peers.client(address).await?;
    let requests = requests.iter().map(|(_, it)| it.clone()).collect();
    let result = client.vote(vote_context(), renewal, requests).await;
    host.peers
        .record_result(address, voter_name, host.clock.now(), result)
}

/// Passes the replies to requests of the tick at `sent` to the gateways.
fn apply_replies(
    host: &Host,
    voter_name: &Arc<str>,
    sent: Millis,
    batch: &[Request],
    replies: &[VoteReply],
) {
    for ((gateway_target, request), reply) in batch.iter().zip(replies) {
        host.vote_replies
            .record(voter_name, sent, request, &reply.verdict);
        let now = host.clock.now();
        gateway_target
            .lock()
            .gateway
            .on_vote(now, voter_name, sent, reply);
    }
}

/// A request for a vote, and the gateway target that it is for.
type Request = (Arc<GatewayTarget>, VoteRequest);

/// The newest reply of each voter on another host to a request for a vote, by voter and target,
/// for as long as a vote is valid. The replies with [`Verdict::Granted`] are votes for this host.
#[derive(Default)]
pub struct VoteReplies {
    replies: Mutex<HashMap<Arc<str>, HashMap<TargetId, RecordedReply>>>,
}

struct RecordedReply {
    request: VoteRequest,
    sent: Millis,
    verdict: Verdict,
}

impl VoteReplies {
    /// Splits requests into those that a renewal can replace and the others. A renewal covers all
    /// votes that the voter has granted to this host, so it replaces none of the requests if one
    /// of these votes is not due.
    fn split(
        &self,
        now: Millis,
        voter_name: &str,
        batch: Vec<Request>,
    ) -> (Vec<Request>, Vec<Request>) {
        let mut all = self.replies();
        all.retain(|_, replies| {
            replies.retain(|_, it| now < it.sent + VOTE_MS);
            !replies.is_empty()
        });
        let Some(replies) = all.get(voter_name) else {
            return (Vec::new(), batch);
        };
        let (renewable, mut others): (Vec<_>, Vec<_>) =
            batch.into_iter().partition(|(_, request)| {
                replies
                    .get(&request.target)
                    .is_some_and(|it| it.verdict == Verdict::Granted && it.request == *request)
            });
        let granted = replies.values().filter(|it| it.verdict == Verdict::Granted);
        if renewable.len() == granted.count() {
            return (renewable, others);
        }
        others.extend(renewable);
        (Vec::new(), others)
    }

    /// Records the reply to a request, unless the reply to a later request is already recorded.
    fn record(
        &self,
        voter_name: &Arc<str>,
        sent: Millis,
        request: &VoteRequest,
        verdict: &Verdict,
    ) {
        let mut all = self.replies();
        let replies = all.entry(Arc::clone(voter_name)).or_default();
        if replies
            .get(&request.target)
            .is_some_and(|it| sent < it.sent)
        {
            return;
        }
        let reply = RecordedReply {
            request: request.clone(),
            sent,
            verdict: verdict.clone(),
        };
        replies.insert(request.target.clone(), reply);
    }

    /// Removes the replies for a target, which this host releases.
    fn remove(&self, target: &TargetId) {
        for replies in self.replies().values_mut() {
            replies.remove(target);
        }
    }

    fn replies(&self) -> MutexGuard<'_, HashMap<Arc<str>, HashMap<TargetId, RecordedReply>>> {
        self.replies.lock().expect("lock is not poisoned")
    }
}

/// The voters in the target's row, including the previous ones while a change of the list is
/// unfinished.
fn voters_of(host: &Host, id: &TargetId) -> Vec<Arc<str>> {
    let table = host.table();
    let Some((_, row)) = table.target(id) else {
        return Vec::new();
    };
    let mut out: Vec<Arc<str>> = row.voters.iter().cloned().collect();
    if let ownership::ListChange::Joint { previous } = &row.change {
        for voter_name in previous {
            if !out.contains(voter_name) {
                out.push(Arc::clone(voter_name));
            }
        }
    }
    out
}

/// Releases the votes of an attempt at all voters of the target.
pub fn resign(host: &Arc<Host>, gateway_target: &GatewayTarget, incarnation: u64) {
    let own = Arc::clone(&host.settings.host);
    host.vote_replies.remove(&gateway_target.id);
    if let Some(voter) = host.voters().get_mut(&gateway_target.id) {
        voter.resign(host.clock.now(), &own, incarnation);
    }
    for voter_name in voters_of(host, &gateway_target.id) {
        let Some(address) = host.member(&voter_name).and_then(|it| it.peer) else {
            continue;
        };
        if voter_name == own {
            continue;
        }
        let (host, own, id) = (
            Arc::clone(host),
            Arc::clone(&own),
            gateway_target.id.clone(),
        );
        tokio::spawn(async move {
            let Some(client) = host.peers.client(address).await else {
                return;
            };
            let result = client
                .resign(call_context(), vec![id], own, incarnation)
                .await;
            host.peers
                .record_result(address, &voter_name, host.clock.now(), result);
        });
    }
}

#[cfg(test)]
mod tests;
