//! What this host remembers of the owners of keys when the store has lost their rows.

use std::{collections::BTreeSet, sync::Arc};

use coordinator::{MAX_LEASE_MS, Memory, Millis, SliceTable};

use crate::{control::lease::Lease, node::Node};

/// State of this host when it took the lease of a store that has lost rows.
pub(super) struct LostRows {
    knows_targets: bool,
    departed: BTreeSet<Arc<str>>,
    /// Latest end of the lease of an earlier coordinator, which may not know that the store has
    /// come back from a copy.
    lease_end: Millis,
}

impl LostRows {
    /// Returns `None` if the rows name every target that may hold keys.
    pub(super) fn detect(node: &Node, lease: &Lease) -> Option<Self> {
        if lease.are_rows_complete() {
            return None;
        }
        let generation = lease.rev.generation;
        let targets = node.targets();
        let knows_targets = targets.remembers_before(generation);
        log::warn!(
            generation, knows_targets;
            "the store has lost rows; the owners of keys are recovered"
        );
        Some(Self {
            knows_targets,
            departed: targets.departed().cloned().collect(),
            lease_end: node.clock.now() + MAX_LEASE_MS,
        })
    }

    /// Returns what this host remembers of a service.
    pub(super) fn memory(&self, node: &Node, service: &str) -> Memory {
        let tables = node.tables();
        let slices = tables.get(service).into_iter().flat_map(SliceTable::iter);
        Memory {
            slices: slices.cloned().collect(),
            knows_targets: self.knows_targets,
            departed: self.departed.clone(),
            lease_end: self.lease_end,
        }
    }
}
