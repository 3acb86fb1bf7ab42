//! Messages between hosts.
//!
//! Each host keeps one call open to the coordinator, which answers it as soon as there are updates
//! (long polling). Any host answers such a call from its own state, so that a host that can reach
//! neither the coordinator nor the store gets updates from other hosts. Replies name the version of
//! the configuration; a host that lacks it fetches it with a call of its own, on another connection,
//! because it may take longer than reports are awaited.

mod client;
mod coordination;
mod feed;
mod hosts;
mod messages;
mod server;

pub use client::PeerClient;
pub use coordination::{
    CatalogAnswer, CatalogQuery, Coordination, CoordinationClient, Crash, KeyCount, Report,
    ReportReply, RouteCost, TargetLoad,
};
pub use feed::{Event, Feed, Position};
pub use hosts::{GatewayNeed, HostInfo, Hosts};
pub use server::bind;
