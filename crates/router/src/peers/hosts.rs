//! The hosts that serve.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A host's description of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostInfo {
    /// Its name.
    pub name: Arc<str>,
    /// Its data centre.
    pub place: Arc<str>,
    /// Where it accepts control messages.
    pub peer: SocketAddr,
    /// Where it accepts forwarded requests.
    pub forward: SocketAddr,
    /// Its CPU share in thousandths of a core.
    pub power: u32,
    /// Identifies this run of the process.
    pub incarnation: u64,
}

/// The hosts that are known to serve, by name.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Hosts {
    list: BTreeMap<Arc<str>, HostInfo>,
}

impl Hosts {
    /// Creates a list.
    #[must_use]
    pub fn new(hosts: impl IntoIterator<Item = HostInfo>) -> Self {
        let list = hosts.into_iter().map(|it| (Arc::clone(&it.name), it));
        Self {
            list: list.collect(),
        }
    }

    /// Returns the list with a host added or replaced.
    #[must_use]
    pub fn with(&self, host: HostInfo) -> Self {
        let mut list = self.list.clone();
        list.insert(Arc::clone(&host.name), host);
        Self { list }
    }

    /// Returns the list without a host.
    #[must_use]
    pub fn without(&self, name: &str) -> Self {
        let mut list = self.list.clone();
        list.remove(name);
        Self { list }
    }

    /// All hosts in name order.
    pub fn iter(&self) -> impl Iterator<Item = &HostInfo> {
        self.list.values()
    }

    /// Names of the hosts that `others` does not have, for logs.
    #[must_use]
    pub fn names_missing_from(&self, others: &Self) -> String {
        let mut names: SmallVec<[&str; 8]> = SmallVec::new();
        for name in self.list.keys() {
            if !others.list.contains_key(name) {
                names.push(name);
            }
        }
        names.join(" ")
    }

    /// The hosts of `place` in order of preference as gateway of the queue `name`: rendezvous
    /// hashing weighted by power, so that the loss of a host moves only the queues that it served.
    #[must_use]
    pub fn ranked(&self, place: &str, name: &str) -> Vec<&HostInfo> {
        let mut ranked: Vec<(f64, &HostInfo)> = Vec::new();
        for host in self.list.values() {
            if *host.place != *place {
                continue;
            }
            let seed = xxh3_64_with_seed(host.name.as_bytes(), 0);
            let hash = xxh3_64_with_seed(name.as_bytes(), seed);
            // The 53 highest bits as a number in (0, 1).
            #[expect(clippy::cast_precision_loss, reason = "53 bits fit")]
            let fraction = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
            let score = f64::from(host.power) / -fraction.ln();
            ranked.push((score, host));
        }
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
        ranked.into_iter().map(|(_, host)| host).collect()
    }
}
