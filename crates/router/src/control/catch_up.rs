//! Reads the store directly while no news comes from the coordinator.

use std::{sync::Arc, time::Duration};

use super::{follow, watch::read_once};
use crate::{node::Node, ports::Topic};

/// Age of this host's knowledge from which it reads the store itself. The coordinator's own watch
/// of the store is up to 1 s old when it is answered.
const STALE_MS: u64 = 1_500;

/// Interval of the reads.
const INTERVAL: Duration = Duration::from_millis(500);

/// Keeps this host's knowledge from growing old, for ever.
pub async fn catch_up(node: Arc<Node>) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        if node.age_ms() < STALE_MS {
            continue;
        }
        let sent = node.clock.now();
        let catalog = read_once(&node, Topic::Catalog).await;
        if catalog && read_once(&node, Topic::Targets).await {
            follow::read_slices(&node).await;
            node.set_in_step(sent);
        }
    }
}
