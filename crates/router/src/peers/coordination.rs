//! The RPC service that each host offers to the others.

#![allow(missing_docs, reason = "tarpc generates items without doc comments")]

use std::{net::SocketAddr, sync::Arc};

use coordinator::{Incarnation, Key};
use serde::{Deserialize, Serialize};

use super::{Event, HostInfo, Position};
use crate::state::{CatalogMark, CatalogUpdate, Departure, Evacuation};

/// Requests for one key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyCount {
    /// The key.
    pub key: Key,
    /// Requests that arrived.
    pub count: u32,
}

/// The time that a target spent on the answered requests of one route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RouteCost {
    /// The route.
    pub route: Arc<str>,
    /// Number of answered requests.
    pub count: u32,
    /// Milliseconds for which they occupied slots, in total.
    pub busy_ms: u32,
}

/// Load of one target since the gateway's last report.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetLoad {
    /// The target.
    pub target: Arc<str>,
    /// Arrived requests by key.
    pub keys: Vec<KeyCount>,
    /// Time spent on requests, by route.
    pub costs: Vec<RouteCost>,
    /// Keys that the target refused because it does not hold them.
    pub refused: Vec<Key>,
    /// Requests that wait.
    pub waiting: u32,
}

/// A crash of a target while a request was in flight.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Crash {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// The incarnation of the target.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
}

/// A host's report.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Report {
    /// The reporting host.
    pub host: HostInfo,
    /// Whether it accepts requests of other hosts.
    pub serves: bool,
    /// The position up to which it knows all events.
    pub known: Position,
    /// The newest version of the configuration that it has heard of.
    pub catalog: Option<u64>,
    /// Milliseconds since its last report.
    pub span_ms: u32,
    /// Load of the targets whose gateway it is.
    pub loads: Vec<TargetLoad>,
    /// Crashes that it observed.
    pub crashes: Vec<Crash>,
    /// Incarnations of targets that, as it knows, are about to stop.
    pub leaving: Vec<Departure>,
    /// Whether the host can reach the store; `None` if it has not tried since its last report.
    pub store: Option<bool>,
    /// Longest time in milliseconds for which the reply may wait for updates.
    pub wait_ms: u32,
}

/// A host's reply to a report.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReportReply {
    /// Where the replying host accepts control messages.
    pub peer: SocketAddr,
    /// Address of the coordinator; `None` if the host knows none.
    pub coordinator: Option<SocketAddr>,
    /// Whether the replying host coordinates but cannot reach the store; it resigns once another
    /// host can.
    #[serde(rename = "needs_heir")]
    pub needs_successor: bool,
    /// The last term from which the host has resigned as coordinator; `None` if there is none.
    pub resigned: Option<u64>,
    /// The position before the events; unused if `complete`.
    pub from: Position,
    /// The position after the events.
    pub position: Position,
    /// Whether the events are the full state rather than the changes since `from`.
    pub complete: bool,
    /// The events.
    pub events: Vec<Event>,
    /// The version of the configuration in force; `None` until one is known.
    pub catalog: Option<CatalogMark>,
    /// Milliseconds since that version was known to be the newest one.
    pub catalog_age: u64,
    /// Staleness: milliseconds since the configuration and the targets were in sync with the store.
    pub age_ms: u64,
    /// Milliseconds since the targets were in sync with the store; `None` if the replying host has
    /// never known that.
    pub targets_age_ms: Option<u64>,
    /// Milliseconds for which the replying host held the report. The reply was sent this long after
    /// the report at the earliest, however late it arrives.
    pub held_ms: u64,
}

impl ReportReply {
    /// Whether the replying host is the coordinator.
    #[must_use]
    pub fn is_from_coordinator(&self) -> bool {
        self.coordinator == Some(self.peer)
    }
}

/// A request for the configuration.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct CatalogQuery {
    /// The version that the asking host has.
    pub known: Option<u64>,
    /// The version that it has heard of; the answer waits for it.
    pub wanted: Option<u64>,
    /// Longest time in milliseconds for which the answer may wait.
    pub wait_ms: u32,
    /// Whether the answering host reads the store if it has not done so for a while.
    pub fresh: bool,
}

/// The answer to a request for the configuration.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CatalogAnswer {
    /// What the asking host lacks; `None` if the answering host has nothing newer.
    pub update: Option<CatalogUpdate>,
    /// The version that the answering host has.
    pub mark: Option<CatalogMark>,
    /// Milliseconds since that version was known to be the newest one.
    pub age_ms: u64,
    /// The evacuations that the answering host knows.
    pub evacuations: Vec<Evacuation>,
}

/// Messages between hosts.
#[tarpc::service]
pub trait Coordination {
    /// Reports to the host and waits for updates.
    async fn sync(report: Report) -> ReportReply;

    /// Asks for the configuration.
    async fn catalog(query: CatalogQuery) -> CatalogAnswer;
}
