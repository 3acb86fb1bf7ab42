//! Latency and throughput of requests through the router, compared with requests sent directly to
//! the target and through a pass-through proxy.

use std::{net::SocketAddr, time::Duration};

use tempfile::TempDir;
use testkit::process::Process;

use super::{
    cluster::{Cluster, Counting, Size},
    float_from_u64,
    load::{LoadResult, run_load},
};

/// Number of measured rounds. Each measures the routes in turn, so that other load on the machine
/// affects all of them.
const ROUNDS: usize = 6;

const SIZE: Size = Size {
    hosts: 2,
    targets: 1,
    slices: 16,
    data_centres: 1,
};

struct Case {
    /// Size of the body of each answer in bytes.
    bytes: usize,
    callers: usize,
    /// Requests of each caller in a round.
    count: usize,
}

const CASES: [Case; 4] = [
    Case {
        bytes: 1_000,
        callers: 1,
        count: 500,
    },
    Case {
        bytes: 200_000,
        callers: 1,
        count: 150,
    },
    Case {
        bytes: 1_000,
        callers: 8,
        count: 250,
    },
    Case {
        bytes: 200_000,
        callers: 8,
        count: 40,
    },
];

/// Prints a row for each route, with the ratio of its added median latency to that of the
/// pass-through proxy with as many hops.
pub async fn print() {
    let cluster = Cluster::start(SIZE, Counting::Off, false).await;
    let dir = TempDir::new().expect("temporary directory can be created");
    let target: SocketAddr = cluster.targets[0]
        .target
        .address
        .parse()
        .expect("address of a target is valid");
    let (_first_process, first) = start_passthrough(target, &dir).await;
    let (_second_process, second) = start_passthrough(first, &dir).await;
    let gateway = cluster.gateway("k0").await;
    let hosts = cluster.data_addresses();
    let routes = [
        ("direct", target),
        ("pass-through, 1 hop", first),
        ("path, 1 hop", hosts[gateway]),
        ("pass-through, 2 hops", second),
        ("path, 2 hops", hosts[1 - gateway]),
    ];
    println!("\npart latency: keep-alive, GET, times in microseconds, aim: added p50 <= 1.5 x");
    println!(
        "| body | callers | route | p50 | p99 | added p50 | added p50 / pass-through | requests/s | failed |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for case in CASES {
        let mut results: Vec<LoadResult> = routes.iter().map(|_| LoadResult::new()).collect();
        for round in 0..=ROUNDS {
            for (route, result) in routes.iter().zip(&mut results) {
                let bytes = case.bytes.to_string();
                let base = cluster.get("k0");
                let calls = move |number: usize| {
                    let mut call = base.clone().with_header("x-body-bytes", &bytes);
                    call.path = format!("{}{number}", base.path);
                    call
                };
                let round_result =
                    run_load(&[route.1], case.callers, case.count, Duration::ZERO, calls).await;
                // The first round only opens connections.
                if round > 0 {
                    result.add(&round_result);
                }
            }
        }
        let median = |idx: usize| float_from_u64(results[idx].times.value_at_quantile(0.5));
        for (idx, (name, _)) in routes.iter().enumerate() {
            let added = median(idx) - median(0);
            // The pass-through proxy with as many hops is in the previous row.
            let ratio = match idx {
                2 | 4 => format!("{:.2}", added / (median(idx - 1) - median(0))),
                _ => String::new(),
            };
            let it = &results[idx];
            println!(
                "| {} | {} | {name} | {} | {} | {added:.0} | {ratio} | {:.0} | {} |",
                case.bytes,
                case.callers,
                median(idx),
                it.times.value_at_quantile(0.99),
                float_from_u64(it.times.len()) / it.took.as_secs_f64(),
                it.failed,
            );
        }
    }
}

async fn start_passthrough(to: SocketAddr, dir: &TempDir) -> (Process, SocketAddr) {
    let log = dir.path().join("passthrough.log");
    let args = ["--to", &to.to_string()];
    let (process, addresses) = Process::start_stand_in("passthrough", &args, &log).await;
    (process, addresses.listening)
}
