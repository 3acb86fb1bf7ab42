//! Guards against requests that are refused or cut during a planned stop of a host (G7).

use std::time::Duration;

use serde_json::json;
use testkit::{
    deployment::Deployment,
    layout::Layout,
    load::{Balancer, Load},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::sleep,
};

/// Time limit for a planned stop; requests take at most 2 s.
const STOP_LIMIT: Duration = Duration::from_secs(15);

async fn check(example: &str) {
    let mut deployment = Deployment::start(Layout::example(example, 2).with_work(10)).await;
    let layout = deployment.layout.clone();
    let addresses = deployment
        .hosts
        .iter()
        .map(|it| (it.data, it.operators))
        .collect();
    let pause = Duration::from_millis(10);
    let load = Load::start(Balancer::checking(addresses), 8, pause, move |number| {
        let service = &layout.document.services[number % 2].name;
        let key = format!("key{}", number % 64);
        match number % 5 {
            0 => layout.post(service, &key, &format!("post{number}")),
            // A long answer, so that some are in flight when the host gets the stop signal.
            1 => layout
                .get(service, &key)
                .with_header("x-body-bytes", "320000")
                .with_header("x-frame-ms", "10"),
            _ => layout.get(service, &key),
        }
    });
    for idx in 0..deployment.hosts.len() {
        let host = &deployment.hosts[idx];
        // The membership list can lag, so only every second stop is announced there beforehand.
        if idx % 2 == 0 {
            let mut leaving = host.member.clone();
            leaving["state"] = json!("leaving");
            deployment.set_member(&host.name, leaving).await;
        }
        let host = &mut deployment.hosts[idx];
        host.process.terminate();
        let status = host.process.wait_for_exit(STOP_LIMIT).await;
        let code = status.and_then(|it| it.code());
        assert_eq!(code, Some(0), "{}: {}", host.name, host.process.log());
        host.restart();
        let host = &deployment.hosts[idx];
        deployment.set_member(&host.name, host.member.clone()).await;
        deployment.wait_until_ready().await;
    }
    let samples = load.stop().await;
    let failed = deployment.failures(&samples);
    println!(
        "{example}: {} requests, {} failed",
        samples.len(),
        failed.len()
    );
    assert!(
        failed.is_empty(),
        "requests failed during planned stops: {:#?}",
        &failed[..failed.len().min(10)]
    );
    let history = deployment.history();
    assert_eq!((history.violations(), history.repeated()), (vec![], vec![]));
}

#[tokio::test]
async fn hosts_stop_one_after_the_other() {
    check("cavallucci").await;
    check("trois-rivieres-est").await;
}

/// Guards against a request that arrives when connections are being closed, is sent to a target and
/// gets no answer, because the host ends meanwhile.
#[tokio::test]
async fn a_late_request_is_answered_or_did_not_run() {
    const DRAIN_MS: u64 = 1_500;
    let layout = Layout::example("cavallucci", 2)
        .with_only_service("workshop")
        .with_drain(DRAIN_MS);
    let mut deployment = Deployment::start(layout).await;
    let address = deployment.hosts[0].data;
    // Seconds after the signal. The host begins to close connections after 3 s.
    let mut callers = tokio::task::JoinSet::new();
    for delay_ms in [2_500, 3_300, 3_800, 4_200, 4_450] {
        let key = format!("late{delay_ms}");
        let call = deployment.layout.post("workshop", &key, &key);
        let call = call.with_header("x-work-ms", "1000");
        let bytes = call.with_header("sassafras-deadline-ms", "5000").to_bytes();
        callers.spawn(async move {
            let mut stream = TcpStream::connect(address).await.expect("a connection");
            let (first, last) = bytes.split_at(40);
            stream.write_all(first).await.expect("sent");
            sleep(Duration::from_millis(100 + delay_ms)).await;
            // The connection may be closed by now.
            let _ = stream.write_all(last).await;
            let mut answer = Vec::new();
            let _ = stream.read_to_end(&mut answer).await;
            (key, String::from_utf8_lossy(&answer).into_owned())
        });
    }
    sleep(Duration::from_millis(100)).await;
    let host = &mut deployment.hosts[0];
    host.process.terminate();
    let status = host.process.wait_for_exit(STOP_LIMIT).await;
    assert_eq!(status.and_then(|it| it.code()), Some(0));
    let replies = callers.join_all().await;
    let history = deployment.history();
    let mut failures = Vec::new();
    for (key, answer) in replies {
        let runs = history.runs_of(&key).count();
        let is_wrong = if answer.starts_with("HTTP/1.1 200") {
            runs != 1
        } else {
            runs > 0
        };
        if is_wrong {
            failures.push(format!("{key}: {runs} runs, answer {answer:?}"));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
