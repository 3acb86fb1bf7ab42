//! Watches the rows that the operator and the targets write to the store.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use coordinator::Millis;

use crate::{
    node::{NewsSource, Node},
    peers::Event,
    ports::{Read, Revision, StoreError, Topic, Update},
    state::{CatalogMark, Evacuation, SyncPoint},
};

/// How long the store holds a watch while there are no updates. A connection that went silent is
/// noticed after this time, and no host knows more recently what the store has accepted.
const WATCH_TIMEOUT: Duration = Duration::from_millis(500);

/// How long the store holds a call that only reads what has changed so far.
const NO_WAIT: Duration = Duration::from_millis(1);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// When each topic was last in sync with the store.
#[derive(Debug, Default)]
pub struct SyncTimes {
    /// By topic; `None` before the first read.
    points: Mutex<[Option<SyncPoint>; 2]>,
}

impl SyncTimes {
    /// Records an answer of the store, with its time in it, to a call that was sent at `sent`.
    /// Returns up to when the topic is known, and passes that on to the node.
    fn record(&self, node: &Node, topic: Topic, sent: Millis, store_ms: Millis) -> Millis {
        let mut points = self.points.lock().expect("lock is not poisoned");
        let point = match points[topic as usize] {
            Some(before) => before.next(sent, node.clock.now(), store_ms),
            None => SyncPoint::new(sent, store_ms),
        };
        points[topic as usize] = Some(point);
        if topic == Topic::Targets {
            node.set_targets_synced_at(point.at());
        }
        if let [Some(catalog), Some(targets)] = *points {
            node.set_synced_at(catalog.at().min(targets.at()));
        }
        point.at()
    }
}

/// Keeps a topic up to date; never returns.
pub async fn watch(node: Arc<Node>, topic: Topic, sync_times: Arc<SyncTimes>) {
    let mut rev = None;
    let mut outage: Option<Millis> = None;
    let mut read_again_at: Option<Millis> = None;
    loop {
        let sent = node.clock.now();
        let mut wait = WATCH_TIMEOUT;
        if let Some(at) = read_again_at {
            wait = wait.min(Duration::from_millis(at.saturating_sub(sent)));
            rev = rev.filter(|_| sent < at);
        }
        let read = match rev {
            None => node.store.read(topic).await,
            Some(rev) => node.store.watch(topic, rev, wait).await,
        };
        match read {
            Ok(read) => {
                let complete = rev.is_none();
                // A watch that returns no changes may have missed some, so the next one continues
                // from the last revision received: the store then delivers what was missed, or
                // reports that its history is gone.
                rev = if complete {
                    Some(read.rev)
                } else {
                    read.last_rev.max(rev)
                };
                let unreadable = read.unreadable > 0;
                let store_ms = read.store_ms;
                let again_at = apply(&node, topic, read, complete);
                if complete || again_at.is_some() {
                    read_again_at = again_at;
                }
                let at = sync_times.record(&node, topic, sent, store_ms);
                if topic == Topic::Catalog && !unreadable {
                    confirm_catalog(&node, rev, at);
                }
                outage = None;
                if unreadable {
                    // An unreadable change does not advance the watch, which returns at once.
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
            Err(StoreError::HistoryGone) => rev = None,
            Err(err) => {
                if outage.is_none() {
                    log::warn!("the store cannot be watched: {err}");
                    outage = Some(sent);
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Reads a topic once; returns whether the read succeeded.
pub async fn read_once(node: &Node, topic: Topic) -> bool {
    match node.store.read(topic).await {
        Ok(read) => {
            apply(node, topic, read, true);
            true
        }
        Err(err) => {
            log::debug!("the store cannot be read: {err}");
            false
        }
    }
}

/// Brings the configuration up to date; returns whether that succeeded. The configuration may be
/// large, so it is read only if it changed after the revision up to which it is known, as long as
/// the store still has its history.
pub async fn read_catalog_changes(node: &Node) -> bool {
    let sent = node.clock.now();
    let known = node.catalog.mark().and_then(|it| it.rev);
    let read = match known {
        Some(rev) => node.store.watch(Topic::Catalog, rev, NO_WAIT).await,
        None => node.store.read(Topic::Catalog).await,
    };
    let (read, known) = match read {
        Err(StoreError::HistoryGone) => (node.store.read(Topic::Catalog).await, None),
        read => (read, known),
    };
    match read {
        Ok(read) => {
            let rev = match known {
                Some(known) => read.last_rev.max(Some(known)),
                None => Some(read.rev),
            };
            let unreadable = read.unreadable > 0;
            apply(node, Topic::Catalog, read, known.is_none());
            // A row that is not readable may be a newer version.
            if !unreadable {
                confirm_catalog(node, rev, sent);
            }
            true
        }
        Err(err) => {
            log::debug!("the configuration cannot be read: {err}");
            false
        }
    }
}

/// Records that the store has no newer version than the one in force up to `rev`. After the store
/// has come back from a copy, the version in force may be newer than the store's.
fn confirm_catalog(node: &Node, rev: Option<Revision>, at: Millis) {
    if let Some(version) = node.catalog.version() {
        node.catalog.confirm(CatalogMark { version, rev }, at);
    }
}

/// Brings the targets up to date; returns whether that succeeded. Only what changed after the latest
/// known revision is read, as long as the store still has it: coordinators send changes in the order
/// of their revisions, so that nothing earlier is missing.
pub async fn read_target_changes(node: &Node) -> bool {
    let known = node.targets().latest_rev();
    let Some(rev) = known.filter(|_| !node.must_list_targets()) else {
        return read_once(node, Topic::Targets).await;
    };
    match node.store.watch(Topic::Targets, rev, NO_WAIT).await {
        Ok(read) => {
            apply(node, Topic::Targets, read, false);
            true
        }
        Err(StoreError::HistoryGone) => read_once(node, Topic::Targets).await,
        Err(err) => {
            log::debug!("changes of targets cannot be read: {err}");
            false
        }
    }
}

/// Applies the result of a read. While targets may register again, removals are left out; returns
/// when the whole list must be read again then.
fn apply(node: &Node, topic: Topic, read: Read, complete: bool) -> Option<Millis> {
    node.on_generation(read.rev.generation);
    let complete_at = node.targets_complete_at();
    let may_return = node.clock.now() < complete_at;
    let mut read_again = false;
    let mut events = Vec::new();
    let mut names = Vec::new();
    let mut evacuated = Vec::new();
    for record in read.records {
        match record.update {
            Update::Catalog(catalog) => node.adopt_catalog(catalog, NewsSource::Store),
            Update::Evacuation(place, active) => {
                if active {
                    evacuated.push(Arc::clone(&place));
                }
                events.push(evacuation(node, place, record.rev, active));
            }
            Update::Target(name, None) if may_return && node.targets().get(&name).is_some() => {
                node.leave_out_removals();
                read_again = true;
            }
            Update::Target(name, entry) => {
                names.push(Arc::clone(&name));
                events.push(Event::Target(name, record.rev, entry));
            }
        }
    }
    if complete && topic == Topic::Targets {
        // Other hosts may know targets that left while there was no coordinator.
        events.push(Event::Listed(names, read.rev));
        read_again |= may_return;
    }
    if complete && topic == Topic::Catalog {
        let restored_until = node.targets().complete_at();
        if node.clock.now() < restored_until {
            // The copy may be older than an evacuation, which the operator may repeat.
            read_again = true;
        } else if read.unreadable == 0 {
            // Other hosts may know evacuations that ended while there was no coordinator. A row that
            // is not readable may be one that did not end.
            events.push(Event::Evacuated(evacuated, read.rev));
        }
    }
    node.announce(events);
    read_again.then_some(complete_at)
}

/// The news that a data centre is evacuated or in use again. The store may have accepted that just
/// after this host last knew what the operator has written.
fn evacuation(node: &Node, place: Arc<str>, rev: Revision, active: bool) -> Event {
    Event::Evacuation(Evacuation {
        place,
        rev,
        active,
        age_ms: node.catalog_age_ms(),
    })
}

#[cfg(test)]
mod tests;
