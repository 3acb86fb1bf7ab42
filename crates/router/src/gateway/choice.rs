//! Which host is the gateway of a queue.

use std::sync::Arc;

use coordinator::Millis;

use super::QueueId;
use crate::{
    node::Node,
    peers::{GatewayNeed, HostInfo, Hosts},
    settings::Settings,
};

/// Age of a host's state from which on the others may have chosen another gateway in its place.
const ISOLATED_MS: Millis = 2_000;

/// The part of this host in sending requests to the targets of a queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Role {
    /// It is the gateway, and others are expected to agree.
    Sole,
    /// It acts as the gateway, but another host may do so too.
    Shared,
    /// Any number of hosts may act as the gateway, because none in the target's region can be
    /// reached.
    Stray,
}

/// The host that is the gateway of a queue; if `None`, this host acts as the gateway.
///
/// It is the first host of the targets' data centre in the ranking that is not suspected, otherwise
/// the first one of their region. If there is none either, each host acts as the gateway itself,
/// because the bodies of some requests must not be sent to a host in another region.
pub fn gateway_of(node: &Node, service: &str, queue: &QueueId) -> Option<HostInfo> {
    let (place, need) = need_of(node, service, queue)?;
    let hosts = node.hosts.load();
    let now = node.clock.now();
    let ranking = Ranking {
        hosts: &hosts,
        settings: &node.settings,
        place: &place,
        queue: queue.to_string(),
        need,
    };
    ranking
        .chosen(|it| node.suspects.is_suspect(&it.name, now))
        .cloned()
}

/// The role of this host for a queue whose requests it sends to targets.
pub(super) fn role_of(node: &Node, service: &str, queue: &QueueId) -> Role {
    let Some((place, need)) = need_of(node, service, queue) else {
        return Role::Shared;
    };
    let hosts = node.hosts.load();
    let now = node.clock.now();
    let ranking = Ranking {
        hosts: &hosts,
        settings: &node.settings,
        place: &place,
        queue: queue.to_string(),
        need,
    };
    let is_suspect = |it: &HostInfo| node.suspects.is_suspect(&it.name, now);
    ranking.role(&node.info.name, is_suspect, node.age_ms() >= ISOLATED_MS)
}

/// The data centre of the targets of a queue, and what their gateway needs; `None` if the target is
/// not registered.
fn need_of(node: &Node, service: &str, queue: &QueueId) -> Option<(Arc<str>, GatewayNeed)> {
    let catalog = node.catalog.load();
    let bulk = catalog.as_ref().is_some_and(|it| it.is_bulk(service));
    let (place, slots) = match queue {
        QueueId::Pool { place, .. } => (Arc::clone(place), node.targets().slots_at(service, place)),
        QueueId::Target(target) => {
            let targets = node.targets();
            let entry = targets.get(target)?;
            (Arc::clone(&entry.place), entry.slots)
        }
    };
    Some((place, GatewayNeed::of_slots(slots, bulk)))
}

/// The hosts that may be the gateway of a queue, in order of preference.
struct Ranking<'a> {
    hosts: &'a Hosts,
    settings: &'a Settings,
    place: &'a Arc<str>,
    queue: String,
    need: GatewayNeed,
}

impl<'a> Ranking<'a> {
    /// The hosts of the targets' data centre.
    fn in_place(&self) -> Vec<&'a HostInfo> {
        self.hosts.ranked(self.place, &self.queue, self.need)
    }

    /// The hosts of the targets' region.
    fn in_region(&self) -> Vec<&'a HostInfo> {
        let region = self.settings.region(self.place);
        let is_near = |it: &HostInfo| self.settings.region(&it.place) == region;
        self.hosts.ranked_among(is_near, &self.queue, self.need)
    }

    /// The gateway; `None` if no host of the region can act as one.
    fn chosen(&self, is_suspect: impl Fn(&HostInfo) -> bool) -> Option<&'a HostInfo> {
        let usable = |it: &&HostInfo| !is_suspect(it);
        let in_place = self.in_place().into_iter().find(usable);
        in_place.or_else(|| self.in_region().into_iter().find(usable))
    }

    /// The role of the host `own`; `is_isolated` if its state is old.
    fn role(&self, own: &str, is_suspect: impl Fn(&HostInfo) -> bool, is_isolated: bool) -> Role {
        let first = self.in_place().first().copied();
        let first = first.or_else(|| self.in_region().first().copied());
        if first.is_some_and(|it| *it.name == *own) && !is_isolated {
            return Role::Sole;
        }
        if self.chosen(&is_suspect).is_some() {
            return Role::Shared;
        }
        let all = self
            .hosts
            .ranked_among(|it| !is_suspect(it), &self.queue, self.need);
        match all.first() {
            Some(first) if *first.name == *own => Role::Shared,
            Some(_) | None => Role::Stray,
        }
    }
}

#[cfg(test)]
mod tests;
