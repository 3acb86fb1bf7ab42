//! Messages between hosts.
//!
//! Each host keeps one call open at the coordinator, which answers it as soon as there is news.
//! Any host answers such a call from what it knows itself, so that one that cannot reach the
//! coordinator or the store learns from its neighbours.

mod client;
mod coordination;
mod feed;
mod hosts;
mod server;

pub use client::connect;
pub use coordination::{
    Coordination, CoordinationClient, Crash, KeyCount, Report, ReportReply, RouteCost, TargetLoad,
};
pub use feed::{Event, Feed, Position};
pub use hosts::{HostInfo, Hosts};
pub use server::bind;
