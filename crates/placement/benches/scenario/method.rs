//! The planner and the baselines behind one interface.

use placement::Balance;

use super::{
    baselines,
    cluster::Cluster,
    planned_slices::{PlannedSlices, ROUND_S},
};

/// A method of placing keys.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The planner of this crate.
    Planner,
    /// Consistent hashing with virtual nodes.
    Consistent,
    /// Rendezvous hashing.
    Rendezvous,
    /// Bounded-load consistent hashing.
    Bounded,
    /// Greedy rebalancing without hysteresis.
    Greedy,
}

impl Kind {
    /// All kinds, the planner first.
    pub const ALL: [Self; 5] = [
        Self::Planner,
        Self::Consistent,
        Self::Rendezvous,
        Self::Bounded,
        Self::Greedy,
    ];

    /// Name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Planner => "planner",
            Self::Consistent => "consistent hashing",
            Self::Rendezvous => "rendezvous hashing",
            Self::Bounded => "bounded-load hashing",
            Self::Greedy => "greedy, no hysteresis",
        }
    }
}

/// A method of placing keys, with its state.
pub struct Method {
    kind: Kind,
    /// The slices, if the method is the planner.
    pub planned: Option<PlannedSlices>,
    /// Index of the owner of each key.
    pub owners: Vec<usize>,
}

impl Method {
    /// Places all keys for the first time.
    pub fn new(kind: Kind, cluster: &Cluster, balance: Balance) -> Self {
        let planned = (kind == Kind::Planner).then(|| PlannedSlices::new(cluster, balance));
        let owners = match &planned {
            Some(planned) => planned.owners(cluster),
            None => assign_by_hash(kind, cluster).unwrap_or_else(|| vec![0; cluster.keys.len()]),
        };
        Self {
            kind,
            planned,
            owners,
        }
    }

    /// Adapts the placement. `changed` says whether load or targets changed since the last call.
    /// Returns whether owners may have changed.
    pub fn step(&mut self, cluster: &Cluster, second: u64, changed: Changed) -> bool {
        if let Some(planned) = &mut self.planned {
            if changed == Changed::Yes {
                planned.invalidate_loads();
            }
            let moved = planned.step(cluster, second);
            if moved {
                self.owners = planned.owners(cluster);
            }
            return moved;
        }
        if self.kind == Kind::Greedy {
            if changed == Changed::No && !second.is_multiple_of(ROUND_S) {
                return false;
            }
            baselines::greedy(cluster, second, &mut self.owners);
            return true;
        }
        if changed == Changed::No {
            return false;
        }
        if let Some(owners) = assign_by_hash(self.kind, cluster) {
            self.owners = owners;
        }
        true
    }
}

/// Whether load or targets changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Changed {
    /// Something changed.
    Yes,
    /// Nothing changed.
    No,
}

fn assign_by_hash(kind: Kind, cluster: &Cluster) -> Option<Vec<usize>> {
    match kind {
        Kind::Consistent => Some(baselines::consistent(cluster)),
        Kind::Rendezvous => Some(baselines::rendezvous(cluster)),
        Kind::Bounded => Some(baselines::bounded(cluster)),
        Kind::Planner | Kind::Greedy => None,
    }
}
