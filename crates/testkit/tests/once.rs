//! Guards against non-idempotent requests that run twice when an answer is lost and the caller
//! resends the request (G5), and against `not_run` for requests that ran (G4).

use std::{collections::HashMap, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use testkit::{
    client::{Call, CallError, Reply, send},
    deployment::Deployment,
    layout::{Layout, Proxied},
};

/// Time for which a caller resends its request.
const RESEND_TIME: Duration = Duration::from_secs(4);

fn layout(example: &str) -> Layout {
    Layout::example(example, 2).with_proxies(&[Proxied::Targets])
}

/// Resends the call to all hosts in turn; returns whether it was ever acknowledged.
async fn resend(deployment: &Deployment, call: &Call) -> bool {
    let since = std::time::Instant::now();
    let mut acknowledged = false;
    let mut number = 0;
    while since.elapsed() < RESEND_TIME {
        let reply = deployment.send(number % deployment.hosts.len(), call).await;
        acknowledged |= reply.is_ok_and(|it| deployment.is_correct(call, &it));
        number += 1;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    acknowledged
}

/// Number of runs of the call at all targets.
fn count_runs(deployment: &Deployment, call: &Call) -> usize {
    let history = deployment.history();
    history
        .runs
        .iter()
        .filter(|it| it.entry.path == call.path)
        .count()
}

/// Whether the reply reports that the request did not run and will not run.
fn is_not_run(reply: &Result<Reply, CallError>) -> bool {
    let Ok(reply) = reply else { return false };
    reply.refused().is_some() && reply.json::<Value>()["ran"] == "not_run"
}

async fn answer_is_lost(example: &str, service: &str, mode: &str) {
    let deployment = Deployment::start(layout(example)).await;
    let call = deployment
        .layout
        .post(service, "lost", "lost-1")
        .with_header("x-work-ms", "300");
    let owner = deployment.owner(0, service, "lost").await;
    let proxy = deployment.targets[&owner.target].proxy.as_ref().unwrap();
    let host = deployment.hosts[0].data;
    let sent = call.clone();
    let first = tokio::spawn(async move { send(host, &sent).await });
    deployment
        .wait_until("the request runs", RESEND_TIME, async || {
            count_runs(&deployment, &call) > 0
        })
        .await;
    proxy
        .set_rule(json!({"mode": mode, "scope": "existing", "direction": "down"}))
        .await;
    let reply = first.await.unwrap();
    assert!(
        !is_not_run(&reply),
        "{service} {mode}: the request ran but the caller received not_run"
    );
    proxy.set_rule(json!({"mode": "pass"})).await;
    let acknowledged = resend(&deployment, &call).await;
    println!(
        "{service} {mode}: {:?}; acknowledged later: {acknowledged}",
        reply.map(|it| it.status)
    );
    assert_eq!(count_runs(&deployment, &call), 1, "{service} {mode}");
}

#[tokio::test]
async fn answer_of_a_target_is_lost() {
    answer_is_lost("cavallucci", "archive", "cut").await;
    answer_is_lost("cavallucci", "workshop", "silent").await;
    answer_is_lost("trois-rivieres-est", "dispatch", "silent").await;
}

#[tokio::test]
async fn gateway_dies_in_mid_request() {
    for service in ["archive", "workshop"] {
        let mut deployment = Deployment::start(layout("cavallucci")).await;
        let call = deployment
            .layout
            .post(service, "killed", "killed-1")
            .with_header("x-work-ms", "300");
        let owner = deployment.owner(0, service, "killed").await;
        let gateway = deployment.host_index(&owner.gateway);
        let entry = (gateway + 1) % deployment.hosts.len();
        let host = deployment.hosts[entry].data;
        let sent = call.clone();
        let first = tokio::spawn(async move { send(host, &sent).await });
        deployment
            .wait_until("the request runs", RESEND_TIME, async || {
                count_runs(&deployment, &call) > 0
            })
            .await;
        deployment.hosts[gateway].process.kill().await;
        let reply = first.await.unwrap();
        assert!(
            !is_not_run(&reply),
            "{service}: the request ran but the caller received not_run"
        );
        resend(&deployment, &call).await;
        assert_eq!(count_runs(&deployment, &call), 1, "{service}");
    }
}

#[tokio::test]
async fn claims_cannot_be_written() {
    let deployment = Deployment::start(layout("trois-rivieres-est")).await;
    // If the answers are lost, the claims of the refused requests are in the store and must be
    // deleted.
    for mode in ["down", "lose_answer"] {
        let call = deployment.layout.post("dispatch", mode, mode);
        deployment.set_fault(json!({"mode": mode})).await;
        for host in 0..deployment.hosts.len() {
            let reply = deployment.send(host, &call).await;
            assert!(is_not_run(&reply), "{mode}: {reply:?}");
        }
        assert_eq!(count_runs(&deployment, &call), 0, "{mode}");
        deployment.set_fault(json!({"mode": "none"})).await;
        assert!(
            resend(&deployment, &call).await,
            "{mode}: the request was not acknowledged after the store was back"
        );
        assert_eq!(count_runs(&deployment, &call), 1, "{mode}");
    }
}

#[tokio::test]
async fn store_fails_at_random() {
    let seed = rand::random();
    println!("seed {seed}");
    let mut random = StdRng::seed_from_u64(seed);
    let deployment = Deployment::start(layout("trois-rivieres-est")).await;
    let mut acknowledged: HashMap<String, bool> = HashMap::new();
    let mut not_run: HashMap<String, bool> = HashMap::new();
    for number in 0..120 {
        let fault = match random.random_range(0..5) {
            0 => json!({"mode": "down", "count": random.random_range(1..4)}),
            1 => json!({"mode": "lose_answer", "count": random.random_range(1..4)}),
            2 => json!({"mode": "slow", "delay_ms": random.random_range(100..1_500), "count": 2}),
            _ => json!({"mode": "none"}),
        };
        deployment.set_fault(fault).await;
        let service = ["portal", "dispatch"][random.random_range(0..2)];
        let call =
            deployment
                .layout
                .post(service, &format!("once{number}"), &format!("once-{number}"));
        let mut all_not_run = true;
        for _ in 0..random.random_range(1..4) {
            let host = random.random_range(0..deployment.hosts.len());
            let reply = deployment.send(host, &call).await;
            all_not_run &= is_not_run(&reply);
            if reply.is_ok_and(|it| deployment.is_correct(&call, &it)) {
                acknowledged.insert(call.path.clone(), true);
            }
        }
        not_run.insert(call.path.clone(), all_not_run);
    }
    let history = deployment.history();
    assert_eq!(history.repeated(), [], "seed {seed}");
    for path in acknowledged.keys() {
        let runs = history
            .runs
            .iter()
            .filter(|it| it.entry.path == *path)
            .count();
        assert_eq!(runs, 1, "{path} was acknowledged; seed {seed}");
    }
    for (path, _) in not_run.iter().filter(|it| *it.1) {
        let runs = history
            .runs
            .iter()
            .filter(|it| it.entry.path == *path)
            .count();
        assert_eq!(
            runs, 0,
            "{path} was refused with not_run each time; seed {seed}"
        );
    }
    println!("{} of 120 requests were acknowledged", acknowledged.len());
}

/// Why a request ends while it waits for a slot.
#[derive(Clone, Copy, Debug)]
enum EndReason {
    CallerDisconnected,
    Deadline,
}

/// Guards against a claim that remains in the store although its request was never sent to a
/// target: the resent request would be refused with `outcome_unknown` although nothing ran.
#[tokio::test]
async fn request_that_never_started_can_be_sent_again() {
    let deployment = Deployment::start(layout("cavallucci")).await;
    let owner = deployment.owner(0, "workshop", "busy").await;
    let gateway = deployment.host_index(&owner.gateway);
    let other = (gateway + 1) % deployment.hosts.len();
    for (entry, reason) in [
        (gateway, EndReason::CallerDisconnected),
        (other, EndReason::CallerDisconnected),
        (other, EndReason::Deadline),
    ] {
        let name = format!("unsent-{entry}-{reason:?}");
        let slots = deployment.layout.service("workshop").targets[0].slots;
        let slow = (0..slots).map(|number| {
            let mut call = deployment.layout.get("workshop", "busy");
            call.path = format!("{}?{name}-{number}", call.path);
            let call = call.with_header("x-work-ms", "1200");
            let host = deployment.hosts[gateway].data;
            tokio::spawn(async move { send(host, &call).await })
        });
        let slow: Vec<_> = slow.collect();
        tokio::time::sleep(Duration::from_millis(300)).await;
        let call = deployment.layout.post("workshop", "busy", &name);
        let host = deployment.hosts[entry].data;
        let early = Duration::from_millis(400);
        match reason {
            EndReason::CallerDisconnected => {
                let reply = tokio::time::timeout(early, send(host, &call)).await;
                assert!(
                    reply.is_err(),
                    "{name}: answered although all slots are taken: {reply:?}"
                );
            }
            EndReason::Deadline => {
                let expiring = call.clone().with_header("sassafras-deadline-ms", "400");
                assert!(is_not_run(&send(host, &expiring).await), "{name}");
            }
        }
        for it in slow {
            it.await.unwrap().unwrap();
        }
        let reply = send(host, &call).await.unwrap();
        assert!(deployment.is_correct(&call, &reply), "{name}: {reply:?}");
        let history = deployment.history();
        let ran = history
            .runs
            .iter()
            .filter(|it| it.entry.idempotency_key == name);
        assert_eq!(ran.count(), 1, "{name}");
    }
}
