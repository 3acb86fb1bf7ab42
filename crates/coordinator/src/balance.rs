//! Load balancing: decides which keys move to which target, so that utilisation stays even.

use std::collections::HashMap;

use smallvec::{SmallVec, smallvec};

use crate::{
    Incarnation, Key, KeyRange, Slice,
    demand::{KeyLoad, loads_in_range},
};

/// Minimum gain of a move: by how much it lowers the higher utilisation of the two targets.
const MIN_GAIN: f64 = 0.08;

/// Minimum gain of a move, relative to the utilisation of the busier target.
const MIN_RELATIVE_GAIN: f64 = 0.12;

/// Maximum number of moves in one round of rebalancing.
const MAX_MOVES: usize = 6;

/// Minimum ratio of the capacities of the new and the present owner of a key that overloads the
/// present one.
const MIN_SPEEDUP: f64 = 1.2;

/// Load assumed for a key without requests, in slots of a target of speed 1, so that ranges without
/// requests are divided evenly too.
const IDLE_LOAD: f64 = 1e-7;

/// A target that may own keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The incarnation of the target.
    pub incarnation: Incarnation,
    /// Concurrent requests that the target can serve, in slots of a target of speed 1.
    pub capacity: f64,
}

/// A planned move of keys to a new owner.
#[derive(Clone, Debug, PartialEq)]
pub struct Move {
    /// The keys.
    pub range: KeyRange,
    /// The new owner.
    pub to: Incarnation,
}

/// A range of keys with its present owner.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnedRange {
    /// The keys.
    pub range: KeyRange,
    /// The owner.
    pub owner: Incarnation,
    /// Whether the keys may be moved in this round.
    pub movable: bool,
}

impl From<&Slice> for OwnedRange {
    fn from(slice: &Slice) -> Self {
        Self {
            range: slice.range,
            owner: slice.owner.clone(),
            movable: true,
        }
    }
}

/// Ranges of keys that move to the same target.
type Ranges = SmallVec<[KeyRange; 4]>;

/// A working copy of the assignments to which moves are applied as they are chosen.
struct Plan<'a> {
    loads: &'a [KeyLoad],
    targets: &'a [Candidate],
    /// Indexes of the targets in `targets`.
    indexes: HashMap<&'a Incarnation, usize>,
    /// Load of the keys that each target owns, in slots of a target of speed 1.
    target_loads: Vec<f64>,
    slices: Vec<OwnedRange>,
    /// For each target, the indexes of its slices.
    owned: Vec<SmallVec<[usize; 4]>>,
    moves: Vec<Move>,
}

/// Divides `ranges`, which have no owner, among the targets, to the least utilised ones first.
#[must_use]
pub fn assign_ranges(
    ranges: &[KeyRange],
    slices: Vec<OwnedRange>,
    targets: &[Candidate],
    loads: &[KeyLoad],
) -> Vec<Move> {
    let mut plan = Plan::new(slices, targets, loads);
    let unowned_load: f64 = ranges.iter().map(|it| plan.load(*it)).sum();
    let owned_load: f64 = plan.target_loads.iter().sum();
    let total_capacity: f64 = targets.iter().map(|it| it.capacity).sum();
    if total_capacity <= 0.0 {
        return Vec::new();
    }
    let mean_utilisation = (unowned_load + owned_load) / total_capacity;
    for range in ranges {
        let mut remaining = Some(*range);
        while let Some(unassigned) = remaining {
            let Some(least_used) = plan.least_utilised() else {
                break;
            };
            let deficit = mean_utilisation - plan.utilisation(least_used);
            let room = deficit.max(mean_utilisation * 0.2) * targets[least_used].capacity;
            let part = plan.prefix_with_load(unassigned, room);
            plan.assign(part, least_used);
            remaining = unassigned.above(part.last);
        }
    }
    plan.moves
}

/// Chooses moves of keys from the most utilised targets to less utilised ones.
#[must_use]
pub fn rebalance(slices: Vec<OwnedRange>, targets: &[Candidate], loads: &[KeyLoad]) -> Vec<Move> {
    let mut plan = Plan::new(slices, targets, loads);
    let mut by_utilisation: Vec<usize> = (0..targets.len()).collect();
    while plan.moves.len() < MAX_MOVES {
        by_utilisation.sort_by(|a, b| plan.utilisation(*b).total_cmp(&plan.utilisation(*a)));
        let mut busiest_first = by_utilisation.iter();
        let Some((ranges, to)) = busiest_first.find_map(|it| plan.best_moves(*it)) else {
            break;
        };
        for range in ranges {
            if plan.moves.len() < MAX_MOVES {
                plan.assign(range, to);
            }
        }
    }
    plan.moves
}

impl<'a> Plan<'a> {
    fn new(slices: Vec<OwnedRange>, targets: &'a [Candidate], loads: &'a [KeyLoad]) -> Self {
        let indexes = targets.iter().enumerate();
        let mut plan = Self {
            loads,
            targets,
            indexes: indexes.map(|(idx, it)| (&it.incarnation, idx)).collect(),
            target_loads: vec![0.0; targets.len()],
            slices,
            owned: Vec::new(),
            moves: Vec::new(),
        };
        for slice in &plan.slices {
            if let Some(idx) = plan.indexes.get(&slice.owner) {
                plan.target_loads[*idx] += plan.load(slice.range);
            }
        }
        plan.index_slices();
        plan
    }

    /// Updates `owned` after a change of the slices.
    fn index_slices(&mut self) {
        self.owned = vec![SmallVec::new(); self.targets.len()];
        for (number, slice) in self.slices.iter().enumerate() {
            if let Some(idx) = self.indexes.get(&slice.owner) {
                self.owned[*idx].push(number);
            }
        }
    }

    /// The slices of a target that may be moved.
    fn movable_slices(&self, target: usize) -> impl Iterator<Item = &OwnedRange> {
        let slices = self.owned[target].iter().map(|it| &self.slices[*it]);
        slices.filter(|it| it.movable)
    }

    fn load(&self, range: KeyRange) -> f64 {
        total_load(loads_in_range(self.loads, range), range)
    }

    fn utilisation(&self, target: usize) -> f64 {
        self.target_loads[target] / self.capacity(target)
    }

    /// Capacity of a target, at least 0.01.
    fn capacity(&self, target: usize) -> f64 {
        self.targets[target].capacity.max(0.01)
    }

    /// Returns the least utilised target.
    fn least_utilised(&self) -> Option<usize> {
        let utilisation = |it: &usize| self.utilisation(*it);
        (0..self.targets.len()).min_by(|a, b| utilisation(a).total_cmp(&utilisation(b)))
    }

    /// Returns the lowest keys of `range` whose total load is about `room`, at least one key.
    fn prefix_with_load(&self, range: KeyRange, room: f64) -> KeyRange {
        let total = self.load(range);
        if total <= room * 1.2 {
            return range;
        }
        let loads = loads_in_range(self.loads, range);
        let mut load = 0.0;
        let mut next_key = range.first;
        for it in loads {
            // Keys without requests between the previous key and this one.
            let idle_keys = f64::from(it.key - next_key);
            if load + idle_keys * IDLE_LOAD >= room {
                break;
            }
            load += idle_keys * IDLE_LOAD;
            if load > 0.0 && load + it.load > room && it.key > range.first {
                return KeyRange::new(range.first, it.key - 1);
            }
            load += it.load;
            if load >= room || it.key == range.last {
                return KeyRange::new(range.first, it.key);
            }
            next_key = it.key + 1;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the number is clamped to the values of a key"
        )]
        let idle_keys = ((room - load) / IDLE_LOAD).clamp(1.0, 65_535.0) as Key;
        let last = next_key
            .saturating_add(idle_keys - 1)
            .clamp(range.first, range.last);
        KeyRange::new(range.first, last)
    }

    fn assign(&mut self, range: KeyRange, to: usize) {
        let load = self.load(range);
        let mut slices = Vec::with_capacity(self.slices.len() + 2);
        for slice in std::mem::take(&mut self.slices) {
            if slice.range.intersection(range).is_none() {
                slices.push(slice);
                continue;
            }
            if let Some(idx) = self.indexes.get(&slice.owner) {
                self.target_loads[*idx] -= load;
            }
            let sides = [
                slice.range.below(range.first),
                slice.range.above(range.last),
            ];
            for side in sides.into_iter().flatten() {
                slices.push(OwnedRange {
                    range: side,
                    ..slice.clone()
                });
            }
        }
        let owner = &self.targets[to].incarnation;
        slices.push(OwnedRange {
            range,
            owner: owner.clone(),
            movable: false,
        });
        self.slices = slices;
        self.index_slices();
        self.target_loads[to] += load;
        self.moves.push(Move {
            range,
            to: owner.clone(),
        });
    }

    /// Returns the keys of `busy` that are to move to another target, and that target: an overloading
    /// key to a faster one, if there is one; otherwise the range whose move has the largest gain; or
    /// several slices, if their moves reach the minimum gain only together.
    fn best_moves(&self, busy: usize) -> Option<(Ranges, usize)> {
        if let Some((range, to)) = self.find_faster_target(busy) {
            return Some((smallvec![range], to));
        }
        match self.best_move(busy) {
            Some((range, to)) => Some((smallvec![range], to)),
            None => self.best_bundle(busy),
        }
    }

    /// Returns the move from `busy` with the largest gain, if the gain reaches the minimum.
    fn best_move(&self, busy: usize) -> Option<(KeyRange, usize)> {
        let min_gain = self.min_gain(busy);
        let mut best: Option<(f64, KeyRange, usize)> = None;
        for other in 0..self.targets.len() {
            if other == busy || self.utilisation(busy) - self.utilisation(other) < min_gain {
                continue;
            }
            let desired_load = self.desired_load(busy, other);
            let Some((range, load)) = self.find_window(busy, desired_load) else {
                continue;
            };
            let gain = self.gain(busy, other, load);
            if gain >= min_gain && best.as_ref().is_none_or(|it| gain > it.0) {
                best = Some((gain, range, other));
            }
        }
        best.map(|(_, range, to)| (range, to))
    }

    /// Returns slices of `busy` that are to move to the least utilised target, the largest ones
    /// first, if moves between the two can reach the minimum gain together. A target that owns many
    /// small slices is relieved in this way: none of them alone makes a difference.
    ///
    /// The other target is filled up to the mean utilisation only, since what it gets beyond that
    /// would soon move on.
    fn best_bundle(&self, busy: usize) -> Option<(Ranges, usize)> {
        let other = self.least_utilised().filter(|it| *it != busy)?;
        let desired_load = self.desired_load(busy, other);
        if desired_load <= 0.0 || self.gain(busy, other, desired_load) < self.min_gain(busy) {
            return None;
        }
        let slices = self.movable_slices(busy);
        let mut slices: Vec<_> = slices.map(|it| (it.range, self.load(it.range))).collect();
        slices.retain(|it| it.1 <= desired_load);
        let total: f64 = slices.iter().map(|it| it.1).sum();
        if self.gain(busy, other, total.min(desired_load)) < self.min_gain(busy) {
            return None;
        }
        slices.sort_by(|a, b| b.1.total_cmp(&a.1));
        let deficit = (self.mean_utilisation() - self.utilisation(other)) * self.capacity(other);
        let mut room = desired_load.min(deficit);
        let mut ranges = Ranges::new();
        for (range, load) in &slices {
            if *load <= room {
                room -= load;
                ranges.push(*range);
            }
        }
        if ranges.is_empty() {
            ranges.extend(slices.last().map(|it| it.0));
        }
        (!ranges.is_empty()).then_some((ranges, other))
    }

    /// Load of all targets as a fraction of their capacity.
    fn mean_utilisation(&self) -> f64 {
        let targets = 0..self.targets.len();
        let capacity: f64 = targets.map(|it| self.capacity(it)).sum();
        self.target_loads.iter().sum::<f64>() / capacity
    }

    /// The load whose move makes the utilisation of both targets equal.
    fn desired_load(&self, busy: usize, other: usize) -> f64 {
        let gap = self.utilisation(busy) - self.utilisation(other);
        gap / (1.0 / self.capacity(busy) + 1.0 / self.capacity(other))
    }

    /// By how much a move of `load` lowers the higher utilisation of the two targets.
    fn gain(&self, busy: usize, other: usize, load: f64) -> f64 {
        let utilisation = self.utilisation(busy);
        let busy_after = utilisation - load / self.capacity(busy);
        let other_after = self.utilisation(other) + load / self.capacity(other);
        utilisation - busy_after.max(other_after)
    }

    /// The gain that moves from `busy` must reach.
    fn min_gain(&self, busy: usize) -> f64 {
        MIN_GAIN.max(self.utilisation(busy) * MIN_RELATIVE_GAIN)
    }

    /// Returns the contiguous keys in one slice of `busy` with the largest load that does not
    /// exceed `desired_load`, and that load.
    fn find_window(&self, busy: usize, desired_load: f64) -> Option<(KeyRange, f64)> {
        let mut best: Option<(KeyRange, f64)> = None;
        for slice in self.movable_slices(busy) {
            let loads = loads_in_range(self.loads, slice.range);
            let total = total_load(loads, slice.range);
            if total <= desired_load {
                if best.is_none_or(|it| total > it.1) {
                    best = Some((slice.range, total));
                }
                continue;
            }
            let mut load = 0.0;
            let mut start = 0;
            for end in 0..loads.len() {
                load += loads[end].load;
                while load > desired_load && start <= end {
                    load -= loads[start].load;
                    start += 1;
                }
                if start <= end && best.is_none_or(|it| load > it.1) {
                    let first = if start == 0 {
                        slice.range.first
                    } else {
                        loads[start - 1].key + 1
                    };
                    let last = match loads.get(end + 1) {
                        None => slice.range.last,
                        Some(next) => next.key - 1,
                    };
                    best = Some((KeyRange::new(first, last), load));
                }
            }
        }
        best.filter(|it| it.1 > 0.0)
    }

    /// Returns a key that takes more than 90% of the capacity of `busy`, and a faster target for
    /// it.
    fn find_faster_target(&self, busy: usize) -> Option<(KeyRange, usize)> {
        let capacity = self.targets[busy].capacity;
        for slice in self.movable_slices(busy) {
            let hottest = loads_in_range(self.loads, slice.range)
                .iter()
                .max_by(|a, b| a.load.total_cmp(&b.load));
            let Some(hottest) = hottest.filter(|it| it.load > 0.9 * capacity) else {
                continue;
            };
            let faster = |it: &usize| self.targets[*it].capacity >= capacity * MIN_SPEEDUP;
            let best = (0..self.targets.len())
                .filter(faster)
                .filter(|it| !self.has_hot_key(*it))
                .max_by(|a, b| {
                    let score =
                        |it: &usize| self.targets[*it].capacity - 0.2 * self.target_loads[*it];
                    score(a).total_cmp(&score(b))
                });
            if let Some(best) = best {
                return Some((KeyRange::new(hottest.key, hottest.key), best));
            }
        }
        None
    }

    /// Whether the target owns a key that takes more than 60% of its capacity.
    fn has_hot_key(&self, target: usize) -> bool {
        let capacity = self.targets[target].capacity;
        self.owned[target].iter().any(|it| {
            let loads = loads_in_range(self.loads, self.slices[*it].range);
            loads.iter().any(|it| it.load > 0.6 * capacity)
        })
    }
}

/// Returns the load of `range`; `loads` are those of its keys that have requests.
fn total_load(loads: &[KeyLoad], range: KeyRange) -> f64 {
    let idle_load = f64::from(range.width()) * IDLE_LOAD;
    loads.iter().map(|it| it.load).sum::<f64>() + idle_load
}
