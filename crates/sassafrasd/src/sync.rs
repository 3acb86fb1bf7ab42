//! Keeps the host's copy of the table and the membership list up to date.

use std::{sync::Arc, time::Duration};

use ownership::{Merge, TableRow};
use peer::Reach;
use platform::{Members, PlatformError, Row};

use crate::{host::Host, view::View};

/// Interval of reads of the store. Ten hosts cause 20 of the 2,000 reads a second that it serves.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Interval of reads of the membership list.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which a host that cannot read the store copies updates from a peer.
const PEER_INTERVAL: Duration = Duration::from_secs(1);

/// Name of the object with the newest snapshot of the table.
pub const SNAPSHOT: &str = "snapshot";

/// Polls the membership list until the process ends. The list is sent only if it has changed,
/// because it takes 42 KB in a deployment of 550 nodes.
pub async fn run_members(host: Arc<Host>) {
    let mut tag = None;
    loop {
        match host.platform.changed_members(&mut tag).await {
            Ok(Some(members)) => {
                host.members.store(Arc::new(members));
                host.wake.notify_one();
            }
            Ok(None) => {}
            Err(err) => {
                // A list that is copied from a peer meanwhile has a different tag.
                tag = None;
                log::debug!("the membership list cannot be read: {err}");
            }
        }
        tokio::time::sleep(MEMBERS_INTERVAL).await;
    }
}

/// Reads the store periodically until the process ends. If that fails, copies updates from peers,
/// and reads the snapshot for as long as the host is not ready.
pub async fn run(host: Arc<Host>) {
    let mut failures: u32 = 0;
    loop {
        let began = host.clock.now();
        match read_store(&host).await {
            Ok(()) => {
                failures = 0;
                host.confirm(began);
                if !host.is_ready() {
                    log::info!(rev = host.cursor(); "the table was read from the store");
                }
                host.set_ready();
                host.wake.notify_one();
            }
            Err(err) => {
                failures = failures.saturating_add(1);
                if failures == 1 {
                    log::warn!("the store cannot be read, so updates are copied from peers: {err}");
                }
                copy_from_peers(&host).await;
                if !host.is_ready() {
                    read_snapshot(&host).await;
                }
            }
        }
        // Jitter keeps the hosts from reading the store all at once after an outage.
        let jitter = rand::random_range(0.8..1.2);
        let pause = if failures == 0 {
            READ_INTERVAL
        } else {
            PEER_INTERVAL
        };
        let _ = tokio::time::timeout(pause.mul_f64(jitter), host.read_soon.notified()).await;
    }
}

/// Merges rows into the table and puts a new document in force. Returns the rows that were new.
pub fn merge(host: &Host, rows: Vec<TableRow>) -> Vec<TableRow> {
    let mut fresh = Vec::new();
    let mut table = host.table_mut();
    for row in rows {
        match table.merge(&row) {
            Ok(Merge::Changed) => fresh.push(row),
            Ok(Merge::Stale) => {}
            Err(err) => log::error!("row {} cannot be used: {err}", row.name),
        }
    }
    let document = table.document().filter(|it| {
        host.view
            .load()
            .as_ref()
            .is_none_or(|view| view.version < it.version)
    });
    if let Some(row) = document {
        load_document(host, row.version, &row.text);
    }
    drop(table);
    if !fresh.is_empty() {
        host.record_table_change();
    }
    fresh
}

/// Converts a row of the store.
pub fn table_row(row: Row) -> TableRow {
    let value = if row.value.is_null() {
        None
    } else {
        Some(Arc::from(row.value.to_string()))
    };
    TableRow {
        name: Arc::from(row.row),
        rev: row.rev,
        value,
    }
}

fn load_document(host: &Host, version: u64, text: &str) {
    match document::parse(text) {
        Ok(document) => {
            let view = View::new(version, document);
            let now = host.clock.now();
            host.update_quarantines(now, &view);
            host.view.store(Some(Arc::new(view)));
            log::info!(version = version; "document in force");
        }
        Err(problems) => {
            log::error!(version = version, problems = problems.len(); "document is not valid and is not put in force");
        }
    }
}

async fn read_store(host: &Arc<Host>) -> Result<(), PlatformError> {
    loop {
        let after = host.cursor();
        let page = host.platform.rows_after(after).await?;
        let more = page.more;
        let last = page.rows.last().map_or(page.rev, |it| it.rev);
        merge(host, page.rows.into_iter().map(table_row).collect());
        host.advance_cursor(if more { last } else { page.rev });
        if !more {
            return Ok(());
        }
        if last <= after {
            let text = format!("a page after revision {after} ends at revision {last}");
            return Err(PlatformError::Answer(text));
        }
    }
}

/// Copies updates from a peer while the store cannot be read.
async fn copy_from_peers(host: &Arc<Host>) {
    let mut addresses: Vec<_> = host
        .other_hosts()
        .into_iter()
        .filter_map(|it| it.peer)
        .collect();
    addresses.extend(
        host.settings
            .seeds
            .iter()
            .filter(|it| **it != host.settings.peer),
    );
    if addresses.is_empty() {
        return;
    }
    let start = rand::random_range(0..addresses.len());
    addresses.rotate_left(start);
    if host.is_ready() {
        addresses.truncate(1);
    }
    for address in addresses {
        let Some(copy) = host.peers.rows_after(address, host.cursor()).await else {
            continue;
        };
        merge(host, copy.rows);
        host.adopt(copy.adoptions);
        use_peer_members(host, &copy.members);
        for target in copy.unreachable {
            host.set_reach(target, Reach::Unreachable);
        }
        if !copy.ready {
            continue;
        }
        host.advance_cursor(copy.rev);
        if !host.is_ready() {
            log::info!(rev = copy.rev; "the table was copied from a ready peer");
        }
        host.set_ready();
        return;
    }
}

/// Uses a peer's membership list if this host has none.
fn use_peer_members(host: &Host, json: &str) {
    if !host.members.load().members.is_empty() {
        return;
    }
    match serde_json::from_str::<Members>(json) {
        Ok(members) => host.members.store(Arc::new(members)),
        Err(err) => log::warn!("the membership list of a peer cannot be used: {err}"),
    }
}

/// Reads the snapshot, so that the host knows its peers' targets as soon as it becomes ready. The
/// snapshot alone does not make it ready.
async fn read_snapshot(host: &Arc<Host>) {
    if host.cursor() > 0 {
        return;
    }
    let bytes = match host.platform.object(SNAPSHOT).await {
        Ok(Some(bytes)) => bytes,
        Ok(None) => return,
        Err(err) => {
            log::debug!("the snapshot cannot be read: {err}");
            return;
        }
    };
    match serde_json::from_slice::<Vec<TableRow>>(&bytes) {
        Ok(rows) => {
            merge(host, rows);
        }
        Err(err) => log::warn!("the snapshot cannot be used: {err}"),
    }
}

#[cfg(test)]
mod tests;
