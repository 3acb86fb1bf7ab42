//! All routers are killed while the store is down and the backends' entries lapse.

use std::{
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{Verdict, deployment::Deployment, http, record::Record};

const CONFIG: &str = r#"{"version":"00000007","services":[{"name":"huvo11a","health_path":"/healthz","max_conns":49,"sharded":true,"warm_s":3.0}],"limits":{"hdr_bytes":16384,"body_bytes":67108864,"hdr_timeout_s":3,"idle_timeout_s":15},"vhosts":[{"host":"ficu95.example","paths":[{"name":"r-1","prefix":"/lohu930/","kind":"idempotent","timeout_s":0.6,"slo_s":0.25,"prio":2,"service":"huvo11a","attempts":2}]}]}"#;

const BACKENDS: usize = 24;

/// Requests a second: about eight tenths of what the backends can serve.
const RATE: u64 = 560;

const CLIENTS: u64 = 280;

/// How long the deployment runs before the disruption.
const CALM: Duration = Duration::from_secs(30);

/// Until when some keys are far busier than others, in seconds since the start.
const HOT_UNTIL: f64 = 35.0;

/// How long the store is down; entries lapse after three beats of 1.5 s.
const OUTAGE: Duration = Duration::from_millis(4_500);

/// How long after the return of the store its entries are complete: "about two seconds".
const BACK: Duration = Duration::from_millis(1_900);

/// When the first entry is back.
const FIRST_BACK: Duration = Duration::from_millis(50);

const RECOVERY: f64 = 15.0;

pub fn run(record: &Arc<Record>, trouble: bool) -> io::Result<Verdict> {
    let services = [("huvo11a", BACKENDS, true)];
    let mut deployment = Deployment::start(Arc::clone(record), &services, 4, CONFIG)?;
    if !deployment.wait_ready(Duration::from_secs(20)) {
        return Ok(Verdict::NotRun);
    }
    let fronts: Vec<_> = deployment.routers.iter().map(|it| it.front).collect();
    let done = Arc::new(AtomicBool::new(false));
    // When each request was sent, and whether a backend's answer arrived in time.
    let results: Arc<Mutex<Vec<(f64, bool)>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (fronts, done) = (fronts.clone(), Arc::clone(&done));
            let (results, record) = (Arc::clone(&results), Arc::clone(record));
            thread::spawn(move || {
                let pause = Duration::from_millis(1_000 * CLIENTS / RATE);
                thread::sleep(pause * u32::try_from(client).unwrap_or(0) / 280);
                let mut number = 0_u64;
                while !done.load(Ordering::Relaxed) {
                    number += 1;
                    let id = format!("{client:04x}{number:012x}");
                    let key = key_of(client, number, record.now()).to_string();
                    let headers = [
                        ("Host", "ficu95.example"),
                        ("X-Attempt-Id", id.as_str()),
                        ("X-Deadline-Ms", "600"),
                        ("X-Shard-Key", key.as_str()),
                    ];
                    let front = fronts[(client + number) as usize % fronts.len()];
                    let sent = record.now();
                    let next = std::time::Instant::now() + pause;
                    let limit = Duration::from_millis(600);
                    let answer = http::call(front, "GET", "/lohu930/2f", &headers, b"", limit);
                    let status = answer.map_or(0, |it| it.status);
                    results.lock().unwrap().push((sent, status == 200));
                    record.line(&format!("sent {id} key {key} at {sent:.3}: {status}"));
                    thread::sleep(next.saturating_duration_since(std::time::Instant::now()));
                }
            })
        })
        .collect();
    thread::sleep(CALM);
    let fault = record.now();
    let mut back = fault;
    if trouble {
        record.line("the store is down");
        deployment.store.set_down(true);
        thread::sleep(OUTAGE.mul_f64(0.6));
        record.line("all routers are killed");
        deployment.routers.iter_mut().for_each(|it| it.kill());
        thread::sleep(Duration::from_millis(800));
        for router in &mut deployment.routers {
            router.spawn()?;
        }
        record.line("the routers are started again");
        thread::sleep(OUTAGE.mul_f64(0.4) - Duration::from_millis(800));
        // The first is back at once, the others within about two seconds.
        for (number, backend) in (0..).zip(&deployment.backends) {
            let last = BACKENDS as u32 - 1;
            let away = if number == 0 {
                FIRST_BACK
            } else {
                BACK.mul_f64(0.4) + BACK.mul_f64(0.6) * number / last
            };
            backend.lapse(away);
        }
        record.line("the store is back, without the entries that lapsed");
        deployment.store.set_down(false);
        back = record.now();
    }
    thread::sleep(Duration::from_secs_f64(RECOVERY + 10.0));
    done.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_| io::ErrorKind::Other)?;
    }
    let results = results.lock().unwrap();
    let share = |from: f64, to: f64| {
        let sent: Vec<_> = results
            .iter()
            .filter(|it| it.0 >= from && it.0 < to)
            .collect();
        let served = sent.iter().filter(|it| it.1).count();
        record.line(&format!(
            "sent from {from:.1} to {to:.1}: {served} of {} served",
            sent.len()
        ));
        served as f64 / sent.len().max(1) as f64
    };
    let mut from = 0.0;
    while from < record.now() {
        share(from, from + 4.0);
        from += 4.0;
    }
    let before = share(0.0, fault);
    let after = share(back + RECOVERY, 1_000.0);
    if before < 0.25 {
        return Ok(Verdict::NotRun);
    }
    Ok(if after < 0.25 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// The key of a request: at first, half of them are for 200 neighbouring keys, which change every
/// three seconds.
fn key_of(client: u64, number: u64, now: f64) -> u64 {
    let mixed = (client << 32 | number).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let random = (mixed ^ mixed >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 33;
    if now < HOT_UNTIL && random % 2 == 0 {
        let hot = (now / 3.0) as u64 * 9_173 % 65_000;
        hot + random / 2 % 200
    } else {
        random / 2 % 65_536
    }
}
