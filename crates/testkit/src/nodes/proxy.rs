//! A proxy of a deployment.

use std::{net::SocketAddr, path::Path};

use serde_json::Value;

use super::{command, control_address};
use crate::{client::Call, process::Process, proxy::ProxyCounts};

/// A proxy in front of an address.
#[derive(Debug)]
pub struct Proxy {
    /// The address on which the proxy accepts connections.
    pub address: SocketAddr,
    control: SocketAddr,
    _process: Process,
}

impl Proxy {
    /// Starts a proxy in front of `to`.
    ///
    /// # Panics
    ///
    /// Panics if the proxy does not start.
    pub async fn start(to: SocketAddr, log: &Path) -> Self {
        let (process, addresses) =
            Process::start_stand_in("proxy", &["--to", &to.to_string()], log).await;
        Self {
            address: addresses.listening,
            control: control_address(addresses),
            _process: process,
        }
    }

    /// Replaces the rule in force, see [`crate::proxy::Rule`].
    pub async fn set_rule(&self, rule: Value) {
        command(self.control, &Call::put("/control", &rule)).await;
    }

    /// The proxy's counters.
    pub async fn counts(&self) -> ProxyCounts {
        command(self.control, &Call::get("/counts")).await.json()
    }
}
