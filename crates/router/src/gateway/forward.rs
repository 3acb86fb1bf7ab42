//! Forwards requests to the gateway on another host.

mod connection;
mod liveness;
mod received;
mod task_scope;

use std::{
    collections::HashMap,
    net::SocketAddr,
    pin::pin,
    sync::{Arc, Mutex},
    time::Duration,
};

use process::BootClock;
use refusal::Reason;
use routing::Repeat;
use tokio::sync::watch;

use self::connection::{Connection, FetchError};
use super::{AttemptOutcome, GatewayRequest, hop};
use crate::{node::Node, observe::Metrics, peers::HostInfo};

/// How much longer this host waits than the gateway, because only the gateway's own refusal states
/// whether the request ran.
const ANSWER_ALLOWANCE: Duration = Duration::from_millis(30);

/// Connections on which a request is tried, as long as none has accepted it. A connection that the
/// other host has closed may look usable until the first request.
const MAX_CONNECTIONS: usize = 2;

/// State of the newest connection to a host.
#[derive(Clone)]
enum Progress {
    Connecting,
    Failed,
    Open(Arc<Connection>),
}

type Link = watch::Receiver<Progress>;

/// Multiplexed connections to the other hosts: to each one that carries new requests, and those that
/// were retired and still carry earlier ones.
pub struct Forwarder {
    clock: BootClock,
    metrics: Arc<Metrics>,
    links: Mutex<HashMap<SocketAddr, Link>>,
}

impl Forwarder {
    /// Creates a forwarder without connections.
    pub fn new(clock: BootClock, metrics: Arc<Metrics>) -> Self {
        Self {
            clock,
            metrics,
            links: Mutex::default(),
        }
    }

    /// Sends a request to the gateway on `host`.
    ///
    /// If the gateway stops answering on the connection, the request is abandoned as lost if `repeat`
    /// allows that. Otherwise, and while this host is stopping, it waits for its answer until its
    /// end or until the connection fails.
    pub async fn send(
        &self,
        node: &Node,
        host: &HostInfo,
        gateway_request: &GatewayRequest,
        repeat: Repeat,
    ) -> AttemptOutcome {
        let left = gateway_request.end.saturating_sub(node.clock.now());
        let limit = Duration::from_millis(left) + ANSWER_ALLOWANCE;
        let exchange = self.exchange(node, host, gateway_request, repeat);
        match tokio::time::timeout(limit, exchange).await {
            Ok(outcome) => outcome,
            Err(_) => AttemptOutcome::Unknown(Reason::DeadlineAfterStart),
        }
    }

    async fn exchange(
        &self,
        node: &Node,
        host: &HostInfo,
        gateway_request: &GatewayRequest,
        repeat: Repeat,
    ) -> AttemptOutcome {
        for _ in 0..MAX_CONNECTIONS {
            let Some(connection) = self.connection(host.forward).await else {
                break;
            };
            let Some(permit) = connection.begin() else {
                continue;
            };
            let now = node.clock.now();
            let request = hop::request_of(gateway_request, &host.forward.to_string(), now);
            let mut fetch = pin!(permit.fetch(request, &node.answer_limits));
            let result = tokio::select! {
                biased;
                result = &mut fetch => result,
                () = connection.retired() => {
                    node.suspects.suspect(&host.name, node.clock.now());
                    if repeat == Repeat::Allowed && !*node.stopping.borrow() {
                        return AttemptOutcome::Unknown(Reason::GatewayLost);
                    }
                    fetch.await
                }
            };
            match result {
                Ok(response) => {
                    if let Some(wait_ms) = hop::wait_of(response.headers()) {
                        let queue = &gateway_request.queue;
                        node.waits.learn(queue, wait_ms, node.clock.now());
                    }
                    return hop::outcome_of(response);
                }
                Err(FetchError::NotSent) => {}
                Err(FetchError::Lost(err)) => {
                    log::debug!("no answer of the gateway on {}: {err}", host.name);
                    return AttemptOutcome::Unknown(Reason::GatewayLost);
                }
            }
        }
        AttemptOutcome::not_sent(Reason::OwnerUnreachable)
    }

    /// The connection for new requests to a host; `None` if it cannot be established. Requests that
    /// arrive while it is being established share it.
    async fn connection(&self, address: SocketAddr) -> Option<Arc<Connection>> {
        let mut link = self.link(address);
        let progress = link.wait_for(|it| !matches!(it, Progress::Connecting));
        match &*progress.await.ok()? {
            Progress::Open(connection) => Some(Arc::clone(connection)),
            Progress::Connecting | Progress::Failed => None,
        }
    }

    fn link(&self, address: SocketAddr) -> Link {
        let mut links = self.links.lock().expect("lock is not poisoned");
        if let Some(link) = links.get(&address)
            && is_usable(link)
        {
            return link.clone();
        }
        links.retain(|_, link| is_usable(link));
        let link = self.connect(address);
        links.insert(address, link.clone());
        link
    }

    fn connect(&self, address: SocketAddr) -> Link {
        let (sender, link) = watch::channel(Progress::Connecting);
        let (clock, metrics) = (self.clock, Arc::clone(&self.metrics));
        // A task of its own, because the connection serves other requests, too, if the first one is
        // cancelled.
        tokio::spawn(async move {
            let connected = Connection::connect(address, clock, metrics).await;
            sender.send_replace(match connected {
                Ok(connection) => Progress::Open(connection),
                Err(err) => {
                    log::debug!("no connection to the gateway at {address}: {err}");
                    Progress::Failed
                }
            });
        });
        link
    }
}

/// Whether new requests may use a link.
fn is_usable(link: &Link) -> bool {
    match &*link.borrow() {
        Progress::Connecting => link.has_changed().is_ok(),
        Progress::Failed => false,
        Progress::Open(connection) => connection.is_usable(),
    }
}

#[cfg(test)]
mod tests;
