//! The planner: balances load, creates rows, replaces voter lists and stores snapshots.
//!
//! Only the holder of an advisory lease plans. Two planners at once duplicate work but are safe,
//! because every change is a conditional commit or a request to the gateway.

mod create;
mod guard;
mod lease;
mod orders;

use std::{collections::HashMap, sync::Arc, time::Duration};

use futures::future::join_all;
use peer::LoadSummary;
use placement::PlannerState;

pub use self::guard::run_voter_guard;
use self::lease::Lease;
use crate::{
    clock::Millis,
    host::Host,
    inputs::{self, MeasuredLoad},
    peer_server,
    peers::call_context,
    rates::SmoothedRates,
    sweep::Sweep,
    sync,
    view::View,
};

/// Interval of planning rounds.
const ROUND_INTERVAL: Duration = Duration::from_secs(2);

/// Interval of snapshots.
const SNAPSHOT_INTERVAL_MS: Millis = 60_000;

/// Time without an answer after which a host counts as lost. A host that has not read the store for
/// this time does not plan.
const HOST_TIMEOUT_MS: Millis = 3_000;

/// State of one host's planner.
#[derive(Default)]
struct Planner {
    lease: Lease,
    states: HashMap<Arc<str>, PlannerState>,
    rates: HashMap<Arc<str>, SmoothedRates>,
    last_snapshot: Option<Millis>,
    sweep: Sweep,
}

/// Runs planning rounds until the process ends.
pub async fn run(host: Arc<Host>) {
    let mut planner = Planner::default();
    loop {
        tokio::time::sleep(ROUND_INTERVAL.mul_f64(rand::random_range(0.9..1.1))).await;
        let Some(view) = host.view.load_full() else {
            continue;
        };
        if !host.is_confirmed() || host.is_stopping() || host.contact_age() > Some(HOST_TIMEOUT_MS)
        {
            continue;
        }
        if !planner.lease.renew(&host).await {
            planner.states.clear();
            planner.rates.clear();
            planner.sweep = Sweep::default();
            continue;
        }
        planner.round(&host, &view).await;
    }
}

impl Planner {
    async fn round(&mut self, host: &Arc<Host>, view: &View) {
        create::create_rows(host, view).await;
        let summaries = collect_loads(host).await;
        for service in &view.document.services {
            let state = self.states.remove(&service.name).unwrap_or_default();
            let mut measured = MeasuredLoad::new(&service.name, &summaries);
            let rates = self.rates.entry(Arc::clone(&service.name)).or_default();
            measured.smooth(host, &service.name, rates);
            measured.drop_noise(service.targets.len());
            let input = inputs::plan_input(host, view, service, measured, state);
            if input.slices.is_empty() {
                continue;
            }
            let plan = placement::plan(&input, &inputs::balance(view));
            orders::execute(host, &service.name, &plan).await;
            self.states.insert(Arc::clone(&service.name), plan.state);
        }
        let rev = host.cursor();
        let now = host.clock.now();
        self.sweep.round(host, view, rev, now).await;
        if self
            .last_snapshot
            .is_none_or(|it| now.saturating_sub(it) >= SNAPSHOT_INTERVAL_MS)
        {
            self.last_snapshot = Some(now);
            store_snapshot(host).await;
        }
    }
}

async fn collect_loads(host: &Arc<Host>) -> Vec<LoadSummary> {
    let calls = host.other_hosts().into_iter().map(|member| async move {
        let address = member.peer?;
        let client = host.peers.client(address).await?;
        let result = client.loads(call_context()).await;
        host.peers
            .record_result(address, &member.name, host.clock.now(), result)
    });
    let mut out: Vec<LoadSummary> = join_all(calls).await.into_iter().flatten().collect();
    out.push(peer_server::take_loads(host));
    out
}

async fn store_snapshot(host: &Arc<Host>) {
    let rows = host.table().rows_after(0);
    let bytes = serde_json::to_vec(&rows).expect("rows are serialisable");
    if let Err(err) = host.platform.put_object(sync::SNAPSHOT, bytes.into()).await {
        log::warn!("the snapshot cannot be stored: {err}");
    }
}
