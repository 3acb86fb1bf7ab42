//! Memory of a host by the number of slices, and the traffic caused by a new host.

use std::time::{Duration, Instant};

use testkit::client::{Call, send};

use super::{
    cluster::{Cluster, Counting, Size},
    fit::fit,
    float_from_u64, float_from_usize,
    process::rss_kb,
    relay::{Relay, Traffic},
};

const SIZE: Size = Size {
    hosts: 1,
    targets: 1,
    slices: 16,
    data_centres: 1,
};

/// Numbers of slices in the table that are compared.
const SLICES: [usize; 4] = [0, 1_000, 10_000, 50_000];

/// Number of targets that own the slices.
const OWNERS: usize = 400;

/// Time for a host to apply new rows and to free the memory that reading them needed.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Prints a row for each number of slices. The slices belong to a service that is not in the
/// document, so that the memory of the table is measured without that of a gateway.
pub async fn print() {
    println!("\npart memory: RSS in KB; the new host reads the whole table from the store");
    println!(
        "| slices | RSS of the planner | RSS of the new host | new host ready ms | bytes from the store | bytes pushed to one peer |"
    );
    println!("|---|---|---|---|---|---|");
    let owners: Vec<String> = (0..OWNERS).map(|it| format!("b{it:03}")).collect();
    let mut rss = Vec::new();
    let mut read = Vec::new();
    let mut pushed = Vec::new();
    for slices in SLICES {
        let mut cluster = Cluster::start(SIZE, Counting::On, true).await;
        if slices > 0 {
            cluster.write_slices("ballast", &owners, 0, slices).await;
        }
        tokio::time::sleep(SETTLE_TIME).await;
        let planner = rss_kb(&cluster.hosts[0].process);
        let start = Instant::now();
        cluster.add_host().await;
        while !cluster.hosts[1].is_ready().await {
            assert!(
                start.elapsed() < Duration::from_secs(30),
                "the new host is not ready after 30 s"
            );
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let took = start.elapsed();
        tokio::time::sleep(SETTLE_TIME).await;
        let bytes = largest(&cluster.platform_relays[1]).down;
        let push = largest(&cluster.peer_relays[0]).up;
        let new_host = rss_kb(&cluster.hosts[1].process);
        let status = send(cluster.hosts[1].operators, &Call::get("/status")).await;
        assert!(status.is_ok(), "the new host does not answer");
        println!(
            "| {slices} | {planner} | {new_host} | {} | {bytes} | {push} |",
            took.as_millis(),
        );
        rss.push((
            [1.0, float_from_usize(slices)],
            float_from_u64(new_host) * 1_024.0,
        ));
        read.push(([1.0, float_from_usize(slices)], float_from_u64(bytes)));
        pushed.push(([1.0, float_from_usize(slices)], float_from_u64(push)));
    }
    println!(
        "slopes per slice: RSS {:.0} bytes, read {:.0} bytes, pushed to each peer {:.0} bytes; RSS without slices {:.1} MB",
        fit(&rss)[1],
        fit(&read)[1],
        fit(&pushed)[1],
        fit(&rss)[0] / 1e6,
    );
}

/// Traffic of the connection with the most bytes.
fn largest(relay: &Relay) -> Traffic {
    let traffic = relay
        .links()
        .iter()
        .map(|it| it.traffic())
        .collect::<Vec<_>>();
    let largest = traffic.into_iter().max_by_key(|it| it.bytes());
    largest.unwrap_or_default()
}
