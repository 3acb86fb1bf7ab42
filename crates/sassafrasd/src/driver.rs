//! Drives the gateway state machines: passes them time, rows and answers, and performs their
//! actions.

use std::{sync::Arc, time::Duration};

use ownership::{
    Action, Checks, CommitOutcome, DataCentreState, Gateway, GatewayState, GrantOutcome, Intent,
    Policy, TargetId, TargetRow,
};
use peer::{Adoption, Reach, TargetReach};
use placement::HostState;
use platform::{Commit, CommitResult, MemberKind, MemberState, Row};

use crate::{
    changes, clock::Millis, crash, gateway_target::GatewayTarget, grants::GrantClient, host::Host,
    inputs, sync, view::View, votes,
};

/// Longest time between two ticks. Much shorter than the shortest renewal interval.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the gateways until the process ends.
pub async fn run(host: Arc<Host>) {
    let grants = GrantClient::new();
    let mut last = LastInputs::default();
    loop {
        let _ = tokio::time::timeout(TICK_INTERVAL, host.wake.notified()).await;
        refresh(&host, &mut last);
        tick(&host, &grants);
    }
}

/// The inputs that were last passed to the gateway state machines.
#[derive(Default)]
struct LastInputs {
    document_version: u64,
    table_changes: u64,
    read_began: Option<Millis>,
    members_address: usize,
    stopping: bool,
}

/// Creates and removes gateway targets, and passes changed inputs to their state machines.
fn refresh(host: &Arc<Host>, last: &mut LastInputs) {
    let Some(view) = host.view.load_full() else {
        return;
    };
    let now = host.clock.now();
    let table_changes = host.table_changes();
    let read_began = host.read_began();
    let members_address = Arc::as_ptr(&host.members.load_full()) as usize;
    let document_or_table_changed =
        last.document_version != view.version || last.table_changes != table_changes;
    if document_or_table_changed {
        refresh_gateway_targets(host, &view);
    }
    let changed = document_or_table_changed
        || last.read_began != read_began
        || last.members_address != members_address;
    if changed {
        for gateway_target in host.gateway_targets() {
            update_gateway(host, &view, &gateway_target, now);
        }
    }
    let stopping = host.is_stopping();
    if stopping && !last.stopping {
        for gateway_target in host.gateway_targets() {
            gateway_target.lock().gateway.stop(now);
        }
    }
    *last = LastInputs {
        document_version: view.version,
        table_changes,
        read_began,
        members_address,
        stopping,
    };
}

fn refresh_gateway_targets(host: &Arc<Host>, view: &View) {
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
    let mut gateway_targets = host.gateway_targets_mut();
    // A target for which this host is no longer a voter stays until the tenure has ended.
    gateway_targets.retain(|id, gateway_target| {
        wanted.contains(id)
            || gateway_target
                .lock()
                .gateway
                .status(host.clock.now())
                .tenure
    });
    for id in wanted {
        let Some((service, target)) = view.target(&id.service, &id.target) else {
            continue;
        };
        if let Some(gateway_target) = gateway_targets.get(&id) {
            gateway_target.set_limits(service, target);
            continue;
        }
        let Ok(address) = target.address.parse() else {
            log::error!(target = &*id.target; "the target's address is not valid, so this host cannot be its gateway");
            continue;
        };
        let policy = gateway_policy(host, view, service, target);
        let gateway = Gateway::new(
            Arc::clone(&host.settings.host),
            host.incarnation,
            id.clone(),
            policy,
        );
        let gateway_target = GatewayTarget::new(id.clone(), address, gateway, service, target);
        gateway_targets.insert(id, Arc::new(gateway_target));
    }
}

fn gateway_policy(
    host: &Host,
    view: &View,
    service: &document::Service,
    target: &document::Target,
) -> Policy {
    let data_centre = if view.is_lost(&host.settings.data_centre) {
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
        data_centre,
    }
}

/// The hosts that can be voters of the target while this host is its gateway, in order of
/// preference.
fn voter_candidates(host: &Host, view: &View, gateway_target: &GatewayTarget) -> Vec<Arc<str>> {
    let Some((_, target)) = view.target(&gateway_target.id.service, &gateway_target.id.target)
    else {
        return Vec::new();
    };
    let region = view.region_name(&target.data_centre);
    let mut hosts = inputs::hosts(host, view);
    hosts.retain(|it| it.state == HostState::Live);
    let local = hosts.iter().filter(|it| it.region == region).count();
    if local > 0 {
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

fn update_gateway(host: &Host, view: &View, gateway_target: &GatewayTarget, now: Millis) {
    let voter_candidates = voter_candidates(host, view, gateway_target);
    let (row, slices) = {
        let table = host.table();
        let row = table
            .target(&gateway_target.id)
            .map(|(rev, row)| (rev, row.clone()));
        let slices: Vec<_> = table
            .slices_of(&gateway_target.id)
            .map(|it| (it.rev, it.slice.clone()))
            .collect();
        (row, slices)
    };
    let leaving = is_leaving(host, &gateway_target.id);
    let mut inner = gateway_target.lock();
    if let Some((service, target)) =
        view.target(&gateway_target.id.service, &gateway_target.id.target)
    {
        inner
            .gateway
            .set_policy(gateway_policy(host, view, service, target));
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
    if !voter_candidates.is_empty() {
        inner.gateway.on_members(now, &voter_candidates);
    }
    if let Some(age) = host.contact_age() {
        inner.gateway.on_contact(now.saturating_sub(age));
    }
}

/// Whether the membership list says that the target is leaving. Targets have the name
/// `<service>/<target>` in the list.
pub fn is_leaving(host: &Host, id: &TargetId) -> bool {
    let members = host.members.load();
    let mut entries = members
        .members
        .iter()
        .filter(|it| it.kind == MemberKind::Target);
    entries.any(|it| {
        it.state == MemberState::Leaving
            && it.name.split_once('/') == Some((&*id.service, &*id.target))
    })
}

fn tick(host: &Arc<Host>, grants: &GrantClient) {
    let now = host.clock.now();
    let mut votes = Vec::new();
    for gateway_target in host.gateway_targets() {
        let actions = {
            let mut inner = gateway_target.lock();
            inner.expire(now);
            let actions = inner.gateway.tick(now);
            let status = inner.gateway.status(now);
            publish_reach(host, &gateway_target.id, status.state);
            inner.gateway_since = if status.tenure {
                inner.gateway_since.or(Some(now))
            } else {
                None
            };
            actions
        };
        for action in actions {
            match action {
                Action::Vote(request) => votes.push((Arc::clone(&gateway_target), request)),
                Action::Resign { incarnation } => votes::resign(host, &gateway_target, incarnation),
                Action::ReadGrant => {
                    let (host, gateway_target, grants) = (
                        Arc::clone(host),
                        Arc::clone(&gateway_target),
                        grants.clone(),
                    );
                    tokio::spawn(async move {
                        let outcome = grants.read(gateway_target.address).await;
                        handle_grant_outcome(&host, &gateway_target, now, outcome);
                    });
                }
                Action::Grant(order) => {
                    let (host, gateway_target, grants) = (
                        Arc::clone(host),
                        Arc::clone(&gateway_target),
                        grants.clone(),
                    );
                    tokio::spawn(async move {
                        let outcome = grants.send(gateway_target.address, &order).await;
                        handle_grant_outcome(&host, &gateway_target, now, outcome);
                    });
                }
                Action::Renew(renewal) => {
                    let (host, gateway_target, grants) = (
                        Arc::clone(host),
                        Arc::clone(&gateway_target),
                        grants.clone(),
                    );
                    tokio::spawn(async move {
                        let outcome = grants.renew(gateway_target.address, renewal).await;
                        handle_grant_outcome(&host, &gateway_target, now, outcome);
                    });
                }
                Action::Commit(intent) => {
                    let (host, gateway_target) = (Arc::clone(host), Arc::clone(&gateway_target));
                    tokio::spawn(async move { commit(&host, &gateway_target, intent).await });
                }
                Action::Announce { epoch } => announce(host, &gateway_target, epoch),
            }
        }
    }
    votes::request_votes(host, now, votes);
}

/// Tells the other hosts when a target stops or starts to answer, so that they assign no slices to
/// an unreachable one.
fn publish_reach(host: &Arc<Host>, id: &TargetId, state: GatewayState) {
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
    let update = vec![TargetReach {
        target: id.clone(),
        reach,
    }];
    let host = Arc::clone(host);
    tokio::spawn(async move { host.peers.push_reach(&host, update).await });
}

fn handle_grant_outcome(
    host: &Arc<Host>,
    gateway_target: &Arc<GatewayTarget>,
    sent: Millis,
    outcome: GrantOutcome,
) {
    let now = host.clock.now();
    let mut restarted = false;
    {
        let mut inner = gateway_target.lock();
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
        crash::record_crash(host, gateway_target);
        gateway_target
            .lock()
            .gateway
            .target_recovered(host.clock.now());
    }
    host.wake.notify_one();
}

fn announce(host: &Arc<Host>, gateway_target: &GatewayTarget, epoch: u64) {
    let adoption = Adoption {
        target: gateway_target.id.clone(),
        epoch,
        host: Arc::clone(&host.settings.host),
    };
    log::info!(
        service = &*gateway_target.id.service,
        target = &*gateway_target.id.target,
        epoch = epoch;
        "this host is the gateway"
    );
    host.adopt(vec![adoption.clone()]);
    let host = Arc::clone(host);
    tokio::spawn(async move { host.peers.push_adoptions(&host, vec![adoption]).await });
}

/// Performs a commit for a gateway. A commit with an unknown outcome is kept, so that the next
/// attempt sends it again unchanged.
async fn commit(host: &Arc<Host>, gateway_target: &Arc<GatewayTarget>, intent: Intent) {
    let pending = gateway_target
        .lock()
        .pending_commit
        .take()
        .filter(|(it, _)| *it == intent);
    let commit = pending
        .map(|(_, it)| it)
        .or_else(|| changes::prepare(host, gateway_target, &intent));
    let result = match &commit {
        Some(commit) => write(host, commit).await,
        None => CommitResult::NotApplied {
            conflicts: Vec::new(),
        },
    };
    let outcome = match result {
        CommitResult::Applied { rev } => {
            // The gateway serves new slices only after a read that began after this commit.
            host.read_soon.notify_one();
            CommitOutcome::Applied { rev }
        }
        CommitResult::NotApplied { .. } => {
            host.read_soon.notify_one();
            CommitOutcome::NotApplied
        }
        CommitResult::Unknown => {
            gateway_target.lock().pending_commit = commit.map(|it| (intent, it));
            CommitOutcome::Unknown
        }
    };
    gateway_target
        .lock()
        .gateway
        .on_commit(host.clock.now(), outcome);
    host.wake.notify_one();
}

/// Sends a transaction to the store. The rows that were written, or those that conflicted, are
/// merged into the table at once.
pub async fn write(host: &Arc<Host>, commit: &Commit) -> CommitResult {
    let result = host.platform.commit(commit).await;
    let rows: Vec<Row> = match &result {
        CommitResult::Applied { rev } => commit
            .writes
            .iter()
            .map(|it| Row {
                row: it.row.clone(),
                rev: *rev,
                value: it.value.clone(),
            })
            .collect(),
        CommitResult::NotApplied { conflicts } => {
            conflicts.iter().filter(|it| it.rev > 0).cloned().collect()
        }
        CommitResult::Unknown => return result,
    };
    let fresh = sync::merge(host, rows.into_iter().map(sync::table_row).collect());
    if !fresh.is_empty() {
        let host = Arc::clone(host);
        tokio::spawn(async move { host.peers.push_rows(&host, fresh).await });
    }
    result
}

/// The first row of a target, with the first voter as its gateway.
pub fn initial_row(voters: smallvec::SmallVec<[Arc<str>; 3]>) -> TargetRow {
    let gateway = voters.first().cloned().unwrap_or_else(|| Arc::from(""));
    TargetRow {
        gateway,
        epoch: 0,
        voters,
        change: ownership::ListChange::Settled,
    }
}

#[cfg(test)]
mod tests;
