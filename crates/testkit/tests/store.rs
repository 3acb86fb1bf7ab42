//! Guards against requests that fail during a store outage although they do not need the store, and
//! against hosts that overload the store after the outage.

use std::time::Duration;

use serde_json::json;
use testkit::{
    deployment::Deployment,
    layout::Layout,
    load::{Balancer, Load},
};

/// Load that the store sustains (docs/design.md, section 1.3): several hundred writes and
/// 2,000 reads per second.
const WRITES_S: u64 = 300;
const READS_S: u64 = 2_000;

#[tokio::test]
async fn store_is_down_and_slow_under_load() {
    let deployment = Deployment::start(Layout::example("cavallucci", 2)).await;
    let layout = deployment.layout.clone();
    let pause = Duration::from_millis(4);
    let load = Load::start(
        Balancer::fixed(deployment.data_addresses()),
        12,
        pause,
        move |number| {
            let service = if number % 3 == 0 {
                "workshop"
            } else {
                "archive"
            };
            layout.get(service, &format!("key{}", number % 96))
        },
    );
    // Requests that need the store; they are refused during the outage and must not cause a burst
    // of writes after it.
    let layout = deployment.layout.clone();
    let hosts = Balancer::fixed(deployment.data_addresses());
    let posts = Load::start(hosts, 4, Duration::from_millis(100), move |number| {
        layout.post(
            "archive",
            &format!("post{number}"),
            &format!("post{number}"),
        )
    });
    let outage = Duration::from_secs(6);
    for fault in [
        json!({"mode": "down"}),
        json!({"mode": "slow", "delay_ms": 3_000}),
        json!({"mode": "slow", "delay_ms": 700}),
    ] {
        deployment.set_fault(fault.clone()).await;
        tokio::time::sleep(outage).await;
        deployment.reset_counts().await;
        deployment.set_fault(json!({"mode": "none"})).await;
        tokio::time::sleep(Duration::from_secs(5)).await;
        let counts = deployment.counts().await;
        println!(
            "after {fault}: at most {} writes/s, {} reads/s",
            counts.writes.peak_s, counts.reads.peak_s
        );
        assert!(
            counts.writes.peak_s < WRITES_S && counts.reads.peak_s < READS_S,
            "{counts:?}"
        );
    }
    let posts = posts.stop().await;
    let refused = deployment.failures(&posts).len();
    println!("{} posts, {refused} refused", posts.len());
    assert_eq!(deployment.history().repeated(), []);
    let samples = load.stop().await;
    let failed = deployment.failures(&samples);
    println!("{} requests, {} failed", samples.len(), failed.len());
    assert!(
        failed.is_empty(),
        "idempotent requests failed: {:#?}",
        &failed[..failed.len().min(10)]
    );
}
