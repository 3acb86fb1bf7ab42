//! Load balancing: decides which keys move to which target, so that utilisation stays even.

use std::collections::BTreeMap;

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

/// A working copy of the assignments to which moves are applied as they are chosen.
struct Plan<'a> {
    loads: &'a [KeyLoad],
    targets: &'a [Candidate],
    /// Load of the keys that each target owns, in slots of a target of speed 1.
    target_loads: BTreeMap<&'a Incarnation, f64>,
    slices: Vec<OwnedRange>,
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
    let owned_load: f64 = plan.target_loads.values().sum();
    let total_capacity: f64 = targets.iter().map(|it| it.capacity).sum();
    if total_capacity <= 0.0 {
        return Vec::new();
    }
    let mean_utilisation = (unowned_load + owned_load) / total_capacity;
    for range in ranges {
        let mut remaining = Some(*range);
        while let Some(unassigned) = remaining {
            let Some((incarnation, utilisation, capacity)) = plan.least_utilised() else {
                break;
            };
            let room = (mean_utilisation - utilisation).max(mean_utilisation * 0.2) * capacity;
            let part = plan.prefix_with_load(unassigned, room);
            plan.assign(part, &incarnation);
            remaining = unassigned.above(part.last);
        }
    }
    plan.moves
}

/// Chooses moves of keys from the most utilised targets to less utilised ones.
#[must_use]
pub fn rebalance(slices: Vec<OwnedRange>, targets: &[Candidate], loads: &[KeyLoad]) -> Vec<Move> {
    let mut plan = Plan::new(slices, targets, loads);
    let mut by_utilisation: Vec<&Candidate> = targets.iter().collect();
    while plan.moves.len() < MAX_MOVES {
        by_utilisation.sort_by(|a, b| plan.utilisation(b).total_cmp(&plan.utilisation(a)));
        let mut found = false;
        for busy in &by_utilisation {
            if let Some((range, to)) = plan.best_move(busy) {
                plan.assign(range, &to);
                found = true;
                break;
            }
        }
        if !found {
            break;
        }
    }
    plan.moves
}

impl<'a> Plan<'a> {
    fn new(slices: Vec<OwnedRange>, targets: &'a [Candidate], loads: &'a [KeyLoad]) -> Self {
        let mut plan = Self {
            loads,
            targets,
            target_loads: targets.iter().map(|it| (&it.incarnation, 0.0)).collect(),
            slices,
            moves: Vec::new(),
        };
        for slice in &plan.slices {
            let load = total_load(loads_in_range(loads, slice.range), slice.range);
            if let Some(target_load) = plan.target_loads.get_mut(&slice.owner) {
                *target_load += load;
            }
        }
        plan
    }

    fn load(&self, range: KeyRange) -> f64 {
        total_load(loads_in_range(self.loads, range), range)
    }

    fn utilisation(&self, target: &Candidate) -> f64 {
        self.target_loads[&target.incarnation] / target.capacity.max(0.01)
    }

    /// Returns the least utilised target, its utilisation and its capacity.
    fn least_utilised(&self) -> Option<(Incarnation, f64, f64)> {
        let least_used = self
            .targets
            .iter()
            .min_by(|a, b| self.utilisation(a).total_cmp(&self.utilisation(b)))?;
        Some((
            least_used.incarnation.clone(),
            self.utilisation(least_used),
            least_used.capacity,
        ))
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

    fn assign(&mut self, range: KeyRange, to: &Incarnation) {
        let load = self.load(range);
        let mut slices = Vec::with_capacity(self.slices.len() + 2);
        for slice in std::mem::take(&mut self.slices) {
            if slice.range.intersection(range).is_none() {
                slices.push(slice);
                continue;
            }
            if let Some(target_load) = self.target_loads.get_mut(&slice.owner) {
                *target_load -= load;
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
        slices.push(OwnedRange {
            range,
            owner: to.clone(),
            movable: false,
        });
        self.slices = slices;
        if let Some(target_load) = self.target_loads.get_mut(to) {
            *target_load += load;
        }
        self.moves.push(Move {
            range,
            to: to.clone(),
        });
    }

    /// Returns the move of an overloading key to a faster target, if there is one; otherwise the
    /// move from `busy` with the largest gain, if the gain reaches the minimum.
    fn best_move(&self, busy: &Candidate) -> Option<(KeyRange, Incarnation)> {
        let utilisation = self.utilisation(busy);
        let min_gain = MIN_GAIN.max(utilisation * MIN_RELATIVE_GAIN);
        if let Some(found) = self.find_faster_target(busy) {
            return Some(found);
        }
        let mut best: Option<(f64, KeyRange, &Incarnation)> = None;
        for other in self.targets {
            if other.incarnation == busy.incarnation {
                continue;
            }
            let gap = utilisation - self.utilisation(other);
            if gap < min_gain {
                continue;
            }
            // Moving this load makes the utilisation of both targets equal.
            let desired_load =
                gap / (1.0 / busy.capacity.max(0.01) + 1.0 / other.capacity.max(0.01));
            let Some((range, load)) = self.find_window(busy, desired_load) else {
                continue;
            };
            let max_after = (utilisation - load / busy.capacity.max(0.01))
                .max(self.utilisation(other) + load / other.capacity.max(0.01));
            let gain = utilisation - max_after;
            if gain >= min_gain && best.as_ref().is_none_or(|it| gain > it.0) {
                best = Some((gain, range, &other.incarnation));
            }
        }
        best.map(|(_, range, to)| (range, to.clone()))
    }

    /// Returns the contiguous keys in one slice of `busy` with the largest load that does not
    /// exceed `desired_load`, and that load.
    fn find_window(&self, busy: &Candidate, desired_load: f64) -> Option<(KeyRange, f64)> {
        let mut best: Option<(KeyRange, f64)> = None;
        for slice in &self.slices {
            if slice.owner != busy.incarnation || !slice.movable {
                continue;
            }
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
    fn find_faster_target(&self, busy: &Candidate) -> Option<(KeyRange, Incarnation)> {
        for slice in &self.slices {
            if slice.owner != busy.incarnation || !slice.movable {
                continue;
            }
            let hottest = loads_in_range(self.loads, slice.range)
                .iter()
                .max_by(|a, b| a.load.total_cmp(&b.load));
            let Some(hottest) = hottest.filter(|it| it.load > 0.9 * busy.capacity) else {
                continue;
            };
            let best = self
                .targets
                .iter()
                .filter(|it| it.capacity >= busy.capacity * MIN_SPEEDUP)
                .filter(|it| !self.has_hot_key(it))
                .max_by(|a, b| {
                    let score =
                        |it: &Candidate| it.capacity - 0.2 * self.target_loads[&it.incarnation];
                    score(a).total_cmp(&score(b))
                });
            if let Some(best) = best {
                let range = KeyRange::new(hottest.key, hottest.key);
                return Some((range, best.incarnation.clone()));
            }
        }
        None
    }

    /// Whether the target owns a key that takes more than 60% of its capacity.
    fn has_hot_key(&self, target: &Candidate) -> bool {
        self.slices.iter().any(|slice| {
            slice.owner == target.incarnation
                && loads_in_range(self.loads, slice.range)
                    .iter()
                    .any(|it| it.load > 0.6 * target.capacity)
        })
    }
}

/// Returns the load of `range`; `loads` are those of its keys that have requests.
fn total_load(loads: &[KeyLoad], range: KeyRange) -> f64 {
    let idle_load = f64::from(range.width()) * IDLE_LOAD;
    loads.iter().map(|it| it.load).sum::<f64>() + idle_load
}
