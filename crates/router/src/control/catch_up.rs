//! Reads the store directly while no coordinator sends updates.

use std::{sync::Arc, time::Duration};

use coordinator::Millis;

use super::{
    configuration, follow,
    watch::{read_catalog_changes, read_target_changes},
};
use crate::{gateway::checked_after_ms, node::Node};

/// Staleness from which this host reads the store itself. It exceeds the time for which the
/// coordinator's own watch of the store may be outstanding, and a report after that.
const STALE_MS: u64 = 1_500;

/// Time that is left to read the list of targets before requests to a target without recent answers
/// have to be preceded by a health check.
const READ_TIME_MS: Millis = 500;

/// Interval of the store reads.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Longest pause after failed reads of the list of targets. A store that is away gets fewer calls, and
/// the targets are asked themselves meanwhile.
const MAX_READ_PAUSE: Duration = Duration::from_secs(2);

/// Shortest time between two reads, also when other hosts ask for the newest configuration.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(200);

/// Shortest time between two reads of the owners of keys. Only a coordinator changes them, so they
/// change without the knowledge of this host only while it is cut off from the coordinator.
const SLICES_INTERVAL_MS: u64 = 3_000;

/// Bounds the staleness of this host's list of targets; never returns.
///
/// The list does not wait for the configuration, whose versions may be large: requests must not reach
/// a target longer than `drain_s` after the store has accepted that it leaves.
pub async fn catch_up_targets(node: Arc<Node>) {
    let stale_ms = targets_stale_ms(node.drain_ms());
    let mut pause = READ_INTERVAL;
    loop {
        let fresh_for = stale_ms.saturating_sub(node.targets_age_ms());
        tokio::time::sleep(Duration::from_millis(fresh_for)).await;
        if node.targets_age_ms() < stale_ms {
            continue;
        }
        let read_again = tokio::time::Instant::now() + pause;
        let sent = node.clock.now();
        if read_target_changes(&node).await {
            node.set_targets_synced_at(sent);
            pause = READ_INTERVAL;
        } else {
            tokio::time::sleep_until(read_again).await;
            pause = MAX_READ_PAUSE.min(pause * 2);
        }
    }
}

/// Bounds the staleness of this host's configuration and owners of keys; never returns.
///
/// Without a coordinator every host asks for changes of the configuration in each interval, so that a
/// new version takes effect in time: one host of each data centre asks the store, and the others ask
/// that host, because a version may be large. The owners of keys are a long list that all hosts would
/// fetch over the same links, so they are read less often.
pub async fn catch_up(node: Arc<Node>) {
    let mut slices_read: Option<Millis> = None;
    let mut slices_rev = None;
    loop {
        let read_again = tokio::time::Instant::now() + READ_INTERVAL;
        tokio::time::sleep(MIN_READ_INTERVAL).await;
        let refresh = tokio::time::timeout_at(read_again, node.refresh_soon.notified()).await;
        if node.must_list_targets() && node.coordinator().is_some() {
            read_target_changes(&node).await;
        }
        let stale = node.age_ms() >= STALE_MS;
        if !stale && refresh.is_err() && node.coordinator().is_some() {
            continue;
        }
        let sent = node.clock.now();
        let read = configuration::ask_relay(&node).await || read_catalog_changes(&node).await;
        let read_at = match node.catalog.version() {
            Some(_) => sent.min(node.catalog.checked_at()),
            None => sent,
        };
        if !stale || !read || node.targets_synced_at().is_none() {
            continue;
        }
        let slices_read_at = *slices_read.get_or_insert_with(|| sent.saturating_sub(delay_ms()));
        if sent >= slices_read_at + SLICES_INTERVAL_MS {
            slices_rev = follow::read_slices(&node, slices_rev).await;
            slices_read = Some(sent);
        }
        node.set_synced_at(read_at);
    }
}

/// Age from which the list of targets is read, given the time for which a leaving target serves.
fn targets_stale_ms(drain_ms: Millis) -> Millis {
    STALE_MS.max(checked_after_ms(drain_ms).saturating_sub(READ_TIME_MS))
}

/// A random part of the time between two reads of the owners of keys, so that hosts that lose the
/// coordinator together do not all read them at once.
fn delay_ms() -> Millis {
    rand::random_range(0..SLICES_INTERVAL_MS)
}

#[cfg(test)]
mod tests;
