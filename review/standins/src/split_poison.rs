//! A request that crashes backends comes again on a route that is split among three services.

use std::{io, sync::Arc, thread, time::Duration};

use crate::{Verdict, backend::CRASHES, deployment::Deployment, http, record::Record};

const SERVICES: [&str; 3] = ["wuno96b", "huvo11a", "dele69a"];

/// How often the request comes, at one machine after the other.
const REQUESTS: usize = 14;

/// Pause between two requests; a backend is back one second after a crash.
const PAUSE: Duration = Duration::from_millis(2_500);

const CONTACT: f64 = 3.0;

/// Retries that may reach backends later than `CONTACT` after the third crash.
const MAX_RETRIES: usize = 3;

pub fn run(record: &Arc<Record>, trouble: bool) -> io::Result<Verdict> {
    let services = SERVICES.map(|it| (it, 4, false));
    let config = config();
    let deployment = Deployment::start(Arc::clone(record), &services, 4, &config)?;
    if !deployment.wait_ready(Duration::from_secs(20)) {
        return Ok(Verdict::NotRun);
    }
    for number in 0..REQUESTS {
        let id = format!("{number:016x}");
        let router = &deployment.routers[number % deployment.routers.len()];
        let mut headers = vec![
            ("Host", "ficu95.example"),
            ("X-Attempt-Id", id.as_str()),
            ("X-Deadline-Ms", "3000"),
        ];
        if trouble {
            headers.push((CRASHES, "1"));
        }
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
        record.line(&format!(
            "sent {id} POST /pufi791/2f to {}: {status}",
            router.name
        ));
        thread::sleep(PAUSE);
    }
    let crashes = record.crashes();
    let Some(third) = crashes.get(2) else {
        return Ok(if trouble {
            Verdict::NotRun
        } else {
            Verdict::Held
        });
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

/// One route, split evenly among all services.
fn config() -> String {
    let service = |name| {
        format!(r#"{{"name":"{name}","health_path":"/healthz","max_conns":49,"sharded":false}}"#)
    };
    let part = |name| format!(r#"{{"service":"{name}","weight":1}}"#);
    let services = SERVICES.map(service).join(",");
    let split = SERVICES.map(part).join(",");
    format!(
        r#"{{"version":"00000007","services":[{services}],"limits":{{"hdr_bytes":16384,"body_bytes":67108864,"hdr_timeout_s":3,"idle_timeout_s":15}},"vhosts":[{{"host":"ficu95.example","paths":[{{"name":"r-2","prefix":"/pufi791/","kind":"non_idempotent","timeout_s":3,"slo_s":1,"prio":0,"split":[{split}],"attempts":2}}]}}]}}"#
    )
}
