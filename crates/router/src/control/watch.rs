//! Watches what the operator and the targets write to the store.

use std::{sync::Arc, time::Duration};

use crate::{
    node::Node,
    ports::{Read, StoreError, Topic, Update},
};

/// How long the store holds a watch without news. A watch on a connection that went silent is
/// noticed after this time.
const WAIT: Duration = Duration::from_secs(2);

/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(250);

/// Keeps the configuration up to date.
pub async fn watch_catalog(node: Arc<Node>) {
    watch(&node, Topic::Catalog).await;
}

/// Keeps the list of targets up to date.
pub async fn watch_targets(node: Arc<Node>) {
    watch(&node, Topic::Targets).await;
}

async fn watch(node: &Node, topic: Topic) {
    let mut rev = None;
    loop {
        let read = match rev {
            None => node.store.read(topic).await,
            Some(rev) => node.store.watch(topic, rev, WAIT).await,
        };
        match read {
            Ok(read) => {
                let complete = rev.is_none();
                rev = Some(read.rev);
                apply(node, topic, read, complete);
            }
            Err(StoreError::HistoryGone) => rev = None,
            Err(err) => {
                log::debug!("the store cannot be read: {err}");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

fn apply(node: &Node, topic: Topic, read: Read, complete: bool) {
    let now = node.clock.now();
    let mut names = Vec::new();
    let mut changed = false;
    for record in read.records {
        match record.update {
            Update::Catalog(catalog) => {
                let known = node.catalog.load().as_ref().map(|it| it.version());
                if known.is_none_or(|it| it < catalog.version()) {
                    log::info!(version = catalog.version(); "a configuration is in force");
                    node.catalog.store(Some(catalog));
                    changed = true;
                }
            }
            Update::Target(name, entry) => {
                changed |= node.targets_mut().apply(&name, record.rev, entry, now);
                names.push(name);
            }
        }
    }
    if complete && topic == Topic::Targets {
        let mut targets = node.targets_mut();
        for name in targets.missing_from(&names, read.rev) {
            changed |= targets.apply(&name, read.rev, None, now);
        }
    }
    if changed {
        node.changed.notify_waiters();
    }
}
