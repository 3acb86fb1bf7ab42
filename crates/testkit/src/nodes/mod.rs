//! The processes of a deployment.

mod host;
mod proxy;
mod target;

use std::net::SocketAddr;

use crate::{
    client::{Call, Reply, send},
    process::Addresses,
};

pub use host::{HostNode, HostProxies, HostSettings};
pub use proxy::Proxy;
pub use target::{TargetNode, TargetSettings};

/// Sends a command to a stand-in.
///
/// # Panics
///
/// Panics if the stand-in does not answer with a success status.
pub async fn command(control: SocketAddr, call: &Call) -> Reply {
    let reply = send(control, call)
        .await
        .expect("a stand-in answers commands");
    assert!(
        reply.status.is_success(),
        "{call:?} was answered with {reply:?}"
    );
    reply
}

fn control_address(addresses: Addresses) -> SocketAddr {
    addresses
        .control
        .expect("targets and proxies print a control address")
}
