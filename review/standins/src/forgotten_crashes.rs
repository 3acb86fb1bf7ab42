//! A request that crashes backends comes again while the leading router is killed now and then.

use std::{io, sync::Arc, thread, time::Duration};

use crate::{Verdict, backend::CRASHES, deployment::Deployment, http, record::Record};

const CONFIG: &str = r#"{"version":"00000007","services":[{"name":"wuno96b","health_path":"/healthz","max_conns":49,"sharded":false}],"limits":{"hdr_bytes":16384,"body_bytes":67108864,"hdr_timeout_s":3,"idle_timeout_s":15},"vhosts":[{"host":"ficu95.example","paths":[{"name":"r-2","prefix":"/pufi791/","kind":"non_idempotent","timeout_s":3,"slo_s":1,"prio":0,"service":"wuno96b","attempts":2}]}]}"#;

/// How often the leading router is killed.
const KILLS: usize = 5;

/// How long a killed router is away.
const AWAY: Duration = Duration::from_millis(500);

/// Wait after a start until all routers have run for longer than `contact_s`, 3 s.
const IN_TOUCH: Duration = Duration::from_millis(3_500);

const CONTACT: f64 = 3.0;

/// Retries that may reach backends later than `CONTACT` after the third crash.
const MAX_RETRIES: usize = 3;

pub fn run(record: &Arc<Record>, trouble: bool) -> io::Result<Verdict> {
    let services = [("wuno96b", 8, false)];
    let mut deployment = Deployment::start(Arc::clone(record), &services, 5, CONFIG)?;
    if !deployment.wait_ready(Duration::from_secs(20)) {
        return Ok(Verdict::NotRun);
    }
    let mut number = 0;
    for kill in 0..=KILLS {
        for _ in 0..2 {
            send(&deployment, number);
            number += 1;
            thread::sleep(Duration::from_millis(1_500));
        }
        if kill == KILLS {
            break;
        }
        if trouble {
            let Some(leader) = deployment.leader() else {
                return Ok(Verdict::NotRun);
            };
            let router = &mut deployment.routers[leader];
            record.line(&format!("{} is killed", router.name));
            router.kill();
            thread::sleep(AWAY);
            router.spawn()?;
            record.line(&format!("{} is started", router.name));
        }
        thread::sleep(IN_TOUCH);
    }
    let crashes = record.crashes();
    let Some(third) = crashes.get(2) else {
        return Ok(Verdict::NotRun);
    };
    let late = crashes.iter().filter(|it| **it > third + CONTACT).count();
    record.line(&format!(
        "{} crashes; {late} later than {CONTACT} s after the third, {MAX_RETRIES} allowed",
        crashes.len()
    ));
    Ok(if late > MAX_RETRIES {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends the request to one router after the other.
fn send(deployment: &Deployment, number: usize) {
    let id = format!("{number:016x}");
    let router = &deployment.routers[number % deployment.routers.len()];
    let headers = [
        ("Host", "ficu95.example"),
        ("X-Attempt-Id", id.as_str()),
        ("X-Deadline-Ms", "3000"),
        (CRASHES, "1"),
    ];
    let limit = Duration::from_secs(3);
    let answer = http::call(
        router.front,
        "POST",
        "/pufi791/2f",
        &headers,
        b"same body",
        limit,
    );
    let status = answer.map_or(0, |it| it.status);
    let name = &router.name;
    deployment
        .record
        .line(&format!("sent {id} POST /pufi791/2f to {name}: {status}"));
}
