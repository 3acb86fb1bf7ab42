//! Continuous load: callers that send requests until they are stopped.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::{
    sync::watch,
    task::{JoinHandle, JoinSet},
};

use crate::client::{Call, CallError, HttpClient, Reply, send};

/// Interval between readiness checks of the load balancer, and time limit of each check.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// One request of the load and its result.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The address of the host that got the request.
    pub host: SocketAddr,
    /// The request.
    pub call: Call,
    /// When it was sent.
    pub start: Instant,
    /// Time until the end of the answer or the failure.
    pub took: Duration,
    /// The answer, or the reason why there is none.
    pub reply: Result<Reply, CallError>,
}

/// The platform's load balancer, which selects the hosts that callers use.
#[derive(Debug)]
pub struct Balancer {
    hosts: watch::Receiver<Vec<SocketAddr>>,
    checks: Option<JoinHandle<()>>,
}

impl Balancer {
    /// Creates a balancer that always uses these hosts.
    #[must_use]
    pub fn fixed(hosts: Vec<SocketAddr>) -> Self {
        Self {
            hosts: watch::Sender::new(hosts).subscribe(),
            checks: None,
        }
    }

    /// Creates a balancer that uses the hosts that are ready. For each host it takes the address
    /// for callers and the address for operators.
    #[must_use]
    pub fn checking(hosts: Vec<(SocketAddr, SocketAddr)>) -> Self {
        let sender = watch::Sender::new(hosts.iter().map(|it| it.0).collect());
        let receiver = sender.subscribe();
        let checks = tokio::spawn(async move {
            let call = Call::get("/readyz");
            loop {
                let mut ready = Vec::new();
                for (data, operators) in &hosts {
                    let check = send(*operators, &call);
                    let reply = tokio::time::timeout(CHECK_INTERVAL, check).await;
                    if matches!(reply, Ok(Ok(it)) if it.status.is_success()) {
                        ready.push(*data);
                    }
                }
                sender.send_replace(ready);
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
        });
        Self {
            hosts: receiver,
            checks: Some(checks),
        }
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        if let Some(checks) = &self.checks {
            checks.abort();
        }
    }
}

/// A fixed number of callers; each sends its next request after the previous one has ended.
#[derive(Debug)]
pub struct Load {
    stopping: watch::Sender<bool>,
    callers: JoinSet<Vec<Sample>>,
    _balancer: Balancer,
}

impl Load {
    /// Starts `callers` callers with `pause` between the requests of each; `calls` creates the
    /// request with a given number.
    pub fn start(
        balancer: Balancer,
        callers: usize,
        pause: Duration,
        calls: impl Fn(usize) -> Call + Send + Sync + 'static,
    ) -> Self {
        let stopping = watch::Sender::new(false);
        let calls = Arc::new(calls);
        let mut tasks = JoinSet::new();
        for first in 0..callers {
            let calls = calls.clone();
            let hosts = balancer.hosts.clone();
            let mut stopped = stopping.subscribe();
            tasks.spawn(async move {
                let mut clients = HashMap::new();
                let mut samples = Vec::new();
                let mut number = first;
                while !*stopped.borrow() {
                    let host = {
                        let hosts = hosts.borrow();
                        // Callers change hosts at each request. The shift every 7 requests keeps a
                        // key from always being sent to the same host.
                        hosts
                            .get((number + number / 7) % hosts.len().max(1))
                            .copied()
                    };
                    if let Some(host) = host {
                        let client = clients.entry(host).or_insert_with(|| HttpClient::new(host));
                        let call = calls(number);
                        let start = Instant::now();
                        let reply = client.send(&call).await;
                        let took = start.elapsed();
                        samples.push(Sample {
                            host,
                            call,
                            start,
                            took,
                            reply,
                        });
                        number += callers;
                    }
                    let _ = tokio::time::timeout(pause, stopped.wait_for(|it| *it)).await;
                }
                samples
            });
        }
        Self {
            stopping,
            callers: tasks,
            _balancer: balancer,
        }
    }

    /// Stops the load and returns its requests, ordered by start time.
    pub async fn stop(self) -> Vec<Sample> {
        self.stopping.send_replace(true);
        let mut samples: Vec<_> = self
            .callers
            .join_all()
            .await
            .into_iter()
            .flatten()
            .collect();
        samples.sort_by_key(|it| it.start);
        samples
    }
}
