//! The hosts that serve.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// CPU share, in thousandths of a core, that the requests of one slot take at their gateway: a request
/// costs about 0.5 ms, and a slot runs some four of them a second.
const SLOT_POWER: u32 = 2;

/// Bandwidth in Mbit/s that the requests of one slot of a service with large bodies take at their
/// gateway: four bodies of 60 KB a second, with as much again for everything else on the link.
const BULK_SLOT_MBPS: u32 = 4;

/// Part of what the best host meets of a queue's need from which on another suits as well.
const SUITABLE_SHARE: f64 = 0.5;

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
    /// Bandwidth of its link in Mbit/s.
    pub link_mbps: u32,
    /// Identifies this run of the process.
    pub incarnation: u64,
}

/// What the gateway of a queue needs, so that it does not delay the requests that pass it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GatewayNeed {
    /// CPU share in thousandths of a core.
    pub power: u32,
    /// Bandwidth in Mbit/s.
    pub link_mbps: u32,
}

impl GatewayNeed {
    /// The need of a queue whose targets have `slots` together; `bulk` if bodies are large.
    #[must_use]
    pub fn of_slots(slots: u32, bulk: bool) -> Self {
        let link_mbps = if bulk {
            slots.saturating_mul(BULK_SLOT_MBPS)
        } else {
            0
        };
        Self {
            power: slots.saturating_mul(SLOT_POWER),
            link_mbps,
        }
    }

    /// The part of the need that a host meets, at most 1.
    fn met_by(self, host: &HostInfo) -> f64 {
        let part = |has: u32, needed: u32| match needed {
            0 => 1.0,
            _ => (f64::from(has) / f64::from(needed)).min(1.0),
        };
        part(host.power, self.power).min(part(host.link_mbps, self.link_mbps))
    }
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
    /// Hosts that meet much less of the queue's need than the best one come last.
    #[must_use]
    pub fn ranked(&self, place: &str, name: &str, need: GatewayNeed) -> Vec<&HostInfo> {
        self.ranked_among(|it| *it.place == *place, name, need)
    }

    /// The hosts that meet a condition, in the same order of preference.
    #[must_use]
    pub fn ranked_among(
        &self,
        is_candidate: impl Fn(&HostInfo) -> bool,
        name: &str,
        need: GatewayNeed,
    ) -> Vec<&HostInfo> {
        let mut ranked: Vec<(f64, &HostInfo)> = Vec::new();
        let candidates = self.list.values().filter(|it| is_candidate(it));
        let most_met = candidates.map(|it| need.met_by(it)).fold(0.0, f64::max);
        let suits = |it: &HostInfo| need.met_by(it) >= most_met * SUITABLE_SHARE;
        for host in self.list.values() {
            if !is_candidate(host) {
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
        ranked.sort_by(|a, b| {
            let by_need = suits(b.1).cmp(&suits(a.1));
            by_need.then_with(|| b.0.total_cmp(&a.0))
        });
        ranked.into_iter().map(|(_, host)| host).collect()
    }
}

#[cfg(test)]
mod tests;
