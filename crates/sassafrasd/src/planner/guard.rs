//! Replaces voter lists whose majority is lost.

use std::{sync::Arc, time::Duration};

use futures::future::join_all;
use ownership::{TargetId, TargetRow};
use platform::{Commit, Condition, Write};

use super::HOST_TIMEOUT_MS;
use crate::{changes, clock::Millis, driver, host::Host, inputs, view::View};

/// Time without an answer after which a host is pinged. Shorter than the interval of the check, so
/// that a host is pinged at each check unless it answers other calls, such as requests for votes.
const PING_AFTER_MS: Millis = 500;

/// Checks for voter lists whose majority is lost, until the process ends.
pub async fn run_voter_guard(host: Arc<Host>) {
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let Some(view) = host.view.load_full() else {
            continue;
        };
        if !host.is_confirmed() || host.is_stopping() {
            continue;
        }
        let own = view.region_name(&host.settings.data_centre);
        let neighbours = host.other_hosts();
        let now = host.clock.now();
        let neighbours = neighbours.iter().filter(|it| {
            let last_answer = host.peers.last_answer(&it.name);
            view.region_name(&it.place) == own
                && last_answer.is_none_or(|at| at + PING_AFTER_MS <= now)
        });
        join_all(neighbours.map(|it| host.peers.ping(&host, it))).await;
        replace_lost_lists(&host, &view).await;
    }
}

/// Writes new voter lists for targets of this region whose majority is lost, if this host ranks
/// first among the live ones.
async fn replace_lost_lists(host: &Arc<Host>, view: &View) {
    let now = host.clock.now();
    let hosts = inputs::hosts(host, view);
    let live_hosts: Vec<_> = hosts
        .into_iter()
        .filter(|it| {
            it.name == host.settings.host
                || host
                    .peers
                    .last_answer(&it.name)
                    .is_some_and(|at| at + HOST_TIMEOUT_MS > now)
        })
        .collect();
    // The other hosts must have had the whole timeout to answer this process.
    if now < HOST_TIMEOUT_MS {
        return;
    }
    let rows: Vec<(TargetId, u64, TargetRow)> = {
        let table = host.table();
        table
            .targets()
            .map(|(id, rev, row)| (id.clone(), rev, row.clone()))
            .collect()
    };
    let own = view.region_name(&host.settings.data_centre);
    for (id, rev, row) in rows {
        let Some((_, target)) = view.target(&id.service, &id.target) else {
            continue;
        };
        let region = view.region_name(&target.data_centre);
        if region != own {
            continue;
        }
        let live_voters = row
            .voters
            .iter()
            .filter(|it| live_hosts.iter().any(|host| host.name == **it))
            .count();
        if live_voters > row.voters.len() / 2 {
            continue;
        }
        let voters =
            placement::choose_voters(&target.name, &target.data_centre, &region, &live_hosts);
        if voters.first() != Some(&host.settings.host) {
            continue;
        }
        log::warn!(
            service = &*id.service,
            target = &*id.target;
            "the majority of the target's voters is lost; writing a new list"
        );
        let row = row.force(Arc::clone(&host.settings.host), voters);
        let name = changes::target_name(&id);
        let commit = Commit {
            change: format!("force-{}-{rev}", host.settings.host),
            conditions: vec![Condition {
                row: name.clone(),
                rev,
            }],
            writes: vec![Write {
                row: name,
                value: serde_json::to_value(&row).expect("target rows are serialisable"),
            }],
        };
        driver::write(host, &commit).await;
    }
}
