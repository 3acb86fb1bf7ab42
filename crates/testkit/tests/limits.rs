//! Guards against retries that amplify an outage, requests that run past their deadline, and
//! targets that are taken out of service because of the status of their health endpoint.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use testkit::{
    client::{Call, send},
    deployment::Deployment,
    layout::Layout,
    load::{Balancer, Load},
    nodes::command,
};

/// Maximum delay of a refusal after the deadline, on a busy machine.
const MAX_REFUSAL_DELAY: Duration = Duration::from_millis(700);

fn layout() -> Layout {
    Layout::example("cavallucci", 2).with_only_service("archive")
}

/// Number of retries of requests that reached a target, over all hosts. Requests that wait for an
/// owner have not reached one.
async fn count_retries(deployment: &Deployment) -> u64 {
    let mut sum = 0;
    for host in &deployment.hosts {
        let status: Value = command(host.operators, &Call::get("/status")).await.json();
        let retries = status["retries"].as_object().unwrap();
        for (reason, count) in retries {
            if matches!(
                reason.as_str(),
                "target_shed" | "target_lost" | "target_failing"
            ) {
                sum += count.as_u64().unwrap();
            }
        }
    }
    sum
}

/// Guards against exceeding the retry budget while all targets refuse requests.
#[tokio::test]
async fn retries_stay_within_a_tenth_of_requests() {
    let deployment = Deployment::start(layout()).await;
    for target in deployment.targets.values() {
        target.set_behaviour(json!({"shedding": true})).await;
    }
    let before = deployment.history().runs.len();
    let layout = deployment.layout.clone();
    let load = Load::start(
        Balancer::fixed(deployment.data_addresses()),
        32,
        Duration::from_millis(5),
        move |number| {
            layout
                .get("archive", &format!("key{number}"))
                .with_header("sassafras-deadline-ms", "100")
        },
    );
    tokio::time::sleep(Duration::from_secs(4)).await;
    let samples = load.stop().await;
    let retries = count_retries(&deployment).await;
    println!("{} requests, {retries} retries", samples.len());
    assert!(samples.len() >= 500, "only {} requests", samples.len());
    assert!(retries * 10 <= samples.len() as u64);
    for sample in &samples {
        let reply = sample.reply.as_ref().unwrap();
        assert!(reply.refused().is_some(), "{reply:?}");
    }
    assert_eq!(deployment.history().runs.len(), before);
}

/// Guards against a caller that waits past the deadline of its request, and against a target that
/// continues to run the request after the deadline.
#[tokio::test]
async fn deadline_reaches_the_target() {
    let deployment = Deployment::start(layout()).await;
    let call = deployment
        .layout
        .get("archive", "slow")
        .with_header("x-work-ms", "10000")
        .with_header("sassafras-deadline-ms", "400");
    for host in deployment.data_addresses() {
        let began = Instant::now();
        let reply = send(host, &call).await.unwrap();
        let took = began.elapsed();
        assert!(
            took < Duration::from_millis(400) + MAX_REFUSAL_DELAY,
            "{took:?}"
        );
        assert_eq!(reply.status.as_u16(), 504, "{reply:?}");
        assert_eq!(reply.headers["sassafras-ran"], "unknown");
    }
    let after = deployment.layout.get("archive", "slow");
    let took = deployment
        .wait_until_answered(
            deployment.hosts[0].data,
            &after,
            Instant::now(),
            Duration::from_secs(2),
        )
        .await;
    println!("the slot was free after {took:?}");
    let history = deployment.history();
    for run in history.runs_of("/slow") {
        let took_us = run.end_us - run.entry.start_us;
        assert!(
            took_us < 2_000_000,
            "the request ran for {took_us} us: {run:?}"
        );
    }
}

/// Guards against targets that get no requests because their health endpoint reports a failure,
/// although they answer requests.
#[tokio::test]
async fn misleading_health_endpoints_change_nothing() {
    let deployment = Deployment::start(layout()).await;
    for (idx, target) in deployment.targets.values().enumerate() {
        let health = if idx % 2 == 0 { "failing" } else { "ok" };
        target.set_behaviour(json!({"health": health})).await;
    }
    let layout = deployment.layout.clone();
    let load = Load::start(
        Balancer::fixed(deployment.data_addresses()),
        4,
        Duration::from_millis(5),
        move |number| layout.get("archive", &format!("key{}", number % 64)),
    );
    tokio::time::sleep(Duration::from_secs(3)).await;
    let samples = load.stop().await;
    let failed = deployment.failures(&samples);
    println!("{} requests, {} failed", samples.len(), failed.len());
    assert!(samples.len() >= 100);
    assert!(failed.is_empty(), "{failed:#?}");
}
