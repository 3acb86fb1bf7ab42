//! Guards against requests that are cut or refused during a rolling restart of all targets (G6,
//! G7).

use std::time::Duration;

use serde_json::{Value, json};
use testkit::{
    client::{Call, send},
    deployment::Deployment,
    layout::Layout,
    load::{Balancer, Load},
};

/// Time limit for a draining target to own no slice and run no request: 3 s until no new work
/// starts (G6), then the longest deadline of 2 s.
const DRAIN_LIMIT: Duration = Duration::from_secs(5);

/// Time limit until a gateway serves a new incarnation of a target.
const START_LIMIT: Duration = Duration::from_secs(5);

const KEYS: usize = 64;

/// Whether the target owns a slice in the table or runs a request.
async fn is_used(deployment: &Deployment, target: &str) -> bool {
    let call = Call::get("/table/rows?after=0&limit=100000");
    let page = send(deployment.platform, &call).await;
    let page: Value = page.expect("the platform answers").json();
    let rows = page["rows"].as_array().expect("a page has rows");
    let runs = deployment.targets[target].runs();
    rows.iter().any(|it| it["value"]["target"] == target)
        || runs.iter().any(|it| it.entry.end_us.is_none())
}

/// Whether a gateway serves the target and does not regard it as draining.
async fn is_serving(deployment: &Deployment, target: &str) -> bool {
    for host in &deployment.hosts {
        let reply = send(host.operators, &Call::get("/status")).await;
        let status: Value = reply.expect("a running host answers operators").json();
        let targets = status["targets"].as_array().expect("a status has targets");
        let serves = |it: &Value| it["state"] == "serving" && it["draining"] == false;
        if targets
            .iter()
            .any(|it| it["target"] == target && serves(it))
        {
            return true;
        }
    }
    false
}

async fn check(service: &str) {
    let layout = Layout::example("cavallucci", 3)
        .with_only_service(service)
        .with_work(5);
    let mut deployment = Deployment::start(layout).await;
    let before = deployment.owners(0, service, KEYS).await;
    let (layout, name) = (deployment.layout.clone(), service.to_owned());
    let hosts = Balancer::fixed(deployment.data_addresses());
    let load = Load::start(hosts, 6, Duration::from_millis(10), move |number| {
        let key = format!("key{}", number % KEYS);
        match number % 4 {
            0 => layout.post(&name, &key, &format!("post{number}")),
            _ => layout.get(&name, &key),
        }
    });
    tokio::time::sleep(Duration::from_secs(1)).await;
    let targets: Vec<_> = deployment.targets.keys().cloned().collect();
    for target in &targets {
        deployment.targets[target]
            .set_behaviour(json!({"draining": true}))
            .await;
        let took = deployment
            .wait_until(
                "the target owns no slice and runs no request",
                DRAIN_LIMIT,
                async || !is_used(&deployment, target).await,
            )
            .await;
        println!("{target} owns no slice and runs no request after {took:?}");
        let node = deployment.targets.get_mut(target).unwrap();
        node.kill().await;
        node.restart().await;
        deployment
            .wait_until("a gateway serves the target", START_LIMIT, async || {
                is_serving(&deployment, target).await
            })
            .await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let samples = load.stop().await;
    let after = deployment.owners(0, service, KEYS).await;
    let measures = deployment.measures(service, &before, &after, &samples);
    let failed = deployment.failures(&samples);
    let (all, bad) = (samples.len(), failed.len());
    println!("{service}: {all} requests, {bad} failed, {measures:?}");
    let history = deployment.history();
    assert_eq!((history.violations(), history.repeated()), (vec![], vec![]));
    assert!(failed.is_empty(), "{:#?}", &failed[..failed.len().min(10)]);
}

#[tokio::test]
async fn targets_restart_one_after_the_other() {
    check("archive").await;
}

#[tokio::test]
async fn targets_without_grants_restart_one_after_the_other() {
    check("workshop").await;
}
