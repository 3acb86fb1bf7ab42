//! The service that each host offers to the others.

#![allow(missing_docs, reason = "tarpc generates items without doc comments")]

use std::{net::SocketAddr, sync::Arc};

use coordinator::{Incarnation, Key};
use serde::{Deserialize, Serialize};

use super::{Event, HostInfo, Position};

/// Requests for one key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyCount {
    /// The key.
    pub key: Key,
    /// Requests that arrived.
    pub count: u32,
}

/// What the answered requests of one route cost a target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RouteCost {
    /// The route.
    pub route: Arc<str>,
    /// Answered requests.
    pub count: u32,
    /// Milliseconds for which they occupied slots, in total.
    pub busy_ms: u32,
}

/// What a gateway saw of one target since its last report.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetLoad {
    /// The target.
    pub target: Arc<str>,
    /// Requests that arrived, by key.
    pub keys: Vec<KeyCount>,
    /// What requests cost, by route.
    pub costs: Vec<RouteCost>,
    /// Keys that the target refused because it does not hold them.
    pub refused: Vec<Key>,
    /// Requests that wait.
    pub waiting: u32,
}

/// A crash of a target at which a request was in flight.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Crash {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// The life of the target.
    pub life: Incarnation,
}

/// What a host reports.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Report {
    /// The host.
    pub host: HostInfo,
    /// Whether it takes requests of other hosts.
    pub serves: bool,
    /// What it knows already.
    pub known: Position,
    /// Milliseconds since its last report.
    pub span_ms: u32,
    /// Load of the targets whose gateway it is.
    pub loads: Vec<TargetLoad>,
    /// Crashes that it saw.
    pub crashes: Vec<Crash>,
    /// Whether the host can reach the store; `None` if it has not tried lately.
    pub store: Option<bool>,
    /// Longest time in milliseconds to wait for news.
    pub wait_ms: u32,
}

/// What a host answers to a report.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct News {
    /// Where the host takes control messages.
    pub peer: SocketAddr,
    /// Where the coordinator is, as far as the host knows.
    pub coordinator: Option<SocketAddr>,
    /// The coordinator cannot reach the store, and resigns for a host that can.
    pub needs_heir: bool,
    /// The term in which the host coordinated and will not act any more.
    pub resigned: Option<u64>,
    /// The position before the events; of no meaning if they are complete.
    pub from: Position,
    /// The position after the events.
    pub position: Position,
    /// Whether the events are all that there is to know.
    pub complete: bool,
    /// The events.
    pub events: Vec<Event>,
    /// Milliseconds since the configuration and the targets were in step with the store.
    pub age_ms: u64,
}

impl News {
    /// Whether the host that sent it coordinates.
    #[must_use]
    pub fn is_own(&self) -> bool {
        self.coordinator == Some(self.peer)
    }
}

/// Messages between hosts.
#[tarpc::service]
pub trait Coordination {
    /// Reports to the host and waits for news.
    async fn sync(report: Report) -> News;
}
