//! Guards against keys that have no owner for longer than 2 s after the loss of their target or
//! gateway, and against two owners of one key during the recovery (G1).
//!
//! A seed chooses the key whose owner is lost and the time of the loss. Each case runs with seed 0;
//! `RECOVERY_SEEDS=20 cargo test -p testkit --test recovery` runs each with 20 seeds.

use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::json;
use testkit::{
    deployment::Deployment,
    layout::Layout,
    load::{Balancer, Load},
};

/// Required maximum time until a key is served again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(2);

/// The process that is lost, and how.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Lost {
    Target,
    Gateway,
    Both,
    /// The target is suspended (SIGSTOP) and resumes after its keys have moved.
    FrozenTarget,
    /// The gateway is suspended and resumes after another host has taken over its role.
    FrozenGateway,
    /// The gateway is killed while the store is down.
    GatewayInOutage,
}

async fn check(example: &str, service: &str, lost: Lost) {
    let seeds = std::env::var("RECOVERY_SEEDS").map_or(1, |it| it.parse().unwrap());
    let mut times = Vec::new();
    for seed in 0..seeds {
        times.push(recover(example, service, lost, seed).await);
    }
    times.sort();
    let (median, slowest) = (times[times.len() / 2], times[times.len() - 1]);
    println!("{example} {lost:?}: {seeds} seeds, median {median:?}, slowest {slowest:?}");
}

/// Returns the time from the loss until every key is served again.
async fn recover(example: &str, service: &str, lost: Lost, seed: u64) -> Duration {
    let layout = Layout::example(example, 4)
        .with_only_service(service)
        .with_work(5);
    let mut deployment = Deployment::start(layout).await;
    let (layout, name) = (deployment.layout.clone(), service.to_owned());
    let pause = Duration::from_millis(3);
    let load = Load::start(
        Balancer::fixed(deployment.data_addresses()),
        8,
        pause,
        move |number| layout.get(&name, &format!("key{}", number % 64)),
    );
    let mut rng = StdRng::seed_from_u64(seed);
    let key = format!("key{}", rng.random_range(0..64));
    // Votes and grants are renewed within this time, so they can have any age at the loss.
    tokio::time::sleep(Duration::from_millis(rng.random_range(0..1_000))).await;
    if lost == Lost::GatewayInOutage {
        deployment.set_fault(json!({"mode": "down"})).await;
    }
    let owner = deployment.owner(0, service, &key).await;
    let gateway = deployment.host_index(&owner.gateway);
    let lost_at = Instant::now();
    let target = deployment.targets.get_mut(&owner.target).unwrap();
    let host = &mut deployment.hosts[gateway];
    if let Lost::Target | Lost::Both = lost {
        target.kill().await;
    }
    match lost {
        Lost::Target => {}
        Lost::Gateway | Lost::Both | Lost::GatewayInOutage => host.process.kill().await,
        Lost::FrozenTarget => target.process.freeze(),
        Lost::FrozenGateway => host.process.freeze(),
    }
    let entry = deployment.hosts[(gateway + 1) % deployment.hosts.len()].data;
    let calls: Vec<_> = (0..64)
        .map(|number| deployment.layout.get(service, &format!("key{number}")))
        .collect();
    let answered = calls
        .iter()
        .map(|it| deployment.wait_until_answered(entry, it, lost_at, RECOVERY_LIMIT));
    let took = futures::future::join_all(answered).await;
    let slowest = took.iter().max().unwrap();
    println!(
        "{example} {lost:?}, seed {seed}: owner of {key} lost, all keys served after {slowest:?}"
    );
    assert!(*slowest < RECOVERY_LIMIT);
    deployment.targets[&owner.target].process.thaw();
    deployment.hosts[gateway].process.thaw();
    // Time for requests that the resumed process still holds; they must not run.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let samples = load.stop().await;
    let wrong = samples.iter().filter(|it| match &it.reply {
        Ok(reply) => {
            reply.complete && reply.refused().is_none() && !deployment.is_correct(&it.call, reply)
        }
        Err(_) => false,
    });
    assert_eq!(wrong.count(), 0, "an answer was wrong for its request");
    assert_eq!(deployment.history().violations(), [""; 0]);
    *slowest
}

#[tokio::test]
async fn keys_of_a_lost_target_are_served_again() {
    check("cavallucci", "archive", Lost::Target).await;
    check("trois-rivieres-est", "dispatch", Lost::Target).await;
}

#[tokio::test]
async fn keys_of_a_lost_gateway_are_served_again() {
    check("cavallucci", "archive", Lost::Gateway).await;
    check("trois-rivieres-est", "dispatch", Lost::Gateway).await;
}

#[tokio::test]
async fn keys_of_a_lost_target_and_gateway_are_served_again() {
    check("cavallucci", "archive", Lost::Both).await;
    check("trois-rivieres-est", "dispatch", Lost::Both).await;
}

#[tokio::test]
async fn keys_of_a_frozen_target_are_served_again() {
    check("cavallucci", "archive", Lost::FrozenTarget).await;
    check("trois-rivieres-est", "dispatch", Lost::FrozenTarget).await;
}

#[tokio::test]
async fn keys_of_a_frozen_gateway_are_served_again() {
    check("cavallucci", "archive", Lost::FrozenGateway).await;
    check("trois-rivieres-est", "dispatch", Lost::FrozenGateway).await;
}

#[tokio::test]
async fn keys_of_a_gateway_lost_in_a_store_outage_are_served_again() {
    check("cavallucci", "archive", Lost::GatewayInOutage).await;
    check("trois-rivieres-est", "dispatch", Lost::GatewayInOutage).await;
}
