//! Guards against keys that are not served during a store outage of 10 minutes although their
//! target and gateway are running, and against hosts that overload the store after the outage.

use std::time::Duration;

use serde_json::json;
use testkit::{
    deployment::Deployment,
    layout::Layout,
    load::{Balancer, Load},
};

/// Factor by which the outage and `hold_s` are shortened: a minute takes a second. Leases, poll
/// intervals and deadlines are not shortened; the outage is at least five times as long as each.
const SCALE: u64 = 60;

/// Length of the outage that Trois-Rivieres-Est has to tolerate.
const OUTAGE_S: u64 = 600;

/// Time after the outage for the hosts to reconnect to the store; they retry every 1 s.
const RECONNECT_TIME: Duration = Duration::from_secs(4);

/// Load that the store sustains (docs/design.md, section 1.3): several hundred writes and
/// 2,000 reads per second.
const WRITES_S: u64 = 300;
const READS_S: u64 = 2_000;

const KEYS: usize = 64;

#[tokio::test]
async fn outage_of_ten_minutes_scaled_to_ten_seconds() {
    let mut layout = Layout::example("trois-rivieres-est", 3).with_only_service("portal");
    layout.document.balance.hold_s /= SCALE;
    let deployment = Deployment::start(layout).await;
    let before = deployment.owners(0, "portal", KEYS).await;
    let hosts = || Balancer::fixed(deployment.data_addresses());
    let layout = deployment.layout.clone();
    let gets = Load::start(hosts(), 12, Duration::from_millis(10), move |number| {
        layout.get("portal", &format!("key{}", number % KEYS))
    });
    // These requests need the store. Each idempotency key is sent six times, to different hosts.
    let layout = deployment.layout.clone();
    let posts = Load::start(hosts(), 4, Duration::from_millis(50), move |number| {
        let step = number / 6;
        layout.post(
            "portal",
            &format!("key{}", step % KEYS),
            &format!("post{step}"),
        )
    });
    tokio::time::sleep(Duration::from_secs(1)).await;
    for fault in [
        json!({"mode": "down"}),
        json!({"mode": "slow", "delay_ms": 3_000}),
    ] {
        deployment.set_fault(fault.clone()).await;
        tokio::time::sleep(Duration::from_secs(OUTAGE_S / SCALE)).await;
        deployment.reset_counts().await;
        deployment.set_fault(json!({"mode": "none"})).await;
        tokio::time::sleep(RECONNECT_TIME).await;
        let counts = deployment.counts().await;
        let (writes, reads) = (counts.writes.peak_s, counts.reads.peak_s);
        println!("after {fault}: at most {writes} writes/s, {reads} reads/s");
        assert!(writes < WRITES_S && reads < READS_S, "{counts:?}");
    }
    let (samples, posts) = (gets.stop().await, posts.stop().await);
    let after = deployment.owners(0, "portal", KEYS).await;
    let measures = deployment.measures("portal", &before, &after, &samples);
    let (failed, refused) = (deployment.failures(&samples), deployment.failures(&posts));
    println!(
        "{} requests, {} failed, {} posts, {} refused, {measures:?}",
        samples.len(),
        failed.len(),
        posts.len(),
        refused.len()
    );
    let history = deployment.history();
    assert_eq!((history.violations(), history.repeated()), (vec![], vec![]));
    assert!(failed.is_empty(), "{:#?}", &failed[..failed.len().min(10)]);
}
