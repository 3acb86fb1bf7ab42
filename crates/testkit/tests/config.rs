//! Guards against a configuration that is accepted but not in force on all hosts within 6 s, and
//! against hosts that revert to an older one (G8).

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use serde_json::json;
use testkit::{client::Call, deployment::Deployment, layout::Layout};

/// Required maximum time until a version is in force on all hosts.
const APPLY_LIMIT: Duration = Duration::from_secs(6);

fn layout() -> Layout {
    Layout::example("trois-rivieres-est", 2).with_only_service("portal")
}

/// Applies a document with a changed deadline; returns its version.
async fn apply_next(deployment: &mut Deployment) -> u64 {
    let mut document = deployment.layout.document.clone();
    document.services[0].deadline_ms += 1;
    deployment.apply(document).await
}

#[tokio::test]
async fn versions_are_in_force_everywhere() {
    let mut deployment = Deployment::start(layout()).await;
    let mut seen = vec![0; deployment.hosts.len()];
    for _ in 0..5 {
        let version = apply_next(&mut deployment).await;
        let took = deployment.wait_until_in_force(version, APPLY_LIMIT).await;
        println!("version {version} is in force after {took:?}");
        for (host, last) in seen.iter_mut().enumerate() {
            let now = deployment.version_on(host).await;
            assert!(
                now >= *last,
                "host {host} reverted from version {last} to {now}"
            );
            *last = now;
        }
    }
}

#[tokio::test]
async fn host_joins_while_the_store_is_down() {
    let mut deployment = Deployment::start(layout()).await;
    let version = apply_next(&mut deployment).await;
    deployment.wait_until_in_force(version, APPLY_LIMIT).await;
    deployment.set_fault(json!({"mode": "down"})).await;
    let data_centre: Arc<str> = deployment.hosts[0].data_centre.clone();
    let joined = deployment.add_host(data_centre).await;
    let host = &deployment.hosts[joined];
    let took = deployment
        .wait_until("the new host is ready", APPLY_LIMIT, async || {
            host.is_ready().await
        })
        .await;
    println!("the new host is ready after {took:?}");
    assert_eq!(deployment.version_on(joined).await, version);
    let call = deployment.layout.get("portal", "key");
    deployment
        .wait_until_answered(host.data, &call, Instant::now(), APPLY_LIMIT)
        .await;
    deployment.set_fault(json!({"mode": "none"})).await;
    let version = apply_next(&mut deployment).await;
    deployment.wait_until_in_force(version, APPLY_LIMIT).await;
}

#[tokio::test]
async fn frozen_host_skips_three_versions() {
    let mut deployment = Deployment::start(layout()).await;
    let last = deployment.hosts.len() - 1;
    deployment.hosts[last].process.freeze();
    for _ in 0..3 {
        apply_next(&mut deployment).await;
    }
    // Votes and grants of the frozen host expire in this time, so that other hosts take over its
    // roles.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let version = deployment.version;
    deployment.hosts[last].process.thaw();
    let took = deployment.wait_until_in_force(version, APPLY_LIMIT).await;
    println!("version {version} is in force {took:?} after the thaw");
    for number in 0..32 {
        let call: Call = deployment.layout.get("portal", &format!("key{number}"));
        let host = deployment.hosts[last].data;
        deployment
            .wait_until_answered(host, &call, Instant::now(), APPLY_LIMIT)
            .await;
    }
    assert_eq!(deployment.history().violations(), [""; 0]);
}
