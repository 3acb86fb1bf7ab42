//! The server of control messages from peers.

use std::{io, sync::Arc};

use futures::{StreamExt, future};
use ownership::{TableRow, TargetId, Verdict, VoteRenewal, VoteReply, VoteRequest, Voter};
use peer::{
    Adoption, Codec, LoadSummary, MESSAGE_LIMIT_BYTES, MoveResult, Peer, QuarantineEntry,
    QuarantineState, RenewalResult, SliceMove, TableCopy, TargetReach, TargetReport, Votes,
};
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};

use crate::{host::Host, moves, server::ACCEPT_PAUSE, sync};

/// Maximum number of requests of one connection that are served at the same time.
const MAX_CONCURRENT_REQUESTS: usize = 64;

/// The server of one host's control messages.
#[derive(Clone)]
pub struct PeerServer {
    host: Arc<Host>,
}

/// Binds the address for control messages and returns the future that serves them.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn bind(host: Arc<Host>) -> io::Result<impl Future<Output = ()>> {
    let mut listener =
        tarpc::serde_transport::tcp::listen(host.settings.peer, Codec::default).await?;
    listener.config_mut().max_frame_length(MESSAGE_LIMIT_BYTES);
    let server = PeerServer { host };
    Ok(listener
        .filter_map(connection_or_pause)
        .for_each(move |transport| {
            let requests = BaseChannel::with_defaults(transport)
                .max_concurrent_requests(MAX_CONCURRENT_REQUESTS)
                .execute(server.clone().serve())
                .for_each(|response| async move {
                    tokio::spawn(response);
                });
            tokio::spawn(requests);
            future::ready(())
        }))
}

/// Returns the accepted connection, or `None` after a pause. Without the pause, an accept that
/// fails at once, for example because all file descriptors are in use, would keep a core busy.
async fn connection_or_pause<T>(result: io::Result<T>) -> Option<T> {
    match result {
        Ok(transport) => Some(transport),
        Err(err) => {
            log::warn!("a connection of a peer cannot be accepted: {err}");
            tokio::time::sleep(ACCEPT_PAUSE).await;
            None
        }
    }
}

impl Peer for PeerServer {
    async fn vote(
        self,
        _: Context,
        renewal: Option<VoteRenewal>,
        requests: Vec<VoteRequest>,
    ) -> Votes {
        let renewed = renewal.map_or(RenewalResult::None, |it| renew_votes(&self.host, &it));
        let mut replies = Vec::with_capacity(requests.len());
        for request in &requests {
            replies.push(vote(&self.host, request));
        }
        Votes {
            renewed,
            contact: self.host.contact_age(),
            replies,
        }
    }

    async fn resign(self, _: Context, targets: Vec<TargetId>, host: Arc<str>, incarnation: u64) {
        let now = self.host.clock.now();
        let mut voters = self.host.voters();
        for target in targets {
            let Some(voter) = voters.get_mut(&target) else {
                continue;
            };
            voter.resign(now, &host, incarnation);
        }
        drop(voters);
        self.host.wake.notify_one();
    }

    async fn rows_after(self, _: Context, rev: u64) -> TableCopy {
        let table = self.host.table();
        TableCopy {
            rev: self.host.cursor(),
            ready: self.host.is_ready(),
            rows: table.rows_after(rev),
            unreachable: self.host.unreachable(),
            members: serde_json::to_string(&**self.host.members.load())
                .expect("membership lists are serialisable"),
            adoptions: table
                .adoptions()
                .map(|(target, epoch, host)| Adoption {
                    target: target.clone(),
                    epoch,
                    host: Arc::clone(host),
                })
                .collect(),
        }
    }

    async fn push_rows(self, _: Context, rows: Vec<TableRow>) {
        sync::merge(&self.host, rows);
    }

    async fn push_adoptions(self, _: Context, adoptions: Vec<Adoption>) {
        self.host.adopt(adoptions);
    }

    async fn push_reach(self, _: Context, updates: Vec<TargetReach>) {
        for it in updates {
            self.host.set_reach(it.target, it.reach);
        }
    }

    async fn push_quarantine(self, _: Context, entries: Vec<QuarantineEntry>) {
        let now = self.host.clock.now();
        let view = self.host.view.load();
        for it in entries {
            if view
                .as_ref()
                .is_none_or(|view| view.service(&it.service).is_none())
            {
                continue;
            }
            let entry = admission::QuarantineRecord {
                fingerprint: it.fingerprint,
                age_ms: it.age_ms,
            };
            self.host
                .with_quarantine(&it.service, |quarantine| match it.state {
                    QuarantineState::Suspect => quarantine.add_suspect(now, it.fingerprint),
                    QuarantineState::Quarantined => quarantine.merge(now, &[entry]),
                });
        }
    }

    async fn loads(self, _: Context) -> LoadSummary {
        take_loads(&self.host)
    }

    async fn move_slices(
        self,
        _: Context,
        target: TargetId,
        requested: Vec<SliceMove>,
    ) -> MoveResult {
        moves::begin(&self.host, &target, &requested)
    }

    async fn split_slice(self, _: Context, target: TargetId, low: u64, at: Vec<u64>) -> MoveResult {
        moves::split(&self.host, &target, low, &at).await
    }

    async fn merge_slice(self, _: Context, target: TargetId, low: u64, next: u64) -> MoveResult {
        moves::merge(&self.host, &target, low, next).await
    }
}

/// Votes on a request with this host as the voter.
pub fn vote(host: &Host, request: &VoteRequest) -> VoteReply {
    // A table that was not read from the store may not have the newest list of voters.
    if !host.is_confirmed() {
        return VoteReply {
            verdict: Verdict::Abstained,
            contact: None,
        };
    }
    let known = host.table().target(&request.target).map(|(rev, _)| rev);
    let now = host.clock.now();
    let mut voters = host.voters();
    // The voter abstains for a time from the start of the process, because an earlier run may have
    // granted votes to other hosts.
    let voter = voters
        .entry(request.target.clone())
        .or_insert_with(|| Voter::new(0));
    if let Some(rev) = known {
        voter.observe_rev(rev);
    }
    let mut reply = voter.vote(now, request);
    reply.contact = host.contact_age();
    reply
}

/// Renews the votes that this host has granted to another one as a voter.
fn renew_votes(host: &Host, renewal: &VoteRenewal) -> RenewalResult {
    if !host.is_confirmed() {
        return RenewalResult::None;
    }
    let table = host.table();
    let mut voters = host.voters();
    for (target, voter) in voters.iter_mut() {
        if let Some((rev, _)) = table.target(target) {
            voter.observe_rev(rev);
        }
    }
    if ownership::renew_votes(voters.iter_mut(), host.clock.now(), renewal) {
        RenewalResult::All
    } else {
        RenewalResult::None
    }
}

/// Returns the load counters of this host and resets them.
pub fn take_loads(host: &Host) -> LoadSummary {
    let now = host.clock.now();
    let mut out = LoadSummary {
        span_ms: 0,
        ..LoadSummary::default()
    };
    for gateway_target in host.gateway_targets() {
        let mut inner = gateway_target.lock();
        let Some(since) = inner.gateway_since else {
            continue;
        };
        let (slices, keys) = inner.load.take(&gateway_target.id.service);
        out.slices.extend(slices);
        out.hot.extend(keys);
        out.targets.push(TargetReport {
            target: gateway_target.id.clone(),
            draining: inner.draining,
            age_ms: now.saturating_sub(since),
        });
    }
    out.span_ms = host.take_load_span(now);
    out
}

#[cfg(test)]
mod tests;
