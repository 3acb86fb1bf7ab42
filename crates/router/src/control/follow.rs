//! Finds the coordinator and exchanges reports with it, or becomes the coordinator.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use coordinator::{Millis, SliceRow};

use super::{
    lease::{Lease, LeaseView},
    loads,
    tenure::{Crashes, Tenure},
};
use crate::{
    node::Node,
    peers::{Event, PeerClient, Report, ReportReply},
    ports::{OwnRows, Revision, StoreError},
};

/// Longest time for which the coordinator holds a report back while it has no updates.
const REPORT_WAIT: Duration = Duration::from_millis(500);

/// Longest wait for an answer beyond the time for which the report may be held back.
pub(super) const ANSWER_ALLOWANCE: Duration = Duration::from_millis(400);

/// Longest wait for a connection to another host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Consecutive failed calls after which the coordinator counts as lost.
const MAX_FAILURES: u32 = 2;

/// Pause before the lease is read again; failed calls wait a part of it.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Shortest time between two reports that do not wait for updates.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Round-trip times to the store that a host waits before it takes a free lease, for at most 400 ms
/// in all, so that a host close to the store takes it.
const RTT_FACTOR: u32 = 8;

/// Further wait of a host with one core. The wait is inversely proportional to the host's power, so
/// that a powerful host takes the lease.
const CORE_WAIT_MS: u64 = 20;

/// Further wait for each multiple of this host's power by which the most powerful host exceeds it.
/// Hosts notice within a second of each other that the lease is free, and a host with a fifth of
/// the power waits that long.
const DEFER_MS: u64 = 250;

/// Upper limit of the wait that `DEFER_MS` adds.
const MAX_DEFER_MS: u64 = 1_200;

/// Reports to the coordinator, or coordinates while this host holds the lease; never returns.
pub async fn follow(node: Arc<Node>) {
    // The last term whose coordinator is known to have resigned.
    let mut resigned = None;
    loop {
        if let Some(address) = node.coordinator()
            && address != node.info.peer
        {
            log::info!(coordinator:% = address; "following the coordinator");
            resigned = resigned.max(report_until_lost(&node, address).await);
        }
        node.set_coordinator(None);
        match find_coordinator(&node, resigned).await {
            Some(Found::Lease(lease)) => coordinate(&node, lease).await,
            Some(Found::Coordinator(address)) => node.set_coordinator(Some(address)),
            None => {
                ask_other_hosts(&node).await;
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// The result of the search for the coordinator.
enum Found {
    /// Another host coordinates; its address.
    Coordinator(SocketAddr),
    /// This host has taken the lease.
    Lease(Lease),
}

/// Reads the lease, and takes it if it is free: it has expired, its holder has resigned, or its
/// holder was a previous run of this process.
async fn find_coordinator(node: &Arc<Node>, resigned: Option<u64>) -> Option<Found> {
    let view = LeaseView::read(node).await?;
    if let Some(row) = view.holder()
        && row.peer != node.info.peer
        && resigned < Some(row.term)
    {
        return Some(Found::Coordinator(row.peer));
    }
    if *node.stopping.borrow() {
        return None;
    }
    let rtt_ms = u32::try_from(view.clock.received - view.clock.sent).unwrap_or(u32::MAX);
    let rtt_delay = Duration::from_millis(rtt_ms.saturating_mul(RTT_FACTOR).min(400).into());
    let hosts = node.hosts.load_full();
    let power_delay = power_wait(node.info.power, hosts.iter().map(|it| it.power));
    tokio::time::sleep(rtt_delay + power_delay).await;
    view.take(node).await.map(Found::Lease)
}

/// How long a host of power `own` waits before it takes the lease, given the powers of the others.
/// Power is in thousandths of a core; an `own` power below 50 counts as 50.
fn power_wait(own: u32, others: impl Iterator<Item = u32>) -> Duration {
    let own = u64::from(own.max(50));
    let strongest = others.map(u64::from).max().unwrap_or(own).max(own);
    let defer = DEFER_MS * (strongest - own) / own;
    Duration::from_millis(CORE_WAIT_MS * 1_000 / own + defer.min(MAX_DEFER_MS))
}

async fn coordinate(node: &Arc<Node>, lease: Lease) {
    let own = loop {
        match node.store.own_rows().await {
            Ok(own) => break own,
            Err(err) if node.clock.now() >= lease.until => {
                log::warn!("the lease expired before the owners of keys were read: {err}");
                return;
            }
            Err(_) => tokio::time::sleep(RETRY_PAUSE / 4).await,
        }
    };
    log::info!(term = lease.row.term; "this host coordinates");
    let rows = slice_rows(&own);
    let crashes = Crashes::restore(&own, &lease.clock, node.clock.now());
    let tenure = Tenure::new(Arc::clone(node), lease, rows).with_crashes(crashes);
    tenure.run().await;
    log::info!("this host no longer coordinates");
}

/// Reads the owners of keys from the store: those that changed after the revision `known`, as long
/// as the store still has its history, else all. Returns the revision up to which they are known
/// then.
pub async fn read_slices(node: &Node, known: Option<Revision>) -> Option<Revision> {
    let changes = match known {
        Some(rev) => Some(node.store.own_rows_after(rev).await),
        None => None,
    };
    let (own, rev) = match changes {
        Some(Ok(own)) => {
            let last = own.rows.iter().map(|it| it.rev).max();
            (own, last.max(known))
        }
        None | Some(Err(StoreError::HistoryGone)) => {
            let own = node.store.own_rows().await.ok()?;
            let rev = own.rev();
            (own, Some(rev))
        }
        Some(Err(_)) => return known,
    };
    let mut events = Vec::new();
    for row in slice_rows(&own) {
        events.push(Event::Slice(Arc::clone(&row.service), row.slice()));
    }
    node.announce(events);
    rev
}

fn slice_rows(own: &OwnRows) -> Vec<SliceRow> {
    let mut rows = Vec::new();
    for row in &own.rows {
        if !row.name.starts_with(SliceRow::PREFIX) {
            continue;
        }
        match SliceRow::parse(&row.name, &row.value) {
            Ok(row) => rows.push(row),
            Err(err) => log::error!("a malformed slice row is skipped: {err}"),
        }
    }
    rows
}

/// Reports to the coordinator and applies its replies until it is lost or no longer coordinates.
/// Returns the term from which it has resigned, if its reply states one.
async fn report_until_lost(node: &Arc<Node>, address: SocketAddr) -> Option<u64> {
    let mut failures = 0;
    let mut store_reachable = None;
    while failures < MAX_FAILURES {
        let Ok(client) = PeerClient::connect(address, CONNECT_TIMEOUT).await else {
            failures += 1;
            tokio::time::sleep(RETRY_PAUSE / 2).await;
            continue;
        };
        loop {
            match exchange(node, &client, store_reachable.take()).await {
                None => {
                    failures += 1;
                    // The store may have accepted a version of the configuration since the last reply.
                    node.refresh_soon.notify_one();
                    break;
                }
                Some((reply, sent)) => {
                    failures = 0;
                    let (coordinator, resigned) = (reply.coordinator, reply.resigned);
                    let needs_successor = reply.needs_successor;
                    node.apply_reply(reply, sent);
                    if coordinator != Some(address) {
                        return resigned;
                    }
                    if needs_successor {
                        store_reachable = Some(LeaseView::read(node).await.is_some());
                        if store_reachable == Some(false) {
                            tokio::time::sleep(RETRY_PAUSE).await;
                        }
                    }
                }
            }
        }
    }
    log::warn!(coordinator:% = address; "the coordinator does not answer");
    None
}

/// Sends one report and waits for the reply; urgent reports are sent meanwhile. Returns the reply as
/// [`send_report`] does.
async fn exchange(
    node: &Arc<Node>,
    client: &PeerClient,
    store_reachable: Option<bool>,
) -> Option<(ReportReply, Millis)> {
    let regular = send_report(node, client, store_reachable, REPORT_WAIT);
    tokio::pin!(regular);
    loop {
        tokio::select! {
            reply = &mut regular => return reply,
            () = node.report_soon.notified() => {
                let (reply, sent) = send_report(node, client, None, Duration::ZERO).await?;
                node.apply_reply(reply, sent);
                tokio::time::sleep(MIN_REPORT_INTERVAL).await;
            }
        }
    }
}

/// Sends a report; returns the reply and the time at which the other host sent it at the earliest, or
/// `None` if it did not begin in time or stopped arriving.
async fn send_report(
    node: &Node,
    client: &PeerClient,
    store_reachable: Option<bool>,
    wait: Duration,
) -> Option<(ReportReply, Millis)> {
    let report = build_report(node, store_reachable, wait);
    let crashes = report.crashes.clone();
    let limit = wait + ANSWER_ALLOWANCE;
    let sent = node.clock.now();
    match client.sync(report, limit).await {
        Ok(reply) => {
            let replied = (sent + reply.held_ms).min(node.clock.now());
            return Some((reply, replied));
        }
        Err(err) => log::debug!("a report failed: {err}"),
    }
    // The next report includes them again; a crash that is reported twice counts once.
    node.poison_requests.add_crashes(crashes);
    None
}

pub fn build_report(node: &Node, store_reachable: Option<bool>, wait: Duration) -> Report {
    let (span_ms, loads) = loads::collect(node);
    Report {
        host: node.info.clone(),
        serves: !*node.stopping.borrow(),
        known: node.feed().position(),
        catalog: node.catalog.announced(),
        span_ms,
        loads,
        crashes: node.poison_requests.take_crashes(node.clock.now()),
        leaving: node.targets().leaving(node.clock.now()).collect(),
        store: store_reachable,
        wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
    }
}

/// Gets updates from any host that answers, while neither the store nor the coordinator does.
async fn ask_other_hosts(node: &Arc<Node>) {
    let hosts = node.hosts.load_full();
    for host in hosts.iter() {
        if host.name == node.info.name {
            continue;
        }
        let Ok(client) = PeerClient::connect(host.peer, CONNECT_TIMEOUT).await else {
            continue;
        };
        let Some((reply, sent)) = send_report(node, &client, None, Duration::ZERO).await else {
            continue;
        };
        let coordinator = reply.coordinator;
        node.apply_reply(reply, sent);
        if coordinator.is_some() {
            node.set_coordinator(coordinator);
            return;
        }
    }
}

#[cfg(test)]
mod tests;
