//! Guards against new work on a draining target more than 3 s after its first drain signal (G6).

use std::time::Duration;

use serde_json::json;
use testkit::{
    deployment::Deployment,
    layout::Layout,
    load::{Balancer, Load},
    target::now_us,
};

/// Required maximum time from the drain signal to the last start of a request.
const DRAIN_LIMIT_US: u64 = 3_000_000;

/// How the hosts are told that the target is to drain.
#[derive(Clone, Copy, Debug)]
enum DrainSignal {
    /// The state of the target in the membership list is `leaving`.
    Members,
    /// The target reports it in its answers and, if it checks grants, in its grant state.
    Target,
    /// The document no longer contains the target.
    Document,
}

async fn check(service: &str, signal: DrainSignal) {
    let layout = Layout::example("cavallucci", 4)
        .with_only_service(service)
        .with_work(5);
    let mut deployment = Deployment::start(layout).await;
    let (layout, name) = (deployment.layout.clone(), service.to_owned());
    let pause = Duration::from_millis(5);
    let load = Load::start(
        Balancer::fixed(deployment.data_addresses()),
        8,
        pause,
        move |number| layout.get(&name, &format!("key{}", number % 64)),
    );
    let target = deployment.owner(0, service, "key0").await.target;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let signal_us = now_us();
    match signal {
        DrainSignal::Members => {
            let place = &deployment.targets[&target].target.data_centre;
            let member = json!({"kind": "target", "state": "leaving", "place": place});
            let name = format!("{service}/{target}");
            deployment.set_member(&name, member).await;
        }
        DrainSignal::Target => {
            deployment.targets[&target]
                .set_behaviour(json!({"draining": true}))
                .await;
        }
        DrainSignal::Document => {
            let mut document = deployment.layout.document.clone();
            document.services[0].targets.retain(|it| *it.name != target);
            deployment.apply(document).await;
        }
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    let samples = load.stop().await;
    let history = deployment.history();
    let starts = history.started_on(&target, 0).count();
    let late: Vec<_> = history
        .started_on(&target, signal_us + DRAIN_LIMIT_US)
        .collect();
    let last = history
        .started_on(&target, 0)
        .last()
        .map(|it| it.entry.start_us);
    let last_ms = last.unwrap_or_default().saturating_sub(signal_us) / 1_000;
    println!("{service} {signal:?}: {starts} starts, the last one {last_ms} ms after the signal");
    assert!(starts > 0, "no request started on the target");
    assert!(
        late.is_empty(),
        "{} starts more than 3 s after the signal, the first: {:?}",
        late.len(),
        late[0]
    );
    let failed = deployment.failures(&samples);
    assert!(
        failed.is_empty(),
        "{} requests failed, the first: {:#?}",
        failed.len(),
        &failed[..failed.len().min(5)]
    );
    assert_eq!(history.violations(), [""; 0]);
}

#[tokio::test]
async fn membership_list_says_leaving() {
    check("archive", DrainSignal::Members).await;
    check("workshop", DrainSignal::Members).await;
}

#[tokio::test]
async fn target_says_draining() {
    check("archive", DrainSignal::Target).await;
    check("workshop", DrainSignal::Target).await;
}

#[tokio::test]
async fn document_drops_the_target() {
    check("archive", DrainSignal::Document).await;
    check("workshop", DrainSignal::Document).await;
}
