//! Control traffic, processor time and store calls of idle and loaded deployments of several sizes.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use testkit::{client::Call, process::Process};

use super::{
    cluster::{Cluster, Counting, Size},
    fit::{fit, residual},
    float_from_u64, float_from_usize,
    load::run_load,
    process::{cpu_ms, ports, rss_kb},
    relay::{Link, Relay, Traffic},
};

/// Time for the planned moves and row writes of the start to finish.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// Length of each measurement.
const WINDOW: Duration = Duration::from_secs(8);

/// Requests per second of all callers together, under load.
const REQUESTS_S: usize = 200;

/// Number of callers under load.
const CALLERS: usize = 16;

/// Deployments of at most 50 processes. Hosts, targets and slices vary independently, so that a
/// slope can be fitted for each. Each data centre has at least three hosts, so that each target has
/// three voters.
const SIZES: [Size; 7] = [
    size(6, 8, 16),
    size(8, 16, 16),
    size(12, 32, 16),
    size(6, 24, 16),
    size(12, 8, 16),
    size(6, 8, 4),
    size(6, 8, 64),
];

const fn size(hosts: usize, targets: usize, slices: usize) -> Size {
    Size {
        hosts,
        targets,
        slices,
        data_centres: 2,
    }
}

/// Whether callers send requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LoadLevel {
    Idle,
    Loaded,
}

/// Resource usage of one deployment within a window; rates are per second.
pub struct Usage {
    size: Size,
    load: LoadLevel,
    /// Control messages between hosts.
    peer: Rates,
    /// Calls to the platform.
    platform: Rates,
    /// Grant exchanges with targets.
    grants: Rates,
    /// Other exchanges with targets: requests and health checks.
    other: Rates,
    /// Requests forwarded between hosts.
    forward: Rates,
    /// Bytes of control traffic from region 0 to region 1 and back, without the store.
    across: [f64; 2],
    /// Bytes between the store in region 0 and the hosts of region 1, both directions.
    store_across: f64,
    /// Processor time of all hosts in milliseconds.
    cpu: f64,
    /// Mean resident memory of a host in KB.
    rss: f64,
    reads: f64,
    writes: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Rates {
    bytes: f64,
    messages: f64,
}

/// Measures all sizes, each without and with load.
pub async fn measure() -> Vec<Usage> {
    let mut out = Vec::new();
    for size in SIZES {
        let cluster = Cluster::start(size, Counting::On, true).await;
        tokio::time::sleep(SETTLE_TIME).await;
        for load in [LoadLevel::Idle, LoadLevel::Loaded] {
            out.push(measure_window(&cluster, load).await);
        }
    }
    out
}

/// Counters of a cluster at one time.
struct Snapshot {
    peers: Vec<Vec<(Arc<Link>, Traffic)>>,
    platform: Vec<Traffic>,
    grants: Traffic,
    other: Traffic,
    forward: Traffic,
    cpu: f64,
    reads: u64,
    writes: u64,
    at: Instant,
}

async fn measure_window(cluster: &Cluster, load: LoadLevel) -> Usage {
    let before = take_snapshot(cluster).await;
    match load {
        LoadLevel::Idle => tokio::time::sleep(WINDOW).await,
        LoadLevel::Loaded => {
            let pause =
                Duration::from_secs_f64(float_from_usize(CALLERS) / float_from_usize(REQUESTS_S));
            let seconds = usize::try_from(WINDOW.as_secs()).expect("window is short");
            let get = cluster.get("k");
            let calls = move |number: usize| Call::get(format!("{}{number}", get.path));
            let count = REQUESTS_S * seconds / CALLERS;
            let result = run_load(&cluster.data_addresses(), CALLERS, count, pause, calls).await;
            if result.failed > 0 {
                println!("{:?}: {} requests failed", cluster.size, result.failed);
            }
        }
    }
    let after = take_snapshot(cluster).await;
    let seconds = (after.at - before.at).as_secs_f64();
    let rates = |it: Traffic| Rates {
        bytes: float_from_u64(it.bytes()) / seconds,
        messages: float_from_u64(it.messages) / seconds,
    };
    let processes: Vec<&Process> = cluster.hosts.iter().map(|it| &it.process).collect();
    let ports = ports(&processes);
    let mut peer = Traffic::default();
    let mut across = [0, 0];
    for (host, links) in after.peers.iter().enumerate() {
        for (link, now) in links {
            let previous = before.peers[host]
                .iter()
                .find(|it| Arc::ptr_eq(&it.0, link));
            let passed = *now - previous.map_or_else(Traffic::default, |it| it.1);
            peer += passed;
            let Some(&from) = ports.get(&link.port) else {
                continue;
            };
            let (from_region, to_region) = (cluster.region(from), cluster.region(host));
            if from_region != to_region {
                across[from_region] += passed.up;
                across[to_region] += passed.down;
            }
        }
    }
    let mut platform = Traffic::default();
    let mut store_across = 0;
    for (host, now) in after.platform.iter().enumerate() {
        let passed = *now - before.platform[host];
        platform += passed;
        if cluster.region(host) == 1 {
            store_across += passed.bytes();
        }
    }
    let rss: u64 = processes.iter().map(|it| rss_kb(it)).sum();
    Usage {
        size: cluster.size,
        load,
        peer: rates(peer),
        platform: rates(platform),
        grants: rates(after.grants - before.grants),
        other: rates(after.other - before.other),
        forward: rates(after.forward - before.forward),
        across: across.map(|it| float_from_u64(it) / seconds),
        store_across: float_from_u64(store_across) / seconds,
        cpu: (after.cpu - before.cpu) / seconds,
        rss: float_from_u64(rss) / float_from_usize(cluster.size.hosts),
        reads: float_from_u64(after.reads - before.reads) / seconds,
        writes: float_from_u64(after.writes - before.writes) / seconds,
    }
}

async fn take_snapshot(cluster: &Cluster) -> Snapshot {
    let counts = cluster.counts().await;
    let (mut grants, mut other) = (Traffic::default(), Traffic::default());
    for link in cluster.target_relays.iter().flat_map(Relay::links) {
        if link.first_line_contains("/sassafras/") {
            grants += link.traffic();
        } else {
            other += link.traffic();
        }
    }
    let peers = |it: &Relay| {
        let links = it.links().into_iter();
        links.map(|it| (Arc::clone(&it), it.traffic())).collect()
    };
    Snapshot {
        peers: cluster.peer_relays.iter().map(peers).collect(),
        platform: cluster.platform_relays.iter().map(total).collect(),
        grants,
        other,
        forward: cluster
            .data_relays
            .iter()
            .map(total)
            .fold(Traffic::default(), sum),
        cpu: cluster.hosts.iter().map(|it| cpu_ms(&it.process)).sum(),
        reads: counts.reads.total,
        writes: counts.writes.total,
        at: Instant::now(),
    }
}

fn total(relay: &Relay) -> Traffic {
    let links = relay.links();
    links
        .iter()
        .map(|it| it.traffic())
        .fold(Traffic::default(), sum)
}

fn sum(mut left: Traffic, right: Traffic) -> Traffic {
    left += right;
    left
}

/// Prints the bytes and messages of control traffic per host.
pub fn print_control(runs: &[Usage]) {
    println!("\npart control: bytes/s and messages/s per host, counted once at each connection");
    println!(
        "| hosts | targets | slices/target | load | between hosts B/s | msg/s | platform B/s | msg/s | grants B/s | msg/s | grants B/s per target | health and requests B/s | forwarded B/s | region 0 to 1 B/s | region 1 to 0 B/s | store across regions B/s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for it in runs {
        let hosts = float_from_usize(it.size.hosts);
        let pair = |rates: Rates| {
            let (bytes, messages) = (rates.bytes / hosts, rates.messages / hosts);
            format!("{bytes:.0} | {messages:.1}")
        };
        println!(
            "| {} | {} | {} | {} | {} | {} | {} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} |",
            it.size.hosts,
            it.size.targets,
            it.size.slices,
            label(it.load),
            pair(it.peer),
            pair(it.platform),
            pair(it.grants),
            it.grants.bytes / float_from_usize(it.size.targets),
            it.other.bytes / hosts,
            it.forward.bytes / hosts,
            it.across[0],
            it.across[1],
            it.store_across,
        );
    }
    let points = |value: fn(&Usage) -> f64| idle_points(runs, vote_factors, value);
    print_fit(
        "between hosts, B/s of all hosts = a x targets + b x pairs with votes + c x pairs in a region",
        &points(|it| it.peer.bytes),
    );
    print_fit(
        "between hosts, messages/s, same factors",
        &points(|it| it.peer.messages),
    );
    let members = |it: &Usage| [1.0, float_from_usize(it.size.hosts + it.size.targets)];
    print_fit(
        "platform, B/s per host = a + b x members",
        &idle_points(runs, members, |it| {
            it.platform.bytes / float_from_usize(it.size.hosts)
        }),
    );
    let slices = |it: &Usage| [1.0, float_from_usize(it.size.slices)];
    print_fit(
        "grants, B/s per target = a + b x slices of the target",
        &idle_points(runs, slices, |it| {
            it.grants.bytes / float_from_usize(it.size.targets)
        }),
    );
    let hosts = |it: &Usage| [1.0, float_from_usize(it.size.hosts)];
    print_fit(
        "region 0 to 1 without the store, B/s = a + b x hosts",
        &idle_points(runs, hosts, |it| it.across[0]),
    );
}

/// Prints the processor time and memory of a host, idle and under load.
pub fn print_cpu(runs: &[Usage]) {
    println!("\npart cpu: processor time and resident memory per host");
    println!("| hosts | targets | slices/target | load | CPU ms/s | share of a core % | RSS MB |");
    println!("|---|---|---|---|---|---|---|");
    for it in runs {
        let cpu = it.cpu / float_from_usize(it.size.hosts);
        println!(
            "| {} | {} | {} | {} | {cpu:.1} | {:.2} | {:.1} |",
            it.size.hosts,
            it.size.targets,
            it.size.slices,
            label(it.load),
            cpu / 10.0,
            it.rss / 1_024.0,
        );
    }
    print_fit(
        "CPU when idle, ms/s of all hosts = a x hosts + b x targets + c x pairs of hosts in a region",
        &idle_points(runs, host_factors, |it| it.cpu),
    );
    let slices = |it: &Usage| {
        let targets = float_from_usize(it.size.targets);
        [
            float_from_usize(it.size.hosts),
            targets,
            targets * float_from_usize(it.size.slices),
        ]
    };
    print_fit(
        "CPU when idle, ms/s of all hosts = a x hosts + b x targets + c x slices",
        &idle_points(runs, slices, |it| it.cpu),
    );
}

/// Prints the store calls.
pub fn print_store(runs: &[Usage]) {
    println!("\npart store: calls of the platform per second");
    println!("| hosts | targets | slices/target | load | reads/s | writes/s | reads/s per host |");
    println!("|---|---|---|---|---|---|---|");
    for it in runs {
        println!(
            "| {} | {} | {} | {} | {:.1} | {:.2} | {:.2} |",
            it.size.hosts,
            it.size.targets,
            it.size.slices,
            label(it.load),
            it.reads,
            it.writes,
            it.reads / float_from_usize(it.size.hosts),
        );
    }
    let hosts = |it: &Usage| [1.0, float_from_usize(it.size.hosts)];
    print_fit(
        "reads/s = a + b x hosts",
        &idle_points(runs, hosts, |it| it.reads),
    );
    print_fit(
        "writes/s = a + b x hosts",
        &idle_points(runs, hosts, |it| it.writes),
    );
}

/// Factors of vote traffic: targets, ordered pairs of hosts that exchange votes, and all ordered
/// pairs of hosts in a region.
fn vote_factors(it: &Usage) -> [f64; 3] {
    let [_, targets, pairs] = host_factors(it);
    [targets, pairs.min(2.0 * targets), pairs]
}

/// Factors of host traffic: hosts, targets, and ordered pairs of hosts in a region.
fn host_factors(it: &Usage) -> [f64; 3] {
    let hosts = float_from_usize(it.size.hosts);
    // The hosts are divided equally between two regions.
    let pairs = hosts * (hosts / 2.0 - 1.0);
    [hosts, float_from_usize(it.size.targets), pairs]
}

/// Pairs of factors and value of the runs without load.
fn idle_points<const N: usize>(
    runs: &[Usage],
    factors: impl Fn(&Usage) -> [f64; N],
    value: impl Fn(&Usage) -> f64,
) -> Vec<([f64; N], f64)> {
    let runs = runs.iter().filter(|it| it.load == LoadLevel::Idle);
    runs.map(|it| (factors(it), value(it))).collect()
}

/// Fits coefficients to the points and prints them.
fn print_fit<const N: usize>(name: &str, points: &[([f64; N], f64)]) {
    let coefficients = fit(points);
    let error = residual(points, &coefficients);
    let coefficients: Vec<String> = coefficients.iter().map(|it| format!("{it:.3}")).collect();
    println!(
        "slopes: {name}: {} (residual {error:.2})",
        coefficients.join(", ")
    );
}

fn label(load: LoadLevel) -> &'static str {
    match load {
        LoadLevel::Idle => "none",
        LoadLevel::Loaded => "200 requests/s",
    }
}
