//! Fetches versions of the configuration that this host has heard of but does not have.
//!
//! A version can be large compared with what the links of a host carry. Hosts of a data centre other
//! than the coordinator's fetch it from one of them, the relay, so that it crosses the link between
//! regions once for each data centre.

use std::{cmp::Reverse, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use futures::future::{Either, select};

use super::watch::read_catalog_changes;
use crate::{
    node::{NewsSource, Node},
    peers::{CatalogQuery, Event, GatewayNeed, HostInfo, PeerClient},
    state::Evacuation,
};

/// Name under which the hosts of a data centre are ranked as its relay.
const RELAY: &str = "configuration";

/// Longest wait for a connection to another host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest wait of the relay for a version that it does not have yet. Fetching it takes the relay
/// two round trips between regions and the transfer.
const RELAY_WAIT: Duration = Duration::from_millis(500);

/// Time after which the coordinator is asked as well, because the relay is slow or silent.
const RELAY_TIMEOUT: Duration = Duration::from_millis(800);

/// Longest wait until another host begins to answer.
const BEGIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Age of a relay's knowledge, when its answer arrives, up to which the answer spares this host a read
/// of the store.
const MAX_RELAYED_AGE_MS: u64 = 1_500;

/// Pause after the first failed attempt. It doubles with each further one, so that hosts that cannot
/// get a version do not use up their links.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Failed attempts that lengthen the pause.
const MAX_DOUBLINGS: u32 = 3;

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
        let pause = pause.mul_f64(rand::random::<f64>() + 0.5);
        // A newer version may be available from hosts that lack this one.
        let _ = tokio::time::timeout(pause, announced.changed()).await;
    }
}

/// Fetches `wanted` from the relay or the coordinator, or else from the store; returns whether this
/// host has it then.
async fn fetch(node: &Node, wanted: Option<u64>) -> bool {
    let query = CatalogQuery {
        known: node.catalog.version(),
        wanted,
        wait_ms: 0,
        fresh: false,
    };
    let wait_ms = u32::try_from(RELAY_WAIT.as_millis()).unwrap_or(u32::MAX);
    let relay = async {
        let query = CatalogQuery { wait_ms, ..query };
        match relay(node) {
            Some(relay) => ask(node, relay.peer, query)
                .await
                .is_some_and(|it| it >= wanted),
            None => false,
        }
    };
    let coordinator = async {
        match node.coordinator().filter(|it| *it != node.info.peer) {
            Some(address) => ask(node, address, query)
                .await
                .is_some_and(|it| it >= wanted),
            None => false,
        }
    };
    first_true(relay, coordinator, RELAY_TIMEOUT).await
        || (read_catalog_changes(node).await && node.catalog.version() >= wanted)
}

/// Runs `first`, and `second` too once `first` has failed or `delay` has passed; returns whether one
/// of them succeeds.
async fn first_true(
    first: impl Future<Output = bool>,
    second: impl Future<Output = bool>,
    delay: Duration,
) -> bool {
    let mut first = pin!(first);
    match tokio::time::timeout(delay, &mut first).await {
        Ok(true) => true,
        Ok(false) => second.await,
        Err(_) => {
            let second = pin!(second);
            match select(first, second).await {
                Either::Left((true, _)) | Either::Right((true, _)) => true,
                Either::Left((false, second)) => second.await,
                Either::Right((false, first)) => first.await,
            }
        }
    }
}

/// Asks the relay whether there is a new version; returns whether its answer spares this host a read
/// of the store. The relay reads the store first if it has not done so for a while.
pub async fn ask_relay(node: &Node) -> bool {
    let Some(relay) = relay(node) else {
        return false;
    };
    let wait_ms = u32::try_from(RELAY_WAIT.as_millis()).unwrap_or(u32::MAX);
    let query = CatalogQuery {
        known: node.catalog.version(),
        wanted: None,
        wait_ms,
        fresh: true,
    };
    let answer = tokio::time::timeout(RELAY_TIMEOUT, ask(node, relay.peer, query)).await;
    if !answer.is_ok_and(|it| it.is_some()) {
        // Without a coordinator, no one else says that the relay has been lost.
        node.suspects.suspect(&relay.name, node.clock.now());
        return false;
    }
    node.catalog_age_ms() <= MAX_RELAYED_AGE_MS
}

/// The host of this data centre that fetches versions for the others: one with the most power, which
/// has the best link. `None` if this host is the relay, or the coordinator is in this data centre.
fn relay(node: &Node) -> Option<HostInfo> {
    let hosts = node.hosts.load();
    let coordinator = node.coordinator();
    let is_near = |it: &HostInfo| Some(it.peer) == coordinator && it.place == node.info.place;
    if hosts.iter().any(is_near) {
        return None;
    }
    let now = node.clock.now();
    let ranked = hosts
        .ranked(&node.info.place, RELAY, GatewayNeed::default())
        .into_iter();
    let usable = ranked.filter(|it| !node.suspects.is_suspect(&it.name, now));
    let relay = usable.min_by_key(|it| Reverse(it.power))?;
    (relay.name != node.info.name).then(|| relay.clone())
}

/// Asks a host for the configuration and puts its answer in force. Returns the version of the host;
/// `None` if it did not answer or its answer cannot be used.
async fn ask(node: &Node, address: SocketAddr, query: CatalogQuery) -> Option<Option<u64>> {
    let asked = node.clock.now();
    let client = PeerClient::connect(address, CONNECT_TIMEOUT).await.ok()?;
    let answer = match client.catalog(query, BEGIN_TIMEOUT).await {
        Ok(answer) => answer,
        Err(err) => {
            log::debug!("{address} did not answer a request for the configuration: {err}");
            return None;
        }
    };
    // Evacuations hold whether the version can be used or not.
    let way_ms = node.clock.now().saturating_sub(asked);
    let evacuations = answer.evacuations.into_iter().map(|it| {
        Event::Evacuation(Evacuation {
            age_ms: it.age_ms + way_ms,
            ..it
        })
    });
    node.announce_from(evacuations.collect(), NewsSource::Host);
    if let Some(update) = answer.update {
        let catalog = node.catalog.resolve(update)?;
        node.adopt_catalog(catalog, NewsSource::Host);
    }
    if let Some(mark) = answer.mark {
        // The answer may have been on its way for long, but the host has known this since the call.
        node.catalog
            .confirm(mark, asked.saturating_sub(answer.age_ms));
    }
    Some(answer.mark.map(|it| it.version))
}

#[cfg(test)]
mod tests;
