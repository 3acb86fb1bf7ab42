//! Prints the costs of the request path and of control traffic, measured with real processes on
//! 127.0.0.1.
//!
//! `cargo build --release --bins --examples`, then
//! `cargo bench -p testkit --bench path -- PART...` with parts `latency`, `control`, `cpu`,
//! `memory` and `store`; without an argument all parts run. No result makes the bench fail.

mod kit;

use self::kit::{latency, memory, rates, usage};

const PARTS: [&str; 5] = ["latency", "control", "cpu", "memory", "store"];

#[tokio::main]
async fn main() {
    // Cargo passes `--bench`.
    let mut parts: Vec<String> = std::env::args().skip(1).collect();
    parts.retain(|it| it != "--bench");
    if let Some(unknown) = parts.iter().find(|it| !PARTS.contains(&it.as_str())) {
        eprintln!("unknown part {unknown}; the parts are {PARTS:?}");
        std::process::exit(2);
    }
    let is_selected = |part: &str| parts.is_empty() || parts.iter().any(|it| it == part);
    if is_selected("latency") {
        latency::print().await;
    }
    if is_selected("memory") {
        memory::print().await;
    }
    if is_selected("control") || is_selected("cpu") || is_selected("store") {
        let runs = usage::measure().await;
        if is_selected("control") {
            usage::print_control(&runs);
        }
        if is_selected("cpu") {
            usage::print_cpu(&runs);
        }
        if is_selected("store") {
            usage::print_store(&runs);
        }
    }
    if is_selected("cpu") {
        rates::print_requests().await;
    }
    if is_selected("store") {
        rates::print_claims().await;
    }
}
