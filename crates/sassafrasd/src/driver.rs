//! Drives the gateway state machines: feeds them time, rows and answers, and performs their
//! actions.

use std::{sync::Arc, time::Duration};

use ownership::{
    Action, Checks, CommitOutcome, DataCentreState, Gateway, GatewayState, GrantOutcome, Intent,
    Policy, TargetId, TargetRow,
};
use peer::{Adoption, Reach, TargetReach};
use placement::HostState;
use platform::{Commit, Kind, MemberState, Row, Written};

use crate::{
    changes, clock::Millis, crash, gate::Gate, grants::GrantClient, host::Host, inputs, sync,
    view::View, votes,
};

/// Interval of ticks when nothing happens. Much shorter than the shortest renewal interval.
const TICK: Duration = Duration::from_millis(20);

/// Runs the gateways until the process ends.
pub async fn run(host: Arc<Host>) {
    let grants = GrantClient::new();
    let mut seen = Seen::default();
    loop {
        let _ = tokio::time::timeout(TICK, host.wake.notified()).await;
        refresh(&host, &mut seen);
        tick(&host, &grants);
    }
}

/// What the gates were last fed.
#[derive(Default)]
struct Seen {
    version: u64,
    rows: u64,
    confirmed: Option<Millis>,
    members: usize,
    stopping: bool,
}

/// Creates and removes gates and feeds them what has changed.
fn refresh(host: &Arc<Host>, seen: &mut Seen) {
    let Some(view) = host.view.load_full() else {
        return;
    };
    let now = host.clock.now();
    let rows = host.table_changes();
    let confirmed = host.read_began();
    let members = Arc::as_ptr(&host.members.load_full()) as usize;
    let new_rows = seen.version != view.version || seen.rows != rows;
    if new_rows {
        refresh_gates(host, &view);
    }
    let news = new_rows || seen.confirmed != confirmed || seen.members != members;
    if news {
        for gate in host.all_gates() {
            feed(host, &view, &gate, now);
        }
    }
    let stopping = host.is_stopping();
    if stopping && !seen.stopping {
        for gate in host.all_gates() {
            gate.lock().gateway.stop(now);
        }
    }
    *seen = Seen {
        version: view.version,
        rows,
        confirmed,
        members,
        stopping,
    };
}

fn refresh_gates(host: &Arc<Host>, view: &View) {
    let own = &host.settings.host;
    let mut wanted: Vec<TargetId> = Vec::new();
    {
        let table = host.table();
        for (id, _, row) in table.targets() {
            if row.voters.contains(own) && view.target(&id.service, &id.target).is_some() {
                wanted.push(id.clone());
            }
        }
    }
    let mut gates = host.gates_mut();
    // A gate whose host is no sponsor any more stays until its tenure has ended.
    gates.retain(|id, gate| {
        wanted.contains(id) || gate.lock().gateway.status(host.clock.now()).tenure
    });
    for id in wanted {
        let Some((service, target)) = view.target(&id.service, &id.target) else {
            continue;
        };
        if let Some(gate) = gates.get(&id) {
            gate.set_limits(service, target);
            continue;
        }
        let Ok(address) = target.address.parse() else {
            log::error!(target = &*id.target; "the target's address is not valid");
            continue;
        };
        let policy = policy_of(host, view, service, target);
        let gateway = Gateway::new(
            Arc::clone(&host.settings.host),
            host.incarnation,
            id.clone(),
            policy,
        );
        let gate = Gate::new(id.clone(), address, gateway, service, target);
        gates.insert(id, Arc::new(gate));
    }
}

fn policy_of(
    host: &Host,
    view: &View,
    service: &document::Service,
    target: &document::Target,
) -> Policy {
    let centre = if view.is_lost(&host.settings.data_centre) {
        DataCentreState::HostLost
    } else if view.is_lost(&target.data_centre) {
        DataCentreState::Lost
    } else {
        DataCentreState::Live
    };
    Policy {
        checks: if service.checks_grants {
            Checks::Grants
        } else {
            Checks::Nothing
        },
        deadline_ms: service.deadline_ms,
        hold_ms: view.document.balance.hold_s * 1_000,
        data_centre: centre,
    }
}

/// The hosts that can be sponsors of the target while this host is its gateway, the preferred ones
/// first.
fn candidates(host: &Host, view: &View, gate: &Gate) -> Vec<Arc<str>> {
    let Some((_, target)) = view.target(&gate.id.service, &gate.id.target) else {
        return Vec::new();
    };
    let region = view.region_name(&target.data_centre);
    let mut hosts = inputs::hosts(host, view);
    hosts.retain(|it| it.state == HostState::Live);
    let near = hosts.iter().filter(|it| it.region == region).count();
    if near > 0 {
        hosts.retain(|it| it.region == region);
    }
    let own = &host.settings.host;
    let mut out = Vec::with_capacity(hosts.len());
    if hosts.iter().any(|it| it.name == *own) {
        out.push(Arc::clone(own));
    }
    out.extend(placement::rank_voters(
        own,
        &target.data_centre,
        &region,
        &hosts,
    ));
    out
}

fn feed(host: &Host, view: &View, gate: &Gate, now: Millis) {
    let candidates = candidates(host, view, gate);
    let (row, slices) = {
        let table = host.table();
        let row = table.target(&gate.id).map(|(rev, row)| (rev, row.clone()));
        let slices: Vec<_> = table
            .slices_of(&gate.id)
            .map(|it| (it.rev, it.slice.clone()))
            .collect();
        (row, slices)
    };
    let leaving = is_leaving(host, &gate.id);
    let mut inner = gate.lock();
    if let Some((service, target)) = view.target(&gate.id.service, &gate.id.target) {
        inner
            .gateway
            .set_policy(policy_of(host, view, service, target));
        if leaving {
            inner.gateway.drain(now);
        } else if !inner.draining {
            inner.gateway.end_drain(now);
        }
    } else {
        inner.gateway.drain(now);
    }
    if let Some((rev, row)) = row {
        inner.gateway.on_row(now, rev, &row);
    }
    inner.gateway.on_slices(now, slices, host.read_began());
    if !candidates.is_empty() {
        inner.gateway.on_members(now, &candidates);
    }
    if let Some(age) = host.contact_age() {
        inner.gateway.on_contact(now.saturating_sub(age));
    }
}

/// Whether the membership list says that the target is leaving. The list names a target as
/// `<service>/<target>`.
pub fn is_leaving(host: &Host, id: &TargetId) -> bool {
    let members = host.members.load();
    let mut entries = members.members.iter().filter(|it| it.kind == Kind::Target);
    entries.any(|it| {
        it.state == MemberState::Leaving
            && it.name.split_once('/') == Some((&*id.service, &*id.target))
    })
}

fn tick(host: &Arc<Host>, grants: &GrantClient) {
    let now = host.clock.now();
    let mut votes = Vec::new();
    for gate in host.all_gates() {
        let actions = {
            let mut inner = gate.lock();
            inner.expire(now);
            let actions = inner.gateway.tick(now);
            let status = inner.gateway.status(now);
            note_reach(host, &gate.id, status.state);
            inner.since = if status.tenure {
                inner.since.or(Some(now))
            } else {
                None
            };
            actions
        };
        for action in actions {
            match action {
                Action::Vote(request) => votes.push((Arc::clone(&gate), request)),
                Action::Resign { incarnation } => votes::resign(host, &gate, incarnation),
                Action::ReadGrant => {
                    let (host, gate, grants) =
                        (Arc::clone(host), Arc::clone(&gate), grants.clone());
                    tokio::spawn(async move {
                        let outcome = grants.read(gate.address).await;
                        answered(&host, &gate, now, outcome);
                    });
                }
                Action::Grant(order) => {
                    let (host, gate, grants) =
                        (Arc::clone(host), Arc::clone(&gate), grants.clone());
                    tokio::spawn(async move {
                        let outcome = grants.send(gate.address, &order).await;
                        answered(&host, &gate, now, outcome);
                    });
                }
                Action::Renew(renewal) => {
                    let (host, gate, grants) =
                        (Arc::clone(host), Arc::clone(&gate), grants.clone());
                    tokio::spawn(async move {
                        let outcome = grants.renew(gate.address, renewal).await;
                        answered(&host, &gate, now, outcome);
                    });
                }
                Action::Commit(intent) => {
                    let (host, gate) = (Arc::clone(host), Arc::clone(&gate));
                    tokio::spawn(async move { commit(&host, &gate, intent).await });
                }
                Action::Announce { epoch } => announce(host, &gate, epoch),
            }
        }
    }
    votes::ask(host, now, votes);
}

/// Tells the other hosts when a target stops or starts to answer, so that they give it no slices.
fn note_reach(host: &Arc<Host>, id: &TargetId, state: GatewayState) {
    let reach = match state {
        GatewayState::Unreachable => Reach::Unreachable,
        GatewayState::Serving => Reach::Reachable,
        GatewayState::Idle
        | GatewayState::Candidate
        | GatewayState::Claiming
        | GatewayState::Stopping => return,
    };
    if host.set_reach(id.clone(), reach) == reach {
        return;
    }
    log::info!(service = &*id.service, target = &*id.target; "target is now {reach:?}");
    let news = vec![TargetReach {
        target: id.clone(),
        reach,
    }];
    let host = Arc::clone(host);
    tokio::spawn(async move { host.peers.push_reach(&host, news).await });
}

fn answered(host: &Arc<Host>, gate: &Arc<Gate>, sent: Millis, outcome: GrantOutcome) {
    let now = host.clock.now();
    let mut restarted = false;
    {
        let mut inner = gate.lock();
        let draining = match &outcome {
            GrantOutcome::Accepted(state) | GrantOutcome::Fenced(state) => {
                restarted = inner.incarnation.is_some_and(|it| it != state.incarnation);
                inner.incarnation = Some(state.incarnation);
                Some(state.draining)
            }
            GrantOutcome::Renewed(renewed) => Some(renewed.draining),
            GrantOutcome::Lost => None,
        };
        if let Some(draining) = draining {
            if draining && !inner.draining {
                inner.draining = true;
                inner.gateway.drain_by_target(now);
            }
            if restarted || !draining {
                inner.draining = draining;
            }
        }
        inner.gateway.on_grant(now, sent, outcome);
    }
    if restarted {
        crash::crashed(host, gate);
        gate.lock().gateway.target_recovered(host.clock.now());
    }
    host.wake.notify_one();
}

fn announce(host: &Arc<Host>, gate: &Gate, epoch: u64) {
    let adoption = Adoption {
        target: gate.id.clone(),
        epoch,
        host: Arc::clone(&host.settings.host),
    };
    log::info!(
        service = &*gate.id.service,
        target = &*gate.id.target,
        epoch = epoch;
        "this host is the gateway"
    );
    host.adopt(vec![adoption.clone()]);
    let host = Arc::clone(host);
    tokio::spawn(async move { host.peers.push_adoptions(&host, vec![adoption]).await });
}

/// Performs a commit for a gateway. A commit whose outcome is unknown is kept and sent again
/// unchanged.
async fn commit(host: &Arc<Host>, gate: &Arc<Gate>, intent: Intent) {
    let kept = gate.lock().pending.take().filter(|(it, _)| *it == intent);
    let commit = kept
        .map(|(_, it)| it)
        .or_else(|| changes::prepare(host, gate, &intent));
    let written = match &commit {
        Some(commit) => write(host, commit).await,
        None => Written::NotApplied {
            conflicts: Vec::new(),
        },
    };
    let outcome = match written {
        Written::Applied { rev } => {
            // The gateway serves new slices only after a read that began after this commit.
            host.read_soon.notify_one();
            CommitOutcome::Applied { rev }
        }
        Written::NotApplied { .. } => {
            host.read_soon.notify_one();
            CommitOutcome::NotApplied
        }
        Written::Unknown => {
            gate.lock().pending = commit.map(|it| (intent, it));
            CommitOutcome::Unknown
        }
    };
    gate.lock().gateway.on_commit(host.clock.now(), outcome);
    host.wake.notify_one();
}

/// Sends a transaction; what took effect, and what stood in its way, enters the table at once.
pub async fn write(host: &Arc<Host>, commit: &Commit) -> Written {
    let written = host.platform.commit(commit).await;
    let rows: Vec<Row> = match &written {
        Written::Applied { rev } => commit
            .writes
            .iter()
            .map(|it| Row {
                row: it.row.clone(),
                rev: *rev,
                value: it.value.clone(),
            })
            .collect(),
        Written::NotApplied { conflicts } => {
            conflicts.iter().filter(|it| it.rev > 0).cloned().collect()
        }
        Written::Unknown => return written,
    };
    let fresh = sync::merge(host, rows.into_iter().map(sync::table_row).collect());
    if !fresh.is_empty() {
        let host = Arc::clone(host);
        tokio::spawn(async move { host.peers.push_rows(&host, fresh).await });
    }
    written
}

/// The row of a target that has none yet.
pub fn first_row(sponsors: smallvec::SmallVec<[Arc<str>; 3]>) -> TargetRow {
    let gateway = sponsors.first().cloned().unwrap_or_else(|| Arc::from(""));
    TargetRow {
        gateway,
        epoch: 0,
        voters: sponsors,
        change: ownership::ListChange::Settled,
    }
}

#[cfg(test)]
mod tests;
