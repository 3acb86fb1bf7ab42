//! Tracks which hosts serve, based on their reports.

use std::{collections::BTreeMap, sync::Arc};

use coordinator::Millis;

use crate::peers::{Event, HostInfo, Hosts, Report};

/// Time without a report after which a host counts as lost. Hosts report twice a second.
const HOST_SILENT_MS: u64 = 1_400;

/// The hosts that reported to the coordinator.
pub struct HostRegistry {
    own: HostInfo,
    /// Serving hosts with the time of their last report.
    seen: BTreeMap<Arc<str>, (HostInfo, Millis)>,
    /// Hosts as last announced to other hosts.
    published: BTreeMap<Arc<str>, HostInfo>,
}

impl HostRegistry {
    /// Starts with the hosts that were already known.
    pub fn new(hosts: &Hosts, own: HostInfo, now: Millis) -> Self {
        let seen = hosts.iter().cloned();
        Self {
            own,
            seen: seen.map(|it| (Arc::clone(&it.name), (it, now))).collect(),
            published: BTreeMap::new(),
        }
    }

    /// Records a report.
    pub fn on_report(&mut self, report: &Report, now: Millis) {
        let name = &report.host.name;
        if report.serves {
            let seen = (report.host.clone(), now);
            self.seen.insert(Arc::clone(name), seen);
        } else {
            self.seen.remove(name);
        }
    }

    /// Returns the changes of the serving hosts since the last call.
    pub fn changes(&mut self, now: Millis) -> Vec<Event> {
        self.seen.retain(|_, it| now < it.1 + HOST_SILENT_MS);
        let name = Arc::clone(&self.own.name);
        self.seen.insert(name, (self.own.clone(), now));
        let mut events = Vec::new();
        let seen = &self.seen;
        self.published.retain(|name, _| {
            let serves = seen.contains_key(name);
            if !serves {
                events.push(Event::HostLeft(Arc::clone(name)));
            }
            serves
        });
        for (name, (host, _)) in &self.seen {
            if self.published.get(name) == Some(host) {
                continue;
            }
            self.published.insert(Arc::clone(name), host.clone());
            events.push(Event::HostCame(host.clone()));
        }
        events
    }
}
