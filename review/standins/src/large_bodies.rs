//! Requests with bodies that are far below the limit of the configuration.

use std::{io, sync::Arc, time::Duration};

use crate::{Verdict, deployment::Deployment, http, record::Record};

const CONFIG: &str = r#"{"version":"00000007","services":[{"name":"wuno96b","health_path":"/healthz","max_conns":49,"sharded":false}],"limits":{"hdr_bytes":16384,"body_bytes":67108864,"hdr_timeout_s":3,"idle_timeout_s":15},"vhosts":[{"host":"ficu95.example","paths":[{"name":"r-2","prefix":"/pufi791/","kind":"non_idempotent","timeout_s":5,"slo_s":1,"prio":0,"service":"wuno96b","attempts":2}]}]}"#;

const LARGE_BYTES: usize = 9 << 20;
const SMALL_BYTES: usize = 1 << 20;
const REQUESTS: usize = 20;

pub fn run(record: &Arc<Record>, trouble: bool) -> io::Result<Verdict> {
    let services = [("wuno96b", 4, false)];
    let deployment = Deployment::start(Arc::clone(record), &services, 4, CONFIG)?;
    if !deployment.wait_ready(Duration::from_secs(20)) {
        return Ok(Verdict::NotRun);
    }
    let body = vec![b'b'; if trouble { LARGE_BYTES } else { SMALL_BYTES }];
    let mut denied = 0;
    for number in 0..REQUESTS {
        let id = format!("{number:016x}");
        let headers = [
            ("Host", "ficu95.example"),
            ("X-Attempt-Id", id.as_str()),
            ("X-Deadline-Ms", "5000"),
        ];
        let router = &deployment.routers[number % deployment.routers.len()];
        let limit = Duration::from_secs(5);
        let answer = http::call(router.front, "POST", "/pufi791/2f", &headers, &body, limit);
        let status = answer.map_or_else(|err| err.to_string(), |it| it.status.to_string());
        record.line(&format!(
            "sent {id} POST /pufi791/2f to {}, body of {} bytes: {status}",
            router.name,
            body.len()
        ));
        denied += usize::from(status.starts_with(['3', '4']));
    }
    record.line(&format!("{denied} of {REQUESTS} denied"));
    Ok(if denied as f64 > 5.0 + REQUESTS as f64 / 500.0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
