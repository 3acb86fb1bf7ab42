//! Guards against assignments that are lost or revert to an older generation when all hosts are
//! replaced at once (G2).

use std::time::{Duration, Instant};

use serde_json::Value;
use testkit::{client::Call, deployment::Deployment, layout::Layout, nodes::command};

/// Number of keys whose assignment is compared.
const KEYS: usize = 32;

/// Time limit until the new hosts serve every key. The requirements set no limit for the loss of
/// all hosts.
const SERVING_LIMIT: Duration = Duration::from_secs(30);

async fn generations(deployment: &Deployment, host: usize) -> Vec<u64> {
    let mut out = Vec::with_capacity(KEYS);
    for number in 0..KEYS {
        let path = format!("/owner?service=archive&key=key{number}");
        let call = Call {
            method: "GET",
            path,
            ..Call::get("")
        };
        let reply = command(deployment.hosts[host].operators, &call).await;
        let owner: Value = reply.json();
        out.push(owner["generation"].as_u64().unwrap());
    }
    out
}

#[tokio::test]
async fn assignments_survive_the_loss_of_all_hosts() {
    let layout = Layout::example("cavallucci", 4).with_only_service("archive");
    let mut deployment = Deployment::start(layout).await;
    let before = generations(&deployment, 0).await;
    let old = deployment.hosts.len();
    for host in &mut deployment.hosts {
        host.process.kill().await;
    }
    let lost = Instant::now();
    for idx in 0..old {
        let data_centre = deployment.hosts[idx].data_centre.clone();
        deployment.add_host(data_centre).await;
    }
    for number in 0..KEYS {
        let call = deployment.layout.get("archive", &format!("key{number}"));
        let host = deployment.hosts[old + number % old].data;
        deployment
            .wait_until_answered(host, &call, lost, SERVING_LIMIT)
            .await;
    }
    println!("all keys are served again after {:?}", lost.elapsed());
    let after = generations(&deployment, old).await;
    for (key, (before, after)) in before.iter().zip(&after).enumerate() {
        assert!(
            after >= before,
            "key{key} reverted from generation {before} to {after}"
        );
    }
    assert_eq!(deployment.history().violations(), [""; 0]);
}
