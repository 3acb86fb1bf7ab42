//! Model of the keys, loads and targets of one service.

use std::sync::Arc;

use placement::{TargetInput, TargetState};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of hottest keys that are replaced at once.
const HOTTEST_KEYS: usize = 21;
/// Share of a key's requests from its home region.
pub const HOME_SHARE: f64 = 0.8;
/// Total load of a service in requests per second for each target.
const LOAD_PER_TARGET: f64 = 100.0;
/// Requests per second that a target can serve, at a mean utilisation of 0.75.
pub const TARGET_CAPACITY: f64 = LOAD_PER_TARGET / 0.75;

/// The fixed properties of a service's load and targets.
#[derive(Clone, Copy, Debug)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: &'static str,
    /// Number of targets at the start.
    pub targets: usize,
    /// Request slots of a target.
    pub slots: u32,
    /// Cold start in milliseconds.
    pub cold_ms: u64,
    /// Mean size of an answer in bytes.
    pub answer_bytes: u64,
    /// Data centres with their regions.
    pub data_centres: &'static [(&'static str, &'static str)],
    /// Number of keys.
    pub keys: usize,
    /// Exponent of the Zipf distribution of the keys' load.
    pub exponent: f64,
    /// Seed of the keys' hashes.
    pub seed: u64,
}

/// A key.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Hash of the key.
    pub hash: u64,
    /// Index of the home region.
    pub home: usize,
    /// Requests per second.
    pub load: f64,
}

/// The keys and targets of a service at one moment.
#[derive(Clone, Debug)]
pub struct Cluster {
    /// Fixed properties.
    pub spec: ServiceSpec,
    /// The keys, sorted by hash.
    pub keys: Vec<Key>,
    /// The targets; those that were lost or have left stay in the list.
    pub targets: Vec<TargetInput>,
    /// Names of the regions.
    pub regions: Vec<Arc<str>>,
    /// Total load in requests per second.
    pub total: f64,
    /// Index of the key at each rank.
    ranks: Vec<usize>,
    /// Number of times that the hottest keys were replaced.
    changes: usize,
}

impl Cluster {
    /// Generates keys and targets.
    pub fn new(spec: ServiceSpec) -> Self {
        let mut regions: Vec<Arc<str>> = Vec::new();
        for (_, region) in spec.data_centres {
            if !regions.iter().any(|it| &**it == *region) {
                regions.push((*region).into());
            }
        }
        let mut hashes: Vec<(u64, usize)> = (0..spec.keys)
            .map(|rank| (xxh3_64_with_seed(&rank.to_le_bytes(), spec.seed), rank))
            .collect();
        hashes.sort_unstable();
        let mut ranks = vec![0; spec.keys];
        let mut keys = Vec::with_capacity(spec.keys);
        for (index, &(hash, rank)) in hashes.iter().enumerate() {
            ranks[rank] = index;
            let home = rank % regions.len();
            keys.push(Key {
                hash,
                home,
                load: 0.0,
            });
        }

        let total = LOAD_PER_TARGET * float(spec.targets);
        let weights: Vec<f64> = (1..=spec.keys)
            .map(|rank| float(rank).powf(-spec.exponent))
            .collect();
        let sum: f64 = weights.iter().sum();
        for (rank, weight) in weights.iter().enumerate() {
            keys[ranks[rank]].load = total * weight / sum;
        }
        let mut cluster = Self {
            spec,
            keys,
            targets: Vec::new(),
            regions,
            total,
            ranks,
            changes: 0,
        };
        for _ in 0..spec.targets {
            cluster.add_target(TargetState::Live);
        }
        cluster
    }

    /// Adds a target in the next data centre.
    pub fn add_target(&mut self, state: TargetState) {
        let nth = self.targets.len();
        let (data_centre, region) = self.spec.data_centres[nth % self.spec.data_centres.len()];
        self.targets.push(TargetInput {
            name: format!("{}-{nth:03}", self.spec.name).into(),
            capacity: self.spec.slots,
            data_centre: data_centre.into(),
            region: region.into(),
            cold_ms: self.spec.cold_ms,
            state,
        });
    }

    /// Swaps the loads of the hottest keys with those of other keys.
    pub fn change_hottest(&mut self) {
        for rank in 0..HOTTEST_KEYS {
            let other = 1_000 + self.changes * HOTTEST_KEYS + rank;
            let (a, b) = (self.ranks[rank], self.ranks[other]);
            let load = self.keys[a].load;
            self.keys[a].load = self.keys[b].load;
            self.keys[b].load = load;
            self.ranks.swap(rank, other);
        }
        self.changes += 1;
    }

    /// The hottest keys, twice as many as are replaced at once.
    pub fn hottest(&self) -> impl Iterator<Item = &Key> {
        self.ranks[..2 * HOTTEST_KEYS]
            .iter()
            .map(|&it| &self.keys[it])
    }

    /// Indexes of the targets on which keys may be placed.
    pub fn usable(&self) -> Vec<usize> {
        let usable = |it: &usize| self.targets[*it].state.is_usable();
        (0..self.targets.len()).filter(usable).collect()
    }

    /// Load of each target.
    pub fn loads(&self, owners: &[usize]) -> Vec<f64> {
        let mut loads = vec![0.0; self.targets.len()];
        for (key, &owner) in self.keys.iter().zip(owners) {
            loads[owner] += key.load;
        }
        loads
    }
}

/// Converts a count to a float.
pub fn float(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::INFINITY, f64::from)
}
