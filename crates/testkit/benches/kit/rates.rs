//! Processor time and store calls of requests at several rates.

use std::time::Duration;

use testkit::client::Call;

use super::{
    cluster::{Cluster, Counting, Size},
    fit::fit,
    float_from_u64, float_from_usize,
    load::{LoadResult, run_load},
    process::cpu_ms,
};

const SIZE: Size = Size {
    hosts: 4,
    targets: 8,
    slices: 16,
    data_centres: 1,
};

/// Requests per second of all callers together.
const GET_RATES: [usize; 3] = [200, 400, 800];

/// Requests per second of all callers together.
const POST_RATES: [usize; 3] = [50, 150, 300];

/// Length of the load at each rate.
const LOAD_S: usize = 8;
const CALLERS: usize = 32;

/// Time for the planned moves and row writes of the start to finish.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// Prints the processor time of the hosts at three rates of idempotent requests.
pub async fn print_requests() {
    let cluster = Cluster::start(SIZE, Counting::Off, true).await;
    tokio::time::sleep(SETTLE_TIME).await;
    println!("\npart cpu, under load: 4 hosts, 8 targets, GET, 1 KB answers, ms of all hosts");
    println!(
        "| requests/s | answered | failed | p50 us | p99 us | CPU ms/s of all hosts | CPU us/request without the idle share |"
    );
    println!("|---|---|---|---|---|---|---|");
    let cpu = || -> f64 { cluster.hosts.iter().map(|it| cpu_ms(&it.process)).sum() };
    let before = cpu();
    tokio::time::sleep(Duration::from_secs(5)).await;
    let idle = (cpu() - before) / 5.0;
    let mut points = vec![([1.0, 0.0], idle)];
    for rate in GET_RATES {
        let before = cpu();
        let get = cluster.get("k");
        let calls = move |number: usize| Call::get(format!("{}{number}", get.path));
        let result = send_at_rate(&cluster, rate, calls).await;
        let rate = float_from_u64(result.times.len()) / result.took.as_secs_f64();
        let used = (cpu() - before) / result.took.as_secs_f64();
        println!(
            "| {rate:.0} | {} | {} | {} | {} | {used:.1} | {:.0} |",
            result.times.len(),
            result.failed,
            result.times.value_at_quantile(0.5),
            result.times.value_at_quantile(0.99),
            (used - idle) * 1_000.0 / rate,
        );
        points.push(([1.0, rate], used));
    }
    let [fitted_idle, slope] = fit(&points);
    println!(
        "slope: {:.0} us of processor time per request; {fitted_idle:.1} ms/s of all hosts when idle ({idle:.1} measured)",
        slope * 1_000.0
    );
}

/// Prints the store calls at three rates of requests that claim an idempotency key.
pub async fn print_claims() {
    let cluster = Cluster::start(SIZE, Counting::Off, true).await;
    tokio::time::sleep(SETTLE_TIME).await;
    println!("\npart store, under load: 4 hosts, 8 targets, POST with an idempotency key");
    println!(
        "| requests/s | answered | failed | p50 us | p99 us | reads/request | writes/request | commits/request | rows/request |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    let before = cluster.counts().await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    let after = cluster.counts().await;
    let [reads, writes] = [
        float_from_u64(after.reads.total - before.reads.total) / 5.0,
        float_from_u64(after.writes.total - before.writes.total) / 5.0,
    ];
    let mut points = vec![([1.0, 0.0], writes)];
    for rate in POST_RATES {
        let before = cluster.counts().await;
        let get = cluster.get("k");
        let calls = move |number: usize| {
            let path = format!("{}{number}", get.path);
            let idempotency_key = format!("{rate}-{number}");
            Call::post(path, "x".repeat(200)).with_header("idempotency-key", idempotency_key)
        };
        let result = send_at_rate(&cluster, rate, calls).await;
        // The outcomes of the last requests are written after their answers.
        tokio::time::sleep(Duration::from_secs(1)).await;
        let seconds = result.took.as_secs_f64() + 1.0;
        let after = cluster.counts().await;
        let count = float_from_u64(result.times.len());
        let each = |after: u64, before: u64, idle: f64| {
            (float_from_u64(after - before) - idle * seconds) / count
        };
        let writes_s = float_from_u64(after.writes.total - before.writes.total) / seconds;
        println!(
            "| {:.0} | {} | {} | {} | {} | {:.2} | {:.2} | {:.2} | {:.2} |",
            count / result.took.as_secs_f64(),
            result.times.len(),
            result.failed,
            result.times.value_at_quantile(0.5),
            result.times.value_at_quantile(0.99),
            each(after.reads.total, before.reads.total, reads),
            each(after.writes.total, before.writes.total, writes),
            each(after.commits.total, before.commits.total, writes),
            each(after.rows.total, before.rows.total, writes),
        );
        points.push(([1.0, count / seconds], writes_s));
    }
    println!("slope: {:.2} writes per request", fit(&points)[1]);
}

async fn send_at_rate(
    cluster: &Cluster,
    rate: usize,
    calls: impl Fn(usize) -> Call + Send + Sync + 'static,
) -> LoadResult {
    let pause = Duration::from_secs_f64(float_from_usize(CALLERS) / float_from_usize(rate));
    let count = rate * LOAD_S / CALLERS;
    run_load(&cluster.data_addresses(), CALLERS, count, pause, calls).await
}
