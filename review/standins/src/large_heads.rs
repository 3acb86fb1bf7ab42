//! Requests whose heads are nearly as long as the configuration allows.

use std::{io, sync::Arc, time::Duration};

use crate::{Verdict, deployment::Deployment, http, record::Record};

const CONFIG: &str = r#"{"version":"00000007","services":[{"name":"wuno96b","health_path":"/healthz","max_conns":49,"sharded":false}],"limits":{"hdr_bytes":16384,"body_bytes":67108864,"hdr_timeout_s":3,"idle_timeout_s":15},"vhosts":[{"host":"ficu95.example","paths":[{"name":"r-1","prefix":"/lohu930/","kind":"idempotent","timeout_s":3,"slo_s":1,"prio":0,"service":"wuno96b","attempts":2},{"name":"r-2","prefix":"/pufi791/","kind":"non_idempotent","timeout_s":3,"slo_s":1,"prio":0,"service":"wuno96b","attempts":2}]}]}"#;

const LIMIT: usize = 16_384;
const REQUESTS: usize = 200;

pub fn run(record: &Arc<Record>, trouble: bool) -> io::Result<Verdict> {
    let services = [("wuno96b", 4, false)];
    let deployment = Deployment::start(Arc::clone(record), &services, 4, CONFIG)?;
    if !deployment.wait_ready(Duration::from_secs(20)) {
        return Ok(Verdict::NotRun);
    }
    // 40 cookies and similar headers; the whole head stays below the limit.
    let value = "v".repeat(if trouble { 380 } else { 80 });
    let names: Vec<String> = (0..40).map(|it| format!("X-Client-{it:02}")).collect();
    let mut denied = 0;
    let mut answered = 0;
    for number in 0..REQUESTS {
        let id = format!("{number:016x}");
        let (method, path) = if number % 2 == 0 {
            ("GET", "/lohu930/2f")
        } else {
            ("POST", "/pufi791/2f")
        };
        let mut headers = vec![
            ("Host", "ficu95.example"),
            ("X-Attempt-Id", id.as_str()),
            ("X-Deadline-Ms", "3000"),
        ];
        headers.extend(names.iter().map(|it| (it.as_str(), value.as_str())));
        let head: usize = headers.iter().map(|it| it.0.len() + it.1.len() + 4).sum();
        let head = head + method.len() + path.len() + 13;
        assert!(head <= LIMIT, "the head has {head} bytes");
        let router = &deployment.routers[number % deployment.routers.len()];
        let answer = http::call(
            router.front,
            method,
            path,
            &headers,
            b"",
            Duration::from_secs(3),
        );
        let status = answer.map_or(0, |it| it.status);
        record.line(&format!(
            "sent {id} {method} {path} to {}, head of {head} bytes: {status}",
            router.name
        ));
        denied += usize::from((300..500).contains(&status) && ![408, 421, 429].contains(&status));
        answered += usize::from(status == 200);
    }
    record.line(&format!(
        "{answered} of {REQUESTS} answered by backends, {denied} denied"
    ));
    Ok(if denied as f64 > 5.0 + REQUESTS as f64 / 500.0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
