//! The planner on generated load.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use placement::{
    Balance, HotKey, Input, PlannerState, RegionShare, ServiceInput, SliceInput, TargetState,
    partition_hash_space, plan, spread,
};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    cluster::{Cluster, HOME_SHARE, float},
    table,
};

/// Maximum error of a measured load, as a share of the load.
const NOISE: f64 = 0.03;
/// Seconds between two planning rounds, as in the daemon.
pub const ROUND_S: u64 = 2;
/// Price of a megabyte between regions, in delayed requests.
const LINK_PRICE: f64 = 0.2;
/// Data of a key that a new owner in another region fetches, in multiples of the mean answer size.
pub const FETCHED_ANSWERS: f64 = 5.0;

/// The slices of a service and the state of the planner that changes them.
pub struct PlannedSlices {
    balance: Balance,
    slices: Vec<SliceInput>,
    state: PlannerState,
    /// Loads of the slices without noise; empty if they must be summed again.
    loads: Vec<f64>,
    /// Number of splits and merges so far.
    pub reshaped: usize,
    /// Highest number of moves in one round.
    pub most_moves: usize,
    /// Duration of the longest round.
    pub longest_round: Duration,
}

impl PlannedSlices {
    /// Creates the slices of a new service.
    pub fn new(cluster: &Cluster, balance: Balance) -> Self {
        let service = ServiceInput {
            name: cluster.spec.name.into(),
            targets: cluster.targets.clone(),
        };
        let mut slices = Vec::new();
        for initial in partition_hash_space(&service, cluster.spec.seed) {
            slices.push(SliceInput {
                low: initial.low,
                high: initial.high,
                owner: initial.target,
                load: 0.0,
                callers: SmallVec::new(),
                bytes: 0,
            });
        }
        Self {
            balance,
            slices,
            state: PlannerState::default(),
            loads: Vec::new(),
            reshaped: 0,
            most_moves: 0,
            longest_round: Duration::ZERO,
        }
    }

    /// Discards the loads, so that the next round sums them again.
    pub fn invalidate_loads(&mut self) {
        self.loads.clear();
    }

    /// The input of the next round.
    pub fn input(&mut self, cluster: &Cluster, second: u64) -> Input {
        if self.loads.len() != self.slices.len() {
            self.measure(cluster);
        }
        for (slice, load) in self.slices.iter_mut().zip(&self.loads) {
            slice.load = load * noise(slice.low, second);
        }
        let hot = cluster.hottest().map(|key| HotKey {
            hash: key.hash,
            load: key.load * noise(key.hash, second),
        });
        Input {
            service: cluster.spec.name.into(),
            slices: self.slices.clone(),
            targets: cluster.targets.clone(),
            hot: hot.collect(),
            link_price: LINK_PRICE,
            answer_bytes: cluster.spec.answer_bytes,
            now_ms: second * 1_000,
            state: self.state.clone(),
        }
    }

    /// Places the slices of lost targets, plans a round if one is due, and applies both. Returns
    /// whether owners changed.
    pub fn step(&mut self, cluster: &Cluster, second: u64) -> bool {
        let mut input = self.input(cluster, second);
        let mut changed = false;
        for target in &cluster.targets {
            if target.state != TargetState::Lost {
                continue;
            }
            let moves = spread(&input, &self.balance, &target.name);
            table::apply_moves(&moves, &mut input.slices);
            changed |= !moves.is_empty();
        }
        if !second.is_multiple_of(ROUND_S) {
            self.slices = input.slices;
            return changed;
        }
        let start = Instant::now();
        let plan = plan(&input, &self.balance);
        self.longest_round = self.longest_round.max(start.elapsed());
        changed |= !plan.moves.is_empty();

        self.slices = input.slices;
        table::apply(&plan, &mut self.slices);
        let reshaped = plan.splits.len() + plan.merges.len();
        self.reshaped += reshaped;
        self.most_moves = self.most_moves.max(plan.moves.len());
        self.state = plan.state;
        if reshaped > 0 {
            self.loads.clear();
        }
        changed
    }

    /// The number of slices.
    pub fn slice_count(&self) -> usize {
        self.slices.len()
    }

    /// The owner of each key.
    pub fn owners(&self, cluster: &Cluster) -> Vec<usize> {
        let names: HashMap<&Arc<str>, usize> = cluster
            .targets
            .iter()
            .enumerate()
            .map(|(index, it)| (&it.name, index))
            .collect();
        let mut slices = self.slices.iter();
        let mut slice = slices.next().expect("a service has slices");
        let mut owners = Vec::with_capacity(cluster.keys.len());
        for key in &cluster.keys {
            while key.hash > slice.high {
                slice = slices.next().expect("slices cover the hash space");
            }
            owners.push(names[&slice.owner]);
        }
        owners
    }

    fn measure(&mut self, cluster: &Cluster) {
        let mut keys = cluster.keys.iter().peekable();
        self.loads.clear();
        let key_bytes = FETCHED_ANSWERS * float_bytes(cluster.spec.answer_bytes);
        for slice in &mut self.slices {
            let mut load = 0.0;
            let mut by_region = vec![0.0; cluster.regions.len()];
            let mut count = 0;
            while let Some(key) = keys.next_if(|key| key.hash <= slice.high) {
                load += key.load;
                count += 1;
                let away = (1.0 - HOME_SHARE) / float(cluster.regions.len() - 1).max(1.0);
                for (region, sum) in by_region.iter_mut().enumerate() {
                    let share = if region == key.home { HOME_SHARE } else { away };
                    *sum += key.load * share;
                }
            }
            self.loads.push(load);
            slice.callers.clear();
            slice.bytes = floor_bytes(key_bytes * float(count));
            if load <= 0.0 {
                continue;
            }
            for (region, sum) in cluster.regions.iter().zip(by_region) {
                slice.callers.push(RegionShare {
                    region: Arc::clone(region),
                    share: sum / load,
                });
            }
        }
    }
}

/// Measurement error of a load: a factor around 1 that depends on the slice or key and on the time.
pub fn noise(hash: u64, second: u64) -> f64 {
    let random = xxh3_64_with_seed(&hash.to_le_bytes(), second) >> 32;
    let unit = f64::from(u32::try_from(random).unwrap_or(0)) / f64::from(u32::MAX);
    1.0 + NOISE * (2.0 * unit - 1.0)
}

/// Converts a number of bytes to a float.
pub fn float_bytes(bytes: u64) -> f64 {
    f64::from(u32::try_from(bytes).unwrap_or(u32::MAX))
}

/// Rounds a number of bytes down.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a positive number of bytes far below the limit"
)]
pub fn floor_bytes(bytes: f64) -> u64 {
    bytes as u64
}
