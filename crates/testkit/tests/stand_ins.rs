//! Guards against stand-ins that hide faults: if one does not inject the fault that a test sets, or
//! does not record what ran, other integration tests pass although the router is faulty.

use std::{
    net::{SocketAddr, TcpListener},
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use platform::{Commit, CommitResult, Condition, Platform, Write};
use serde_json::{Value, json};
use tempfile::TempDir;
use testkit::{
    client::{Call, CallError, HttpClient, send},
    nodes::{Proxy, command},
    process::{Process, free_port},
    target::{Outcome, answer_bytes, join_events},
};

fn commit(row: &str, rev: u64) -> Commit {
    Commit {
        change: "test".to_owned(),
        conditions: vec![Condition {
            row: row.to_owned(),
            rev,
        }],
        writes: vec![
            Write {
                row: row.to_owned(),
                value: json!({"rev": rev}),
            },
            Write {
                row: format!("{row}/twin"),
                value: json!(1),
            },
        ],
    }
}

async fn start_platform(dir: &TempDir) -> (Process, Platform, SocketAddr) {
    let (process, it) = Process::start_stand_in("platform", &[], &dir.path().join("log")).await;
    let client = Platform::new(it.listening, Duration::from_millis(400));
    (process, client, it.listening)
}

#[tokio::test]
async fn platform_commits_transactions_atomically() {
    let dir = TempDir::new().unwrap();
    let (_process, platform, _) = start_platform(&dir).await;
    assert_eq!(
        platform.commit(&commit("a", 0)).await,
        CommitResult::Applied { rev: 1 }
    );
    let CommitResult::NotApplied { conflicts } = platform.commit(&commit("a", 0)).await else {
        panic!("the commit was applied although its condition does not hold");
    };
    assert_eq!((conflicts[0].row.as_str(), conflicts[0].rev), ("a", 1));
    assert_eq!(
        platform.commit(&commit("b", 0)).await,
        CommitResult::Applied { rev: 2 }
    );
    assert_eq!(
        platform.commit(&commit("claim/x", 0)).await,
        CommitResult::Applied { rev: 3 }
    );
    let deletion = Commit {
        writes: vec![Write {
            row: "a".to_owned(),
            value: Value::Null,
        }],
        ..Commit::default()
    };
    assert_eq!(
        platform.commit(&deletion).await,
        CommitResult::Applied { rev: 4 }
    );
    let page = platform.rows_after(0).await.unwrap();
    let names: Vec<_> = page
        .rows
        .iter()
        .map(|it| (it.row.as_str(), it.rev))
        .collect();
    assert_eq!(names, [("a/twin", 1), ("b", 2), ("b/twin", 2), ("a", 4)]);
    assert_eq!(platform.row("a").await.unwrap(), None);
    assert_eq!(
        platform.commit(&commit("a", 0)).await,
        CommitResult::Applied { rev: 5 }
    );
}

/// Also guards against hosts that keep an outdated membership list or fetch an unchanged one again.
#[tokio::test]
async fn platform_sends_changed_members_only() {
    let dir = TempDir::new().unwrap();
    let (_process, platform, address) = start_platform(&dir).await;
    let mut tag = None;
    for state in ["live", "leaving"] {
        let member = json!({"name": "h1", "kind": "host", "state": state, "place": "a"});
        let call = Call::put("/control/members/h1", &member);
        command(address, &call).await;
        let read = platform.changed_members(&mut tag).await.unwrap();
        assert_eq!(read, Some(platform.members().await.unwrap()), "{state}");
        let again = platform.changed_members(&mut tag).await.unwrap();
        assert_eq!(again, None, "{state}");
    }
}

#[tokio::test]
async fn platform_fails_on_command() {
    struct Case {
        fault: Value,
        result: CommitResult,
        applied: bool,
    }
    let cases = [
        Case {
            fault: json!({"mode": "down", "count": 1}),
            result: CommitResult::Unknown,
            applied: false,
        },
        Case {
            fault: json!({"mode": "lose_answer", "count": 1}),
            result: CommitResult::Unknown,
            applied: true,
        },
        Case {
            fault: json!({"mode": "slow", "delay_ms": 500, "count": 1}),
            result: CommitResult::Unknown,
            applied: true,
        },
    ];
    let dir = TempDir::new().unwrap();
    let (_process, platform, address) = start_platform(&dir).await;
    for (number, case) in cases.into_iter().enumerate() {
        let row = format!("row{number}");
        command(address, &Call::put("/control/fault", &case.fault)).await;
        assert_eq!(
            platform.commit(&commit(&row, 0)).await,
            case.result,
            "{}",
            case.fault
        );
        tokio::time::sleep(Duration::from_millis(200)).await;
        let present = platform.row(&row).await.unwrap();
        assert_eq!(present.is_some(), case.applied, "{}", case.fault);
    }
}

struct Target {
    process: Process,
    address: SocketAddr,
    control: SocketAddr,
    dir: TempDir,
}

impl Target {
    async fn start(args: &[&str]) -> Self {
        let dir = TempDir::new().unwrap();
        let record = dir.path().join("record").display().to_string();
        let mut all = vec!["--service", "s", "--record", &record];
        all.extend(args);
        let (process, it) = Process::start_stand_in("target", &all, &dir.path().join("log")).await;
        Self {
            process,
            address: it.listening,
            control: it.control.unwrap(),
            dir,
        }
    }

    async fn set_behaviour(&self, change: Value) {
        command(self.control, &Call::put("/control/behaviour", &change)).await;
    }

    fn outcomes(&self) -> Vec<Option<Outcome>> {
        let text = std::fs::read_to_string(self.dir.path().join("record")).unwrap();
        join_events(&text)
            .unwrap()
            .into_iter()
            .map(|it| it.outcome)
            .collect()
    }
}

#[tokio::test]
async fn target_records_what_ran() {
    let mut target = Target::start(&["--checks", "no", "--body-bytes", "100"]).await;
    let call = Call::post("/s/k?q", "in").with_header("x-body-bytes", "70000");
    let reply = send(target.address, &call).await.unwrap();
    assert!(reply.complete);
    assert_eq!(reply.body, answer_bytes("POST", "/s/k?q", b"in", 70_000));

    let late = Call::get("/s/late")
        .with_header("sassafras-deadline-ms", "50")
        .with_header("x-work-ms", "500");
    assert!(matches!(
        send(target.address, &late).await,
        Err(CallError::Closed(_))
    ));
    let abandoned = Call::get("/s/abandoned").with_header("x-work-ms", "5000");
    let waited = tokio::time::timeout(Duration::from_millis(100), send(target.address, &abandoned));
    assert!(waited.await.is_err());
    target.set_behaviour(json!({"crash_on": "poison"})).await;
    assert!(
        send(target.address, &Call::post("/s/k", "some poison"))
            .await
            .is_err()
    );
    let status = target
        .process
        .wait_for_exit(Duration::from_secs(5))
        .await
        .unwrap();
    assert_eq!(status.code(), Some(134));
    let done = Some(Outcome::Done);
    let cancelled = Some(Outcome::Cancelled);
    assert_eq!(target.outcomes(), [done, cancelled, cancelled, None]);
}

#[tokio::test]
async fn frozen_target_answers_nothing() {
    let target = Target::start(&["--checks", "no"]).await;
    let mut client = HttpClient::new(target.address);
    let call = Call::get("/s/k").with_header("sassafras-deadline-ms", "1000");
    assert!(client.send(&call).await.unwrap().complete);
    target.set_behaviour(json!({"frozen": true})).await;
    let limit = Duration::from_millis(200);
    assert!(
        tokio::time::timeout(limit, client.send(&call))
            .await
            .is_err()
    );
    assert!(
        tokio::time::timeout(limit, send(target.address, &call))
            .await
            .is_err()
    );
    target.set_behaviour(json!({"frozen": false})).await;
    assert!(send(target.address, &call).await.unwrap().complete);
}

#[tokio::test]
async fn proxy_injects_faults() {
    let target = Target::start(&["--checks", "no", "--body-bytes", "100000"]).await;
    let proxy = Proxy::start(target.address, &target.dir.path().join("proxy")).await;
    let call = Call::get("/s/k");
    let limit = Duration::from_millis(300);
    let mut kept = HttpClient::new(proxy.address);
    assert!(kept.send(&call).await.unwrap().complete);

    proxy
        .set_rule(json!({"mode": "silent", "scope": "existing"}))
        .await;
    assert!(
        tokio::time::timeout(limit, kept.send(&call)).await.is_err(),
        "a silent connection returned an answer"
    );
    assert!(
        send(proxy.address, &call).await.unwrap().complete,
        "a new connection is silent too"
    );

    proxy
        .set_rule(json!({"mode": "truncate", "after_bytes": 5000, "direction": "down"}))
        .await;
    let reply = send(proxy.address, &call).await.unwrap();
    assert!(
        !reply.complete && reply.body.len() < 5_000,
        "the answer was not truncated"
    );

    proxy.set_rule(json!({"mode": "refuse"})).await;
    let reply = send(proxy.address, &call).await;
    assert!(
        matches!(reply, Err(CallError::Refused(_))),
        "the connection was not refused: {reply:?}"
    );

    proxy
        .set_rule(json!({"mode": "delay", "delay_ms": 100}))
        .await;
    let start = Instant::now();
    assert!(send(proxy.address, &call).await.unwrap().complete, "delay");
    assert!(
        start.elapsed() >= Duration::from_millis(200),
        "the delay of 100 ms did not apply to both directions"
    );

    proxy
        .set_rule(json!({"mode": "throttle", "bytes_s": 200_000, "direction": "down"}))
        .await;
    let start = Instant::now();
    assert!(
        send(proxy.address, &call).await.unwrap().complete,
        "throttle"
    );
    assert!(
        start.elapsed() >= Duration::from_millis(450),
        "100 KB took less than 450 ms at 200 KB/s"
    );

    proxy.set_rule(json!({"mode": "pass"})).await;
    let mut kept = HttpClient::new(proxy.address);
    let slow = Call::get("/s/k").with_header("x-frame-ms", "100");
    let cut = async {
        tokio::time::sleep(limit).await;
        proxy
            .set_rule(json!({"mode": "cut", "scope": "existing"}))
            .await;
    };
    let (reply, ()) = tokio::join!(kept.send(&slow), cut);
    assert!(!reply.unwrap().complete, "the connection was not cut");
    assert!(
        kept.send(&call).await.unwrap().complete,
        "a new connection is cut too"
    );
    assert!(proxy.counts().await.down > 300_000);
}

/// A second grant during a request that runs for 600 ms under a grant of 400 ms, and the expected
/// outcome of the request.
struct SecondGrant {
    epoch: u64,
    gateway: &'static str,
    slices: &'static str,
    outcome: Outcome,
}

#[tokio::test]
async fn running_requests_end_with_their_grant() {
    let cases = [
        // The grant is not renewed.
        SecondGrant {
            epoch: 0,
            gateway: "g",
            slices: "[]",
            outcome: Outcome::Expired,
        },
        // A renewal without the slice: the gateway itself waits for the request.
        SecondGrant {
            epoch: 1,
            gateway: "g",
            slices: "[]",
            outcome: Outcome::Done,
        },
        // The next gateway does not know the request.
        SecondGrant {
            epoch: 2,
            gateway: "h",
            slices: "[]",
            outcome: Outcome::Expired,
        },
        SecondGrant {
            epoch: 2,
            gateway: "h",
            slices: r#"[{"service":"s","low":0,"high":9,"generation":7}]"#,
            outcome: Outcome::Done,
        },
    ];
    for case in cases {
        let target = Target::start(&["--checks", "yes"]).await;
        let state: Value = send(target.address, &Call::get("/sassafras/grant"))
            .await
            .unwrap()
            .json();
        let order = |epoch: u64, gateway: &str, after_ms: u64, slices: &str| {
            let until = state["clock"].as_u64().unwrap() + after_ms;
            let slices: Value = serde_json::from_str(slices).unwrap();
            let order = json!({
                "incarnation": state["incarnation"], "epoch": epoch, "gateway": gateway,
                "until": until, "slices": slices,
            });
            Call::put("/sassafras/grant", &order)
        };
        let slices = r#"[{"service":"s","low":0,"high":9,"generation":7}]"#;
        command(target.address, &order(1, "g", 400, slices)).await;
        let call = Call::get("/s/k")
            .with_header("sassafras-service", "s")
            .with_header("sassafras-key-hash", "0000000000000005")
            .with_header("sassafras-epoch", "1")
            .with_header("sassafras-generation", "7")
            .with_header("sassafras-incarnation", state["incarnation"].to_string())
            .with_header("x-work-ms", "600");
        let mut unfenced = call.clone();
        unfenced
            .headers
            .retain(|(name, _)| name != "sassafras-epoch");
        assert_eq!(
            send(target.address, &unfenced).await.unwrap().refused(),
            Some("fenced")
        );
        let second_grant = async {
            tokio::time::sleep(Duration::from_millis(150)).await;
            let call = order(case.epoch, case.gateway, 5_000, case.slices);
            send(target.address, &call).await.unwrap().status.as_u16()
        };
        let (reply, status) = tokio::join!(send(target.address, &call), second_grant);
        assert_eq!(status, if case.epoch == 0 { 409 } else { 200 });
        assert_eq!(
            reply.is_ok(),
            case.outcome == Outcome::Done,
            "epoch {}: {reply:?}",
            case.epoch
        );
        assert_eq!(
            target.outcomes(),
            [Some(case.outcome)],
            "epoch {} {}",
            case.epoch,
            case.slices
        );
    }
}

#[tokio::test]
async fn paused_target_does_not_run_past_its_grant() {
    let target = Target::start(&["--checks", "yes"]).await;
    let state: Value = send(target.address, &Call::get("/sassafras/grant"))
        .await
        .unwrap()
        .json();
    let order = json!({
        "incarnation": state["incarnation"], "epoch": 1, "gateway": "g",
        "until": state["clock"].as_u64().unwrap() + 400,
        "slices": [{"service": "s", "low": 0, "high": 9, "generation": 7}],
    });
    command(target.address, &Call::put("/sassafras/grant", &order)).await;
    let call = Call::get("/s/k")
        .with_header("sassafras-service", "s")
        .with_header("sassafras-key-hash", "0000000000000005")
        .with_header("sassafras-epoch", "1")
        .with_header("sassafras-generation", "7")
        .with_header("sassafras-incarnation", state["incarnation"].to_string())
        .with_header("sassafras-deadline-ms", "700")
        .with_header("x-work-ms", "5000");
    // The deadline also passes while the target is paused, but after the expiry of the grant.
    let caller = tokio::time::timeout(Duration::from_millis(200), send(target.address, &call));
    let pause = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        target.process.freeze();
    };
    assert!(tokio::join!(caller, pause).0.is_err());
    tokio::time::sleep(Duration::from_millis(800)).await;
    target.process.thaw();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let text = std::fs::read_to_string(target.dir.path().join("record")).unwrap();
    let entries = join_events(&text).unwrap();
    let ran_us = entries[0].end_us.unwrap() - entries[0].start_us;
    assert!(
        ran_us <= 410_000,
        "the request ran for {ran_us} us under a grant of 400 ms"
    );
}

/// Guards against a free port that cannot be bound, because a process that was started at the same
/// time still holds the listener with which it was found to be free.
#[tokio::test(flavor = "multi_thread", worker_threads = 6)]
async fn free_ports_can_be_bound_while_processes_start() {
    const PORTS: usize = 4_000;
    let dir = tempfile::tempdir().unwrap();
    let log = dir.path().join("log");
    let starts = std::sync::atomic::AtomicBool::new(true);
    let failures = std::thread::scope(|scope| {
        let runtime = tokio::runtime::Handle::current();
        for _ in 0..4 {
            let (runtime, log, starts) = (runtime.clone(), log.clone(), &starts);
            scope.spawn(move || {
                let _context = runtime.enter();
                while starts.load(Ordering::Relaxed) {
                    drop(Process::start_binary("sassafrasctl", &["--version"], &log));
                }
            });
        }
        let ports = (0..PORTS).map(|_| free_port());
        let failures = ports.filter(|it| TcpListener::bind(it).is_err()).count();
        starts.store(false, Ordering::Relaxed);
        failures
    });
    assert_eq!(failures, 0, "of {PORTS} ports");
}
