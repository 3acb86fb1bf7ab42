//! Guards against a paused process that resumes a role which another process has taken over: two
//! owners of one key (G1), or a request that runs twice (G5).

use std::time::Duration;

use testkit::{
    deployment::Deployment,
    layout::Layout,
    load::{Balancer, Load},
};

/// Length of a pause: longer than votes, grants and the longest deadline of the examples, clock
/// drift included.
const PAUSE_DURATION: Duration = Duration::from_secs(3);

/// The process that is paused.
#[derive(Clone, Copy, Debug)]
enum Paused {
    Gateway,
    Target,
}

async fn check(service: &str, paused: Paused) {
    let layout = Layout::example("cavallucci", 4)
        .with_only_service(service)
        .with_work(20);
    let deployment = Deployment::start(layout).await;
    let (layout, name) = (deployment.layout.clone(), service.to_owned());
    let load = Load::start(
        Balancer::fixed(deployment.data_addresses()),
        24,
        Duration::from_millis(1),
        move |number| {
            let key = format!("key{}", number % 16);
            if number % 2 == 0 {
                layout.get(&name, &key)
            } else {
                layout.post(&name, &key, &format!("once-{number}"))
            }
        },
    );
    let owner = deployment.owner(0, service, "key0").await;
    let process = match paused {
        Paused::Gateway => &deployment.hosts[deployment.host_index(&owner.gateway)].process,
        Paused::Target => &deployment.targets[&owner.target].process,
    };
    for _ in 0..2 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        process.freeze();
        tokio::time::sleep(PAUSE_DURATION).await;
        process.thaw();
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let samples = load.stop().await;
    let history = deployment.history();
    println!(
        "{service} {paused:?}: {} requests, {} runs",
        samples.len(),
        history.runs.len()
    );
    assert_eq!(history.violations(), [""; 0]);
    assert_eq!(history.repeated(), []);
    let wrong = samples.iter().filter(|it| match &it.reply {
        Ok(reply) => {
            reply.complete && reply.refused().is_none() && !deployment.is_correct(&it.call, reply)
        }
        Err(_) => false,
    });
    assert_eq!(wrong.count(), 0, "an answer was wrong for its request");
}

#[tokio::test]
async fn paused_gateway_resumes() {
    check("archive", Paused::Gateway).await;
    check("workshop", Paused::Gateway).await;
}

#[tokio::test]
async fn paused_target_resumes() {
    check("archive", Paused::Target).await;
}
