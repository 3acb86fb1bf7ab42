//! Replaces sponsor lists whose majority is lost.

use std::{sync::Arc, time::Duration};

use futures::future::join_all;
use ownership::{TargetId, TargetRow};
use platform::{Commit, Condition, Write};

use super::LOST_MS;
use crate::{changes, clock::Millis, driver, host::Host, inputs, view::View};

/// Time without an answer after which a host is pinged. Shorter than the interval of pings, so that
/// a host is pinged each time unless it answers other calls, such as requests for votes.
const PING_MS: Millis = 500;

/// Watches for sponsor lists whose majority is lost, until the process ends.
pub async fn run_guard(host: Arc<Host>) {
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let Some(view) = host.view.load_full() else {
            continue;
        };
        if !host.is_confirmed() || host.is_stopping() {
            continue;
        }
        let own = view.region_name(&host.settings.data_centre);
        let mates = host.other_hosts();
        let now = host.clock.now();
        let mates = mates.iter().filter(|it| {
            let answered = host.peers.answered(&it.name);
            view.region_name(&it.place) == own && answered.is_none_or(|at| at + PING_MS <= now)
        });
        join_all(mates.map(|it| host.peers.ping(&host, it))).await;
        replace_lost(&host, &view).await;
    }
}

/// Writes new sponsor lists for targets of this region whose majority is lost, if this host ranks
/// first among the live ones.
async fn replace_lost(host: &Arc<Host>, view: &View) {
    let now = host.clock.now();
    let hosts = inputs::hosts(host, view);
    let alive: Vec<_> = hosts
        .into_iter()
        .filter(|it| {
            it.name == host.settings.host
                || host
                    .peers
                    .answered(&it.name)
                    .is_some_and(|at| at + LOST_MS > now)
        })
        .collect();
    if now < LOST_MS {
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
        let living = row
            .voters
            .iter()
            .filter(|it| alive.iter().any(|a| a.name == **it))
            .count();
        if living > row.voters.len() / 2 {
            continue;
        }
        let sponsors = placement::choose_voters(&target.name, &target.data_centre, &region, &alive);
        if sponsors.first() != Some(&host.settings.host) {
            continue;
        }
        log::warn!(
            service = &*id.service,
            target = &*id.target;
            "the majority of the target's sponsors is lost; writing a new list"
        );
        let row = row.force(Arc::clone(&host.settings.host), sponsors);
        let name = changes::target_name(&id);
        let commit = Commit {
            change: format!("force-{}-{rev}", host.settings.host),
            conditions: vec![Condition {
                row: name.clone(),
                rev,
            }],
            writes: vec![Write {
                row: name,
                value: serde_json::to_value(&row).expect("a target row serialises"),
            }],
        };
        driver::write(host, &commit).await;
    }
}
