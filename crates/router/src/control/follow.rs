//! Finds the coordinator and stays in touch with it, or becomes it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use coordinator::SliceRow;
use tarpc::context;

use super::{
    lease::{Lease, Sight},
    loads,
    tenure::Tenure,
};
use crate::{
    node::Node,
    peers::{self, CoordinationClient, Event, News, Report},
    ports::OwnRows,
};

/// Longest time for which the coordinator holds a report without news.
const WAIT: Duration = Duration::from_millis(500);

/// Longest wait for an answer beyond that.
const ANSWER: Duration = Duration::from_millis(400);

/// Longest wait for a connection to another host.
const CONNECT: Duration = Duration::from_millis(300);

/// Failed calls in a row after which the coordinator counts as lost.
const FAILURES: u32 = 2;

/// Pause before the lease is read again.
const PAUSE: Duration = Duration::from_millis(250);

/// Shortest time between two reports that do not wait for news.
const SOON: Duration = Duration::from_millis(100);

/// Waits before the free lease is taken: a host that is far from the store, or weak, waits longer,
/// so that a near and strong one takes the lease.
const NEAR_FACTOR: u32 = 8;
const WEAK_WAIT_MS: u64 = 20;

/// Further wait for each time by which the strongest host is stronger: hosts notice within a second
/// of each other that the lease is free, and a host with a fifth of the power waits that long.
const DEFER_MS: u64 = 250;

/// Longest such wait.
const LONGEST_DEFER_MS: u64 = 1_200;

/// Follows the coordinator, or coordinates, for ever.
pub async fn follow(node: Arc<Node>) {
    // The last term whose coordinator is known to act no more.
    let mut resigned = None;
    loop {
        if let Some(address) = node.coordinator()
            && address != node.info.peer
        {
            log::info!(coordinator:% = address; "following the coordinator");
            resigned = resigned.max(stay(&node, address).await);
        }
        node.set_coordinator(None);
        match seek(&node, resigned).await {
            Some(Found::Lease(lease)) => coordinate(&node, lease).await,
            Some(Found::Coordinator(address)) => node.set_coordinator(Some(address)),
            None => {
                ask_neighbours(&node).await;
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

enum Found {
    Coordinator(SocketAddr),
    Lease(Lease),
}

/// Reads the lease, and takes it if it is free: if it has ended, or its holder is known to act no
/// more because it said so or because it was an earlier run of this process.
async fn seek(node: &Arc<Node>, resigned: Option<u64>) -> Option<Found> {
    let sight = Sight::read(node).await?;
    if let Some(row) = sight.holder()
        && row.peer != node.info.peer
        && resigned < Some(row.term)
    {
        return Some(Found::Coordinator(row.peer));
    }
    if *node.stopping.borrow() {
        return None;
    }
    let rtt_ms = u32::try_from(sight.clock.received - sight.clock.sent).unwrap_or(u32::MAX);
    let far = Duration::from_millis(rtt_ms.saturating_mul(NEAR_FACTOR).min(400).into());
    let hosts = node.hosts.load_full();
    let weak = weak_wait(node.info.power, hosts.iter().map(|it| it.power));
    tokio::time::sleep(far + weak).await;
    sight.take(node).await.map(Found::Lease)
}

/// How long a host with this power leaves the lease to others with those powers.
fn weak_wait(own: u32, others: impl Iterator<Item = u32>) -> Duration {
    let own = u64::from(own.max(50));
    let strongest = others.map(u64::from).max().unwrap_or(own).max(own);
    let defer = DEFER_MS * (strongest - own) / own;
    Duration::from_millis(WEAK_WAIT_MS * 1_000 / own + defer.min(LONGEST_DEFER_MS))
}

async fn coordinate(node: &Arc<Node>, lease: Lease) {
    let own = loop {
        match node.store.own_rows().await {
            Ok(own) => break own,
            Err(err) if node.clock.now() >= lease.until => {
                log::warn!("the lease ended before the owners of keys were read: {err}");
                return;
            }
            Err(_) => tokio::time::sleep(PAUSE / 4).await,
        }
    };
    log::info!(term = lease.row.term; "this host coordinates");
    let rows = slice_rows(&own);
    Tenure::new(Arc::clone(node), lease, rows).run().await;
    log::info!("this host does not coordinate any more");
}

/// Takes the owners of keys from the store's rows.
pub async fn read_slices(node: &Node) {
    let Ok(own) = node.store.own_rows().await else {
        return;
    };
    let mut events = Vec::new();
    for row in slice_rows(&own) {
        events.push(Event::Slice(Arc::clone(&row.service), row.slice()));
    }
    node.announce(events);
}

fn slice_rows(own: &OwnRows) -> Vec<SliceRow> {
    let mut rows = Vec::new();
    for row in &own.rows {
        if !row.name.starts_with(SliceRow::PREFIX) {
            continue;
        }
        match SliceRow::parse(&row.name, &row.value) {
            Ok(row) => rows.push(row),
            Err(err) => log::error!("a row is left out: {err}"),
        }
    }
    rows
}

/// Reports to the coordinator and learns from it until it is lost or is one no more. Returns the
/// term in which it will not act any more, if it says so.
async fn stay(node: &Arc<Node>, address: SocketAddr) -> Option<u64> {
    let mut failures = 0;
    let mut store = None;
    while failures < FAILURES {
        let Ok(client) = peers::connect(address, CONNECT).await else {
            failures += 1;
            tokio::time::sleep(PAUSE / 2).await;
            continue;
        };
        loop {
            match exchange(node, &client, store.take()).await {
                None => {
                    failures += 1;
                    break;
                }
                Some(news) => {
                    failures = 0;
                    let (coordinator, resigned) = (news.coordinator, news.resigned);
                    let needs_heir = news.needs_heir;
                    learn(node, news);
                    if coordinator != Some(address) {
                        return resigned;
                    }
                    if needs_heir {
                        store = Some(Sight::read(node).await.is_some());
                        if store == Some(false) {
                            tokio::time::sleep(PAUSE).await;
                        }
                    }
                }
            }
        }
    }
    log::warn!(coordinator:% = address; "the coordinator does not answer");
    None
}

/// One report and its answer; urgent reports go out beside it.
async fn exchange(
    node: &Arc<Node>,
    client: &CoordinationClient,
    store: Option<bool>,
) -> Option<News> {
    let call = call(node, client, store, WAIT);
    tokio::pin!(call);
    loop {
        tokio::select! {
            news = &mut call => return news,
            () = node.report_soon.notified() => {
                let news = self::call(node, client, None, Duration::ZERO).await?;
                learn(node, news);
                tokio::time::sleep(SOON).await;
            }
        }
    }
}

async fn call(
    node: &Node,
    client: &CoordinationClient,
    store: Option<bool>,
    wait: Duration,
) -> Option<News> {
    let report = report(node, store, wait);
    let crashes = report.crashes.clone();
    let mut context = context::current();
    let limit = wait + ANSWER;
    context.deadline = std::time::Instant::now() + limit;
    match tokio::time::timeout(limit, client.sync(context, report)).await {
        Ok(Ok(news)) => return Some(news),
        Ok(Err(err)) => log::debug!("a report failed: {err}"),
        Err(_) => log::debug!("a report was not answered in time"),
    }
    // The next report repeats them; a crash that is reported twice counts once.
    node.poison.put_back(crashes);
    None
}

fn report(node: &Node, store: Option<bool>, wait: Duration) -> Report {
    let (span_ms, loads) = loads::collect(node);
    Report {
        host: node.info.clone(),
        serves: !*node.stopping.borrow(),
        known: node.feed().position(),
        span_ms,
        loads,
        crashes: node.poison.take_seen(),
        store,
        wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
    }
}

fn learn(node: &Node, news: News) {
    let in_step = node.clock.now().saturating_sub(news.age_ms);
    node.follow(news);
    node.set_in_step(in_step);
}

/// Learns from any host that answers, while neither the store nor the coordinator does.
async fn ask_neighbours(node: &Arc<Node>) {
    let hosts = node.hosts.load_full();
    for host in hosts.iter() {
        if host.name == node.info.name {
            continue;
        }
        let Ok(client) = peers::connect(host.peer, CONNECT).await else {
            continue;
        };
        let Some(news) = call(node, &client, None, Duration::ZERO).await else {
            continue;
        };
        let coordinator = news.coordinator;
        learn(node, news);
        if coordinator.is_some() {
            node.set_coordinator(coordinator);
            return;
        }
    }
}

#[cfg(test)]
mod tests;
