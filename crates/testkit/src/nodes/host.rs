//! An entry host of a deployment.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Arc,
};

use serde_json::{Value, json};

use super::Proxy;
use crate::{
    client::{Call, send},
    process::{Process, free_port},
};

/// Which connections of a host go through proxies.
#[derive(Clone, Copy, Debug)]
pub struct HostProxies {
    /// Those to the platform.
    pub platform: bool,
    /// Those from other hosts.
    pub hosts: bool,
}

/// The settings of a host that differ between hosts.
#[derive(Clone, Debug)]
pub struct HostSettings {
    /// The name.
    pub name: Arc<str>,
    /// The data centre.
    pub data_centre: Arc<str>,
    /// The address at which the host reaches the platform.
    pub platform: SocketAddr,
    /// Control addresses of other hosts, used if the platform is down when the host starts.
    pub seeds: Vec<SocketAddr>,
    /// Time for requests in flight to end at a stop, in milliseconds; `None` for the default.
    pub drain_ms: Option<u64>,
}

/// An entry host of the deployment.
#[derive(Debug)]
pub struct HostNode {
    /// The name.
    pub name: Arc<str>,
    /// The data centre.
    pub data_centre: Arc<str>,
    /// The process.
    pub process: Process,
    /// Address for callers.
    pub data: SocketAddr,
    /// Address for control messages of other hosts.
    pub peer: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Proxies for connections from other hosts: one to `data` and one to `peer`, or none.
    pub inbound_proxies: Vec<Proxy>,
    /// Proxies for connections from other data centres: one to `data` and one to `peer`, or none.
    pub remote_proxies: Vec<Proxy>,
    /// Proxy for connections to the platform, if they are proxied.
    pub platform_proxy: Option<Proxy>,
    /// The entry in the membership list.
    pub member: Value,
    settings_file: PathBuf,
}

impl HostNode {
    /// Starts a host; its settings and its log are written to `dir`.
    ///
    /// # Panics
    ///
    /// Panics if the host cannot be started.
    pub async fn start(settings: HostSettings, proxies: HostProxies, dir: &Path) -> Self {
        let HostSettings {
            name,
            data_centre,
            platform,
            seeds,
            drain_ms,
        } = settings;
        let (data, peer, operators) = (free_port(), free_port(), free_port());
        let log = dir.join(format!("{name}.log"));
        let platform_proxy = if proxies.platform {
            Some(Proxy::start(platform, &log.with_extension("platform")).await)
        } else {
            None
        };
        let mut inbound_proxies = Vec::new();
        if proxies.hosts {
            inbound_proxies.push(Proxy::start(data, &log.with_extension("data")).await);
            inbound_proxies.push(Proxy::start(peer, &log.with_extension("peer")).await);
        }
        let settings_file = dir.join(format!("{name}.yaml"));
        let mut text = json!({
            "host": name, "data_centre": data_centre, "data": data, "peer": peer,
            "operators": operators, "platform_timeout_ms": 1_000, "seeds": seeds,
            "platform": platform_proxy.as_ref().map_or(platform, |it| it.address),
        });
        if let Some(drain_ms) = drain_ms {
            text["drain_ms"] = drain_ms.into();
        }
        std::fs::write(&settings_file, text.to_string()).expect("the test directory is writable");
        let advertised =
            |idx: usize, direct| inbound_proxies.get(idx).map_or(direct, |it| it.address);
        let member = json!({
            "kind": "host", "state": "live", "place": data_centre, "operators": operators,
            "data": advertised(0, data), "peer": advertised(1, peer),
        });
        let process = Self::spawn(&settings_file, &log);
        Self {
            name,
            data_centre,
            process,
            data,
            peer,
            operators,
            inbound_proxies,
            remote_proxies: Vec::new(),
            platform_proxy,
            member,
            settings_file,
        }
    }

    /// Starts the process again with the same settings.
    pub fn restart(&mut self) {
        self.process = Self::spawn(
            &self.settings_file,
            &self.settings_file.with_extension("log"),
        );
    }

    /// Whether the readiness endpoint of the host reports success.
    pub async fn is_ready(&self) -> bool {
        let reply = send(self.operators, &Call::get("/readyz")).await;
        reply.is_ok_and(|it| it.status.is_success())
    }

    fn spawn(settings_file: &Path, log: &Path) -> Process {
        let file = settings_file.display().to_string();
        Process::start_binary("sassafrasd", &["--settings", &file], log)
    }
}
