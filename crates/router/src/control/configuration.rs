//! Fetches versions of the configuration that this host has heard of but does not have.
//!
//! A version can be large compared with what the links of a host carry. Hosts of a data centre other
//! than the coordinator's fetch it from one of them, the relay, so that it crosses the link between
//! regions once for each data centre.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use smallvec::SmallVec;

use super::watch::read_catalog_changes;
use crate::{
    node::{CatalogSource, Node},
    peers::{CatalogAnswer, CatalogQuery, HostInfo, PeerClient},
};

/// Name under which the hosts of a data centre are ranked as its relay.
const RELAY: &str = "configuration";

/// Longest wait for a connection to another host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest wait of the relay for a version that it does not have yet. Fetching it takes the relay
/// two round trips between regions and the transfer.
const RELAY_WAIT: Duration = Duration::from_millis(500);

/// Longest wait until the relay, which is in the same data centre, begins to answer.
const RELAY_TIMEOUT: Duration = Duration::from_millis(900);

/// Longest wait until the coordinator begins to answer.
const COORDINATOR_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after the first failed attempt. It doubles with each further one, so that hosts that cannot
/// get a version do not use up their links.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Failed attempts that lengthen the pause.
const MAX_DOUBLINGS: u32 = 3;

/// Longest wait of a host for the relay's answer whether there is a new version.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Greatest age in milliseconds of the relay's knowledge that spares a host its own read of the
/// store; the relay reads it every 500 ms.
const MAX_RELAY_AGE_MS: u64 = 1_000;

/// Fetches each version that is announced; never returns.
pub async fn fetch_announced(node: Arc<Node>) {
    let mut announced = node.catalog.subscribe();
    let mut failures = 0;
    loop {
        let wanted = *announced.borrow_and_update();
        if node.catalog.version() >= wanted {
            failures = 0;
            // The sender belongs to the node, so the wait cannot fail.
            let _ = announced.changed().await;
            continue;
        }
        if fetch(&node, wanted).await {
            continue;
        }
        log::warn!(version = wanted, failures; "a version of the configuration could not be fetched");
        let pause = RETRY_PAUSE * 2_u32.pow(failures);
        failures = (failures + 1).min(MAX_DOUBLINGS);
        tokio::time::sleep(pause.mul_f64(rand::random::<f64>() + 0.5)).await;
    }
}

/// Fetches `wanted` from the relay or the coordinator, or else from the store; returns whether this
/// host has it then.
async fn fetch(node: &Node, wanted: Option<u64>) -> bool {
    let query = CatalogQuery {
        known: node.catalog.version(),
        wanted,
        wait_ms: 0,
    };
    let mut sources: SmallVec<[(SocketAddr, CatalogQuery, Duration); 2]> = SmallVec::new();
    if let Some(relay) = relay(node) {
        let wait_ms = u32::try_from(RELAY_WAIT.as_millis()).unwrap_or(u32::MAX);
        let query = CatalogQuery { wait_ms, ..query };
        sources.push((relay.peer, query, RELAY_TIMEOUT));
    }
    if let Some(coordinator) = node.coordinator().filter(|it| *it != node.info.peer) {
        sources.push((coordinator, query, COORDINATOR_TIMEOUT));
    }
    for (address, query, timeout) in sources {
        if let Some(answer) = ask(address, query, timeout).await {
            adopt(node, answer);
        }
        if node.catalog.version() >= wanted {
            return true;
        }
    }
    read_catalog_changes(node).await && node.catalog.version() >= wanted
}

/// Asks the relay whether there is a new version; returns whether its answer spares this host a read
/// of the store.
pub async fn ask_relay(node: &Node) -> bool {
    let Some(relay) = relay(node) else {
        return false;
    };
    let query = CatalogQuery {
        known: node.catalog.version(),
        wanted: None,
        wait_ms: 0,
    };
    match ask(relay.peer, query, CHECK_TIMEOUT).await {
        Some(answer) if answer.age_ms <= MAX_RELAY_AGE_MS => adopt(node, answer),
        _ => false,
    }
}

/// The host of this data centre that fetches versions for the others; `None` if this host is the
/// relay, or the coordinator is in this data centre.
fn relay(node: &Node) -> Option<HostInfo> {
    let hosts = node.hosts.load();
    let coordinator = node.coordinator();
    let is_near = |it: &HostInfo| Some(it.peer) == coordinator && it.place == node.info.place;
    if hosts.iter().any(is_near) {
        return None;
    }
    let now = node.clock.now();
    let mut ranked = hosts.ranked(&node.info.place, RELAY).into_iter();
    let relay = ranked.find(|it| !node.suspects.is_suspect(&it.name, now))?;
    (relay.name != node.info.name).then(|| relay.clone())
}

async fn ask(address: SocketAddr, query: CatalogQuery, limit: Duration) -> Option<CatalogAnswer> {
    let client = PeerClient::connect(address, CONNECT_TIMEOUT).await.ok()?;
    match client.catalog(query, limit).await {
        Ok(answer) => Some(answer),
        Err(err) => {
            log::debug!("{address} did not answer a request for the configuration: {err}");
            None
        }
    }
}

/// Puts the version of an answer in force; returns whether this host has it then.
fn adopt(node: &Node, answer: CatalogAnswer) -> bool {
    if let Some(update) = answer.update {
        let Some(catalog) = node.catalog.resolve(update) else {
            return false;
        };
        node.adopt_catalog(catalog, CatalogSource::Host);
    }
    let Some(mark) = answer.mark else {
        return false;
    };
    let checked_at = node.clock.now().saturating_sub(answer.age_ms);
    node.catalog.confirm(mark, checked_at);
    node.catalog.version() >= Some(mark.version)
}

#[cfg(test)]
mod tests;
