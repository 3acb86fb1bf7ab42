//! Which hosts serve, as their reports show.

use std::{collections::BTreeMap, sync::Arc};

use coordinator::Millis;

use crate::peers::{HostInfo, Hosts, Report};

/// Silence after which a host counts as lost. Hosts report twice a second.
const SILENT_MS: u64 = 1_400;

/// The hosts that reported to the coordinator.
pub struct Roster {
    own: HostInfo,
    seen: BTreeMap<Arc<str>, (HostInfo, Millis)>,
    published: Vec<HostInfo>,
}

impl Roster {
    /// Begins with the hosts that were known before.
    pub fn new(hosts: &Hosts, own: HostInfo, now: Millis) -> Self {
        let seen = hosts.iter().cloned();
        Self {
            own,
            seen: seen.map(|it| (Arc::clone(&it.name), (it, now))).collect(),
            published: Vec::new(),
        }
    }

    /// Notes a report.
    pub fn hear(&mut self, report: &Report, now: Millis) {
        let name = &report.host.name;
        if report.serves {
            let seen = (report.host.clone(), now);
            self.seen.insert(Arc::clone(name), seen);
        } else {
            self.seen.remove(name);
        }
    }

    /// The hosts that serve, if they changed since the last call.
    pub fn changed(&mut self, now: Millis) -> Option<Vec<HostInfo>> {
        self.seen.retain(|_, it| now < it.1 + SILENT_MS);
        let name = Arc::clone(&self.own.name);
        self.seen.insert(name, (self.own.clone(), now));
        let hosts: Vec<HostInfo> = self.seen.values().map(|it| it.0.clone()).collect();
        if hosts == self.published {
            return None;
        }
        self.published.clone_from(&hosts);
        Some(hosts)
    }
}
