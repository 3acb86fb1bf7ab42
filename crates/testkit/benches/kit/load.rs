//! Load of a fixed number of requests, sent at a fixed rate or one after the other.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use testkit::client::{Call, HttpClient};
use tokio::{task::JoinSet, time::MissedTickBehavior};

/// Results of the requests of all callers.
#[derive(Debug)]
pub struct LoadResult {
    /// Latencies of the answered requests in microseconds.
    pub times: Histogram<u64>,
    /// Number of requests without a successful and complete answer.
    pub failed: u64,
    /// Duration of the load.
    pub took: Duration,
}

impl LoadResult {
    /// Creates an empty result.
    pub fn new() -> Self {
        Self {
            times: Histogram::new(3).expect("three significant digits are valid"),
            failed: 0,
            took: Duration::ZERO,
        }
    }

    /// Adds the results of a load that ran at another time.
    pub fn add(&mut self, other: &Self) {
        self.times.add(&other.times).expect("the histogram grows");
        self.failed += other.failed;
        self.took += other.took;
    }
}

/// Sends `count` requests from each of `callers` callers, each on one connection to one of the
/// addresses. A caller starts its requests at intervals of `pause`; if that is zero, it starts each
/// one when the previous one has ended.
pub async fn run_load(
    addresses: &[SocketAddr],
    callers: usize,
    count: usize,
    pause: Duration,
    calls: impl Fn(usize) -> Call + Send + Sync + 'static,
) -> LoadResult {
    let calls = Arc::new(calls);
    let mut tasks = JoinSet::new();
    let start = Instant::now();
    for caller in 0..callers {
        let address = addresses[caller % addresses.len()];
        let calls = Arc::clone(&calls);
        tasks.spawn(async move {
            let mut client = HttpClient::new(address);
            let mut result = LoadResult::new();
            if !pause.is_zero() {
                // The starts of the callers are spread evenly over the pause.
                let callers = u32::try_from(callers).expect("callers are few");
                let position = u32::try_from(caller).expect("callers are few");
                tokio::time::sleep(pause / callers * position).await;
            }
            let mut ticks = tokio::time::interval(pause.max(Duration::from_micros(1)));
            ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
            for number in 0..count {
                if !pause.is_zero() {
                    ticks.tick().await;
                }
                let call = calls(number * callers + caller);
                let start = Instant::now();
                let reply = client.send(&call).await;
                let took = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
                match reply {
                    Ok(it) if it.status.is_success() && it.complete => {
                        result
                            .times
                            .record(took.max(1))
                            .expect("the histogram grows");
                    }
                    Ok(it) => {
                        result.failed += 1;
                        println!("failed after {took} us: {} {:?}", it.status, it.refused());
                    }
                    Err(err) => {
                        result.failed += 1;
                        println!("failed after {took} us: {err}");
                    }
                }
            }
            result
        });
    }
    let mut all = LoadResult::new();
    while let Some(result) = tasks.join_next().await {
        all.add(&result.expect("caller does not panic"));
    }
    all.took = start.elapsed();
    all
}
