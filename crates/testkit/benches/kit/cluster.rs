//! A deployment for benches: real processes, with counting relays on their connections.

use std::{
    net::SocketAddr,
    path::Path,
    sync::Arc,
    time::{Duration, Instant},
};

use document::{Document, Service};
use platform::{Commit, CommitResult, Condition, Platform, Write};
use serde_json::{Value, json};
use tempfile::TempDir;
use testkit::{
    client::{Call, send},
    nodes::{HostNode, HostProxies, HostSettings, TargetNode, TargetSettings, command},
    process::Process,
    store::Counts,
};

use super::relay::Relay;

/// Time limit for all hosts and targets to serve.
const START_TIMEOUT: Duration = Duration::from_mins(1);

/// Interval at which readiness is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum number of rows in one commit of the bench.
const COMMIT_ROWS: usize = 500;

/// Generation of a slice that has never been moved.
const FIRST_GENERATION: u64 = 65_536;

/// Whether the connections of a deployment go through counting relays.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Counting {
    /// Connections go through relays.
    On,
    /// Connections are direct.
    Off,
}

/// The size of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of entry hosts.
    pub hosts: usize,
    /// Number of targets.
    pub targets: usize,
    /// Number of slices of each target.
    pub slices: usize,
    /// Number of data centres, at most two, each in its own region.
    pub data_centres: usize,
}

/// A running deployment; dropping it kills its processes.
pub struct Cluster {
    /// The size.
    pub size: Size,
    /// The hosts.
    pub hosts: Vec<HostNode>,
    /// Relays for requests to the hosts, one for each host.
    pub data_relays: Vec<Relay>,
    /// Relays for control messages to the hosts, one for each host.
    pub peer_relays: Vec<Relay>,
    /// Relays from the hosts to the platform, one for each host.
    pub platform_relays: Vec<Relay>,
    /// Relays from the hosts to the targets, one for each target.
    pub target_relays: Vec<Relay>,
    /// The targets.
    pub targets: Vec<TargetNode>,
    /// The address of the platform stand-in.
    pub platform: SocketAddr,
    service: Service,
    counting: Counting,
    data_centres: Vec<Arc<str>>,
    _platform: Process,
    dir: TempDir,
}

impl Cluster {
    /// Starts all processes and waits until each host serves each target; `checks` says whether
    /// targets check grants.
    pub async fn start(size: Size, counting: Counting, checks: bool) -> Self {
        let dir = TempDir::new().expect("temporary directory can be created");
        let log = dir.path().join("platform.log");
        let (process, addresses) = Process::start_stand_in("platform", &[], &log).await;
        let (mut document, data_centres) = build_document(size, checks);
        let mut cluster = Self {
            size,
            hosts: Vec::new(),
            data_relays: Vec::new(),
            peer_relays: Vec::new(),
            platform_relays: Vec::new(),
            target_relays: Vec::new(),
            targets: Vec::new(),
            platform: addresses.listening,
            service: document.services[0].clone(),
            counting,
            data_centres,
            _platform: process,
            dir,
        };
        cluster.start_targets(&mut document).await;
        let names: Vec<_> = document.services[0]
            .targets
            .iter()
            .map(|it| it.name.to_string())
            .collect();
        let service = cluster.service.name.to_string();
        cluster
            .write_slices(&service, &names, 0, size.slices * size.targets)
            .await;
        cluster.apply(&document).await;
        for _ in 0..size.hosts {
            cluster.add_host().await;
        }
        cluster.wait_until_ready().await;
        cluster
    }

    /// Starts one more host.
    pub async fn add_host(&mut self) {
        let number = self.hosts.len();
        let platform_relay = Relay::start(self.platform).await;
        let platform = match self.counting {
            Counting::On => platform_relay.address,
            Counting::Off => self.platform,
        };
        let settings = HostSettings {
            name: format!("h{:03}", number + 1).into(),
            data_centre: Arc::clone(&self.data_centres[number % self.data_centres.len()]),
            platform,
            seeds: Vec::new(),
            drain_ms: None,
        };
        let proxies = HostProxies {
            platform: false,
            hosts: false,
        };
        let host = HostNode::start(settings, proxies, self.dir.path()).await;
        let data = Relay::start(host.data).await;
        let peer = Relay::start(host.peer).await;
        let mut member = host.member.clone();
        if self.counting == Counting::On {
            member["data"] = json!(data.address);
            member["peer"] = json!(peer.address);
        }
        self.set_member(&host.name, &member).await;
        self.hosts.push(host);
        self.data_relays.push(data);
        self.peer_relays.push(peer);
        self.platform_relays.push(platform_relay);
    }

    /// Divides the hash range of a service into `to` equal slices and writes the rows of the slices
    /// `from..to`, assigned to the targets in turn.
    pub async fn write_slices(&self, service: &str, targets: &[String], from: usize, to: usize) {
        let platform = Platform::new(self.platform, Duration::from_secs(10));
        let bound = |idx: usize| u64::try_from(((idx as u128) << 64) / to as u128).unwrap_or(0);
        let numbers: Vec<usize> = (from..to).collect();
        for chunk in numbers.chunks(COMMIT_ROWS) {
            let write = |&idx: &usize| Write {
                row: format!("slice/{service}/{:016x}", bound(idx)),
                value: json!({
                    "high": bound(idx + 1).wrapping_sub(1),
                    "target": targets[idx % targets.len()],
                    "generation": FIRST_GENERATION,
                }),
            };
            let commit = Commit {
                change: format!("fill-{service}-{}-{to}", chunk[0]),
                conditions: Vec::new(),
                writes: chunk.iter().map(write).collect(),
            };
            let result = platform.commit(&commit).await;
            assert!(matches!(result, CommitResult::Applied { .. }), "{result:?}");
        }
    }

    /// A GET for a key.
    pub fn get(&self, key: &str) -> Call {
        Call::get(format!("{}/{key}", self.service.prefix))
    }

    /// The counters of the platform stand-in.
    pub async fn counts(&self) -> Counts {
        let call = Call::get("/control/counts");
        command(self.platform, &call).await.json()
    }

    /// The addresses of all hosts that serve callers.
    pub fn data_addresses(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|it| it.data).collect()
    }

    /// The index of a host's region: 0 or 1.
    pub fn region(&self, host: usize) -> usize {
        host % self.data_centres.len()
    }

    /// The index of the host that is the gateway of a key's owner.
    pub async fn gateway(&self, key: &str) -> usize {
        let call = Call::get(format!("/owner?service={}&key={key}", self.service.name));
        let reply = send(self.hosts[0].operators, &call).await;
        let owner: Value = reply.expect("running host answers operators").json();
        let idx = self
            .hosts
            .iter()
            .position(|it| owner["gateway"] == *it.name);
        idx.expect("gateway is one of the hosts")
    }

    async fn wait_until_ready(&self) {
        let started = Instant::now();
        for (number, host) in self.hosts.iter().enumerate() {
            while !host.is_ready().await {
                assert!(
                    started.elapsed() < START_TIMEOUT,
                    "{} is not ready",
                    host.name
                );
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            for key in 0..8 * self.size.targets {
                let call = self.get(&format!("probe{number}-{key}"));
                loop {
                    let reply = send(host.data, &call).await;
                    if reply.as_ref().is_ok_and(|it| it.status.is_success()) {
                        break;
                    }
                    assert!(started.elapsed() < START_TIMEOUT, "{call:?} got {reply:?}");
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            }
        }
    }

    async fn start_targets(&mut self, document: &mut Document) {
        let settings = TargetSettings {
            work_ms: 0,
            body_bytes: 1_024,
            proxied: false,
        };
        let service = &mut document.services[0];
        for idx in 0..service.targets.len() {
            let target = service.targets[idx].clone();
            let node = TargetNode::start(service, target, settings, self.dir.path()).await;
            let address = node
                .target
                .address
                .parse()
                .expect("address of a target is valid");
            let relay = Relay::start(address).await;
            service.targets[idx] = node.target.clone();
            if self.counting == Counting::On {
                service.targets[idx].address = relay.address.to_string().into();
            }
            let name = format!("{}/{}", service.name, node.target.name);
            let place = &node.target.data_centre;
            let member = json!({"kind": "target", "state": "live", "place": place});
            self.set_member(&name, &member).await;
            self.targets.push(node);
            self.target_relays.push(relay);
        }
    }

    async fn set_member(&self, name: &str, member: &Value) {
        let call = Call::put(format!("/control/members/{name}"), member);
        command(self.platform, &call).await;
    }

    async fn apply(&self, document: &Document) {
        let platform = Platform::new(self.platform, Duration::from_secs(5));
        let text = serde_yaml_ng::to_string(document).expect("document can be serialised as YAML");
        let value = json!({"version": 1, "change": "first", "text": text});
        let rows = ["document/current", "document/v/1"];
        let commit = Commit {
            change: "first".to_owned(),
            conditions: rows
                .iter()
                .map(|it| Condition {
                    row: (*it).to_owned(),
                    rev: 0,
                })
                .collect(),
            writes: rows
                .iter()
                .map(|it| Write {
                    row: (*it).to_owned(),
                    value: value.clone(),
                })
                .collect(),
        };
        let result = platform.commit(&commit).await;
        assert!(matches!(result, CommitResult::Applied { .. }), "{result:?}");
    }
}

/// Builds a document with the first service of an example and `size.targets` targets; also returns
/// the data centres that it uses.
fn build_document(size: Size, checks: bool) -> (Document, Vec<Arc<str>>) {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/cavallucci.yaml");
    let text = std::fs::read_to_string(file).expect("example is readable");
    let mut document = document::parse(&text).expect("example is valid");
    let regions = &document.places.regions;
    let data_centres = regions.iter().map(|it| &it.data_centres[0]);
    let data_centres: Vec<_> = data_centres
        .take(size.data_centres)
        .map(|it| it.name.clone())
        .collect();
    document.services.truncate(1);
    let service = &mut document.services[0];
    service.checks_grants = checks;
    let first = service.targets[0].clone();
    service.targets.clear();
    for idx in 0..size.targets {
        let mut target = first.clone();
        target.name = format!("a{:03}", idx + 1).into();
        target.data_centre = Arc::clone(&data_centres[idx % data_centres.len()]);
        // The bench measures the request path, so targets have enough slots not to queue requests.
        target.slots = 32;
        service.targets.push(target);
    }
    (document, data_centres)
}
