//! Reads the store directly while no news comes from a coordinator.

use std::{sync::Arc, time::Duration};

use super::{follow, watch::read_once};
use crate::{node::Node, ports::Topic};

/// Age of this host's knowledge from which it reads the store itself. The coordinator's own watch
/// of the store is up to 1 s old when it is answered.
const STALE_MS: u64 = 1_500;

/// Interval of the reads.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Keeps this host's knowledge from growing old, for ever.
///
/// Without a coordinator every host reads the configuration, which is one row, in each interval, so
/// that it is in force in time. The targets and the owners of keys are long lists, which all hosts
/// would fetch over the same links, so they are read only when they are old.
pub async fn catch_up(node: Arc<Node>) {
    loop {
        tokio::time::sleep(READ_INTERVAL).await;
        let stale = node.age_ms() >= STALE_MS;
        if !stale && node.coordinator().is_some() {
            continue;
        }
        let sent = node.clock.now();
        let read = read_once(&node, Topic::Catalog).await;
        if stale && read && read_once(&node, Topic::Targets).await {
            follow::read_slices(&node).await;
            node.set_synced_at(sent);
        }
    }
}

#[cfg(test)]
mod tests;
