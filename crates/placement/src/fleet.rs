//! Loads of targets while a round is being planned, and the costs and gains of moves.

pub(crate) mod relief;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use crate::{
    Balance, Input, Move, TargetInput, TargetState,
    tracked_keys::{self, TrackedKey},
};

/// Seconds over which the gain of a placement is counted. The hottest keys change within minutes,
/// so a longer horizon would count gains that are never realised.
const HORIZON_S: f64 = 60.0;
/// Utilisation relative to the mean above which the load cost rises steeply. It leaves headroom
/// for one slice of an average target (6%) below the required 1.15.
const STEEP_FROM: f64 = 1.04;
/// Factor by which the load cost is steeper above [`STEEP_FROM`].
const STEEP_FACTOR: f64 = 10.0;
/// Additional relative utilisation that a placement in the same data centre may cost, compared to
/// one elsewhere in the same region. Small, because a data centre has few targets: if the other
/// five of six received a lost target's load, each would be 20% above the mean.
const DATA_CENTRE_DISTANCE_COST: f64 = 0.02;
/// Additional relative utilisation that a placement in the same region may cost, compared to one in
/// another region, if [`Balance::growth`] is 0.
const REGION_DISTANCE_COST: f64 = 0.1;
/// Number of cold starts over which the capacity of a joining target ramps up to its full value.
const RAMP_COLD_STARTS: f64 = 20.0;
/// Share of its capacity at which the ramp of a joining target starts.
const RAMP_START: f64 = 0.1;
/// Share of the measured load that is added over the hash space in proportion to width, so that
/// slices without measured load are spread too.
const NOMINAL_LOAD_SHARE: f64 = 0.01;
/// Seconds for which the requests of a slice wait while a planned move commits.
const PAUSE_S: f64 = 0.1;

/// Loads of targets while a round is being planned.
pub(crate) struct Fleet<'a> {
    input: &'a Input,
    balance: &'a Balance,
    /// Index of each target by its name.
    indexes: HashMap<&'a str, usize>,
    /// Index of the owner of each slice; `None` if the owner is unknown.
    owners: Vec<Option<usize>>,
    /// Load of each slice, with its part of the nominal load.
    weights: Vec<f64>,
    /// Indexes of the very hot slices; see [`Fleet::is_very_hot`].
    very_hot: Vec<usize>,
    target_loads: Vec<TargetLoad>,
    /// Total load, with the nominal load.
    total: f64,
}

/// Load of a target while a round is being planned.
#[derive(Clone, Copy)]
struct TargetLoad {
    /// Current capacity in request slots; a joining target has a share of its full capacity.
    capacity: f64,
    /// Load at which the target has the mean utilisation.
    quota: f64,
    load: f64,
    usable: bool,
}

impl<'a> Fleet<'a> {
    /// Sums the loads of the slices of each target. Flapping keys among `tracked` count with their
    /// highest load.
    pub(crate) fn new(
        input: &'a Input,
        balance: &'a Balance,
        tracked: &BTreeMap<u64, TrackedKey>,
    ) -> Self {
        let indexes: HashMap<&str, usize> = input
            .targets
            .iter()
            .enumerate()
            .map(|(index, it)| (&*it.name, index))
            .collect();
        let loads = input.slices.iter();
        let loads: Vec<f64> = loads
            .map(|it| tracked_keys::effective_load(tracked, it.low, it.load))
            .collect();
        let measured: f64 = loads.iter().sum();
        let nominal = if measured > 0.0 {
            measured * NOMINAL_LOAD_SHARE
        } else {
            1.0
        };
        let target_loads = input.targets.iter().map(TargetLoad::new).collect();

        let mut fleet = Self {
            input,
            balance,
            indexes,
            owners: Vec::with_capacity(input.slices.len()),
            weights: Vec::with_capacity(input.slices.len()),
            very_hot: Vec::new(),
            target_loads,
            total: measured + nominal,
        };
        for (slice, load) in input.slices.iter().zip(loads) {
            let owner = fleet.indexes.get(&*slice.owner).copied();
            let weight = load + nominal * width(slice.low, slice.high);
            if let Some(owner) = owner {
                fleet.target_loads[owner].load += weight;
            }
            fleet.owners.push(owner);
            fleet.weights.push(weight);
        }
        fleet.set_quotas();
        fleet.find_very_hot();
        fleet
    }

    /// Excludes the target from all further placements.
    pub(crate) fn exclude(&mut self, name: &str) {
        if let Some(&target) = self.indexes.get(name) {
            self.target_loads[target].usable = false;
            self.set_quotas();
        }
    }

    /// Number of usable targets.
    pub(crate) fn usable_count(&self) -> usize {
        self.target_loads.iter().filter(|it| it.usable).count()
    }

    /// Total load divided by the number of usable targets, whatever their capacities.
    pub(crate) fn mean_load(&self) -> f64 {
        self.total / as_f64(self.usable_count().max(1))
    }

    /// The owner of a slice, if it is usable.
    pub(crate) fn usable_owner(&self, slice: usize) -> Option<usize> {
        self.owners[slice].filter(|&it| self.target_loads[it].usable)
    }

    /// Load of a slice, with its part of the nominal load.
    pub(crate) fn weight(&self, slice: usize) -> f64 {
        self.weights[slice]
    }

    /// Utilisation of a target divided by the mean utilisation; 0 for targets that are not usable.
    pub(crate) fn relative_utilisation(&self, target: usize) -> f64 {
        let entry = &self.target_loads[target];
        if entry.usable {
            entry.load / entry.quota
        } else {
            0.0
        }
    }

    /// Whether slices may be placed on the target.
    pub(crate) fn is_usable(&self, target: usize) -> bool {
        self.target_loads[target].usable
    }

    /// Places slices that have no usable owner, heaviest first. Returns no move if no target is
    /// usable.
    pub(crate) fn place(&mut self, mut orphans: Vec<usize>) -> Vec<Move> {
        let mut moves = Vec::with_capacity(orphans.len());
        orphans.sort_by(|&a, &b| {
            let heaviest = self.weights[b].total_cmp(&self.weights[a]);
            heaviest.then(a.cmp(&b))
        });
        let mut transferable = None;
        for slice in orphans {
            let exceeds = self.exceeds_headroom(slice);
            let transferable =
                exceeds.then(|| &*transferable.get_or_insert_with(|| self.find_transferable()));
            let mut best: Option<(f64, usize)> = None;
            for target in 0..self.target_loads.len() {
                if !self.target_loads[target].usable {
                    continue;
                }
                let cost = match transferable {
                    Some(lists) => self.cost_with_relief(slice, target, &lists[target]),
                    None => self.placement_cost(slice, target),
                };
                if best.is_none_or(|(lowest, _)| cost < lowest) {
                    best = Some((cost, target));
                }
            }
            if let Some((_, target)) = best {
                moves.push(self.assign(slice, target));
            }
        }
        moves
    }

    /// Makes `target` the owner of the slice, and returns the move.
    pub(crate) fn assign(&mut self, slice: usize, target: usize) -> Move {
        let weight = self.weights[slice];
        if let Some(owner) = self.owners[slice] {
            self.target_loads[owner].load -= weight;
        }
        self.target_loads[target].load += weight;
        self.owners[slice] = Some(target);
        Move {
            low: self.input.slices[slice].low,
            to: Arc::clone(&self.input.targets[target].name),
        }
    }

    /// Benefit of moving the slice to `target` minus its cost, in delayed requests over the
    /// horizon. Negative if the move does not pay.
    pub(crate) fn gain(&self, slice: usize, target: usize) -> f64 {
        let Some(owner) = self.usable_owner(slice) else {
            return f64::NEG_INFINITY;
        };
        let weight = self.weights[slice];
        let from = &self.target_loads[owner];
        let relief = self.load_cost(from, from.load) - self.load_cost(from, from.load - weight);
        let relief = relief + weight * self.remote_price(slice, owner);
        let benefit = HORIZON_S * (relief - self.placement_cost(slice, target));

        benefit - self.move_cost(slice, target)
    }

    /// Benefit minus cost of moving the slice to `target` if `target` then gives up the load above
    /// the relative utilisation `limit`. `movable_load` is the load that it can give up.
    pub(crate) fn exchange_gain(
        &self,
        slice: usize,
        target: usize,
        limit: f64,
        movable_load: f64,
    ) -> f64 {
        let Some(owner) = self.usable_owner(slice) else {
            return f64::NEG_INFINITY;
        };
        let weight = self.weights[slice];
        let (from, to) = (&self.target_loads[owner], &self.target_loads[target]);
        let excess = (to.load + weight - limit * to.quota).max(0.0);
        if excess > movable_load {
            return f64::NEG_INFINITY;
        }
        let relief = self.load_cost(from, from.load) - self.load_cost(from, from.load - weight);
        let after = to.load + weight - excess;
        let load_cost = self.load_cost(to, after) - self.load_cost(to, to.load);
        let remote = self.remote_price(slice, target) - self.remote_price(slice, owner);
        let benefit = relief - load_cost - weight * remote - self.distance_cost(slice, target);
        // The load that is given up moves once as well; its new owners are near the mean.
        let share = 1.0 + excess / weight;
        HORIZON_S * benefit - share * self.move_cost(slice, target)
    }

    /// One-off cost of the move, in delayed requests.
    fn move_cost(&self, slice: usize, target: usize) -> f64 {
        // Churn is the mean of the shares of keys and of requests, as in `measure::churn`.
        let input = &self.input.slices[slice];
        let weight = self.weights[slice];
        let moved = f64::midpoint(weight, self.total * width(input.low, input.high));
        let cold_s = as_f64(self.input.targets[target].cold_ms) / 1_000.0;
        let churn_cost = self.balance.churn * moved * (1.0 + cold_s);
        churn_cost + self.balance.unavailable * weight * PAUSE_S
    }

    /// Up to `count` usable targets of each region, lowest relative utilisation first.
    pub(crate) fn least_loaded(&self, count: usize) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.target_loads.len())
            .filter(|&it| self.target_loads[it].usable)
            .collect();
        order.sort_by(|&a, &b| {
            self.relative_utilisation(a)
                .total_cmp(&self.relative_utilisation(b))
                .then(a.cmp(&b))
        });
        let mut taken: HashMap<&str, usize> = HashMap::new();
        order.retain(|&it| {
            let taken = taken.entry(&*self.input.targets[it].region).or_default();
            *taken += 1;
            *taken <= count
        });
        order
    }

    /// The usable targets, highest relative utilisation first.
    pub(crate) fn most_loaded(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.target_loads.len())
            .filter(|&it| self.target_loads[it].usable)
            .collect();
        order.sort_by_key(|&it| (Reverse(sort_key(self.relative_utilisation(it))), it));
        order
    }

    /// Recurring cost of placing a slice on a target, in delayed requests per second.
    fn placement_cost(&self, slice: usize, target: usize) -> f64 {
        let weight = self.weights[slice];
        let to = &self.target_loads[target];
        let load_cost = self.load_cost(to, to.load + weight) - self.load_cost(to, to.load);
        load_cost + weight * self.remote_price(slice, target) + self.distance_cost(slice, target)
    }

    /// Cost of the difference between a target's load and its quota, in delayed requests per
    /// second: quadratic, and steeper above [`STEEP_FROM`], where the target might exceed the
    /// required peak.
    fn load_cost(&self, entry: &TargetLoad, load: f64) -> f64 {
        let excess = load - entry.quota;
        let steep_excess = (load - STEEP_FROM * entry.quota).max(0.0);
        let steep_weight = STEEP_FACTOR * (self.balance.imbalance + self.balance.unavailable);
        (self.balance.imbalance * excess * excess + steep_weight * steep_excess * steep_excess)
            / entry.quota
    }

    /// Cost per request of the answers sent between regions if `target` owns the slice.
    fn remote_price(&self, slice: usize, target: usize) -> f64 {
        let region = &self.input.targets[target].region;
        let mut remote = 0.0;
        for callers in &self.input.slices[slice].callers {
            if callers.region != *region {
                remote += callers.share;
            }
        }
        self.savings() * self.input.link_price * megabytes(self.input.answer_bytes) * remote
    }

    /// Cost of the distance between the current owner and `target`, in delayed requests per second
    /// of the horizon.
    fn distance_cost(&self, slice: usize, target: usize) -> f64 {
        let Some(owner) = self.owners[slice] else {
            return 0.0;
        };
        let (from, to) = (&self.input.targets[owner], &self.input.targets[target]);
        let cost_per_utilisation = 2.0 * self.balance.imbalance * self.weights[slice];
        if from.data_centre == to.data_centre {
            return 0.0;
        }
        if from.region == to.region {
            return cost_per_utilisation * DATA_CENTRE_DISTANCE_COST;
        }
        let transfer_cost = self.input.link_price * megabytes(self.input.slices[slice].bytes);
        cost_per_utilisation * (DATA_CENTRE_DISTANCE_COST + REGION_DISTANCE_COST * self.savings())
            + self.savings() * transfer_cost / HORIZON_S
    }

    fn savings(&self) -> f64 {
        1.0 - self.balance.growth
    }

    fn set_quotas(&mut self) {
        let usable = self.target_loads.iter().filter(|it| it.usable);
        let capacity: f64 = usable.map(|it| it.capacity).sum();
        for entry in &mut self.target_loads {
            entry.quota = self.total * entry.capacity / capacity.max(f64::MIN_POSITIVE);
        }
    }
}

impl TargetLoad {
    fn new(target: &TargetInput) -> Self {
        // A target with a capacity of 0 counts as one slot, so that quotas are never zero.
        let full = f64::from(target.capacity.max(1));
        let capacity = match target.state {
            TargetState::Joining { age_ms } => {
                let ramp_ms = RAMP_COLD_STARTS * as_f64(target.cold_ms);
                full * (as_f64(age_ms) / ramp_ms.max(1.0)).clamp(RAMP_START, 1.0)
            }
            _ => full,
        };
        Self {
            capacity,
            quota: 0.0,
            load: 0.0,
            usable: target.state.is_usable(),
        }
    }
}

/// Width of a slice as a share of the hash space.
pub(crate) fn width(low: u64, high: u64) -> f64 {
    (as_f64(high - low) + 1.0) / 2.0_f64.powi(64)
}

/// Converts a load to a sort key; loads are never NaN.
fn sort_key(load: f64) -> u64 {
    load.max(0.0).to_bits()
}

fn megabytes(bytes: u64) -> f64 {
    as_f64(bytes) / 1e6
}

/// Converts an integer to a float, exactly up to 53 bits.
#[expect(
    clippy::cast_precision_loss,
    reason = "the 53 bits of a float are precise enough for shares of load"
)]
pub(crate) fn as_f64<T: TryInto<u64>>(number: T) -> f64 {
    number.try_into().unwrap_or(u64::MAX) as f64
}
