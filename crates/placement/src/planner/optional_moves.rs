//! Optional moves that balance load: off busy targets and onto nearly idle ones.

use std::{collections::BTreeMap, sync::Arc};

use super::{MAX_OPTIONAL_MOVES, Round};
use crate::{
    TargetState,
    fleet::{self, relief::HOT_RELIEVED_THRESHOLD},
};

/// Utilisation relative to the mean above which a target is relieved. Below the required peak of
/// 1.15, so that slices move before a rising load exceeds the peak.
const BUSY_THRESHOLD: f64 = 1.1;
/// Relative utilisation at which relief ends. The difference to [`BUSY_THRESHOLD`] is the
/// hysteresis: a target that was just relieved is not relieved again at the next small rise.
pub(super) const RELIEVED_THRESHOLD: f64 = 1.05;
/// Relative utilisation below which a live target is filled. Low, because an idle target does no
/// harm and leaves headroom for the next hot key.
const EMPTY_THRESHOLD: f64 = 0.25;
/// Relative utilisation at which filling ends.
const FILLED_THRESHOLD: f64 = 0.95;
/// Accumulated excess, in relative utilisation times seconds, from which slices move. The required
/// peak of 1.15 reaches it in 4 s and twice the mean load in a fraction of a second, while
/// measurement errors cancel out.
const TOLERATED_EXCESS_S: f64 = 0.15;
/// Exponential decay of the accumulated excess: the share that remains after one second. A constant
/// excess below 0.015 therefore never adds up to [`TOLERATED_EXCESS_S`].
const EXCESS_RETAINED_PER_S: f64 = 0.9;
/// Highest average utilisation that is used as the reference for the excess of a busy target. A
/// target whose average is between [`BUSY_THRESHOLD`] and this value was not worth a move when its
/// load rose. Because its excess is relative to its average, measurement errors do not add up, and
/// a steady load moves nothing however long it lasts. Together with the tolerated excess, this
/// permits 1.135, below the required 1.15.
const MAX_AVERAGE: f64 = 1.12;
/// Exponential decay of the moving average of a target's utilisation: the share of the difference
/// between the average and the utilisation that remains after one second.
const AVERAGE_RETAINED_PER_S: f64 = 0.97;
/// Maximum time between two rounds that is taken into account.
const MAX_ELAPSED_MS: u64 = 5_000;
/// Maximum number of destinations considered in each region.
const MAX_DESTINATIONS: usize = 8;
/// Maximum number of sources considered when a target is filled.
const MAX_SOURCES: usize = 8;

impl Round<'_> {
    /// Moves slices off busy targets, and onto joining or nearly idle targets.
    pub(super) fn rebalance(&mut self) {
        self.update_excess();
        let mut movable = self.movable_slices();
        for target in self.fleet.most_loaded() {
            let name = &self.input.targets[target].name;
            let excess = self.plan.state.busy_excess.get(name);
            if excess.is_some_and(|it| exceeds_tolerance(*it)) {
                self.relieve(target, &mut movable);
                self.exchange(target, &mut movable);
            }
        }
        for target in self.fleet.least_loaded(usize::MAX) {
            let name = &self.input.targets[target].name;
            let excess = self.plan.state.empty_excess.get(name);
            if excess.is_some_and(|it| exceeds_tolerance(*it)) {
                self.fill(target, &mut movable);
            }
        }
    }

    /// Updates the average utilisation and the accumulated excess of each target. A target whose
    /// excess reaches [`TOLERATED_EXCESS_S`] counts as busy or empty until it is back within
    /// [`RELIEVED_THRESHOLD`] or [`FILLED_THRESHOLD`]; one noisy measurement therefore moves
    /// nothing.
    fn update_excess(&mut self) {
        let elapsed_s = self.elapsed_s();
        let mut busy = BTreeMap::new();
        let mut empty = BTreeMap::new();
        let mut averages = BTreeMap::new();
        for (index, target) in self.input.targets.iter().enumerate() {
            if !self.fleet.is_usable(index) {
                continue;
            }
            let relative = self.fleet.relative_utilisation(index);
            let (name, state) = (&target.name, &self.input.state);
            let average = state.average_utilisation.get(name).copied().unwrap_or(1.0);
            let average =
                average + (relative - average) * (1.0 - AVERAGE_RETAINED_PER_S.powf(elapsed_s));
            averages.insert(Arc::clone(name), average);
            // The quota of a joining target rises from round to round, so a joining target is
            // never relieved and always filled.
            let joining = matches!(target.state, TargetState::Joining { .. });
            let before = state.busy_excess.get(name).copied().unwrap_or(0.0);
            let after = if exceeds_tolerance(before) {
                before
            } else {
                accumulate(
                    before,
                    relative - average.clamp(BUSY_THRESHOLD, MAX_AVERAGE),
                    elapsed_s,
                )
            };
            if after > 0.0 && relative > RELIEVED_THRESHOLD && !joining {
                busy.insert(Arc::clone(name), after);
            }

            let before = state.empty_excess.get(name).copied().unwrap_or(0.0);
            let after = if joining {
                TOLERATED_EXCESS_S
            } else if exceeds_tolerance(before) {
                before
            } else {
                accumulate(before, EMPTY_THRESHOLD - relative, elapsed_s)
            };
            if after > 0.0 && relative < FILLED_THRESHOLD {
                empty.insert(Arc::clone(name), after);
            }
        }
        self.state().busy_excess = busy;
        self.state().empty_excess = empty;
        self.state().average_utilisation = averages;
    }

    /// Seconds since the last round, capped so that a late round does not weigh more than usual.
    fn elapsed_s(&self) -> f64 {
        let elapsed_ms = match self.input.state.last_round_ms {
            Some(round_ms) => self.input.now_ms.saturating_sub(round_ms),
            None => 0,
        };
        fleet::as_f64(elapsed_ms.min(MAX_ELAPSED_MS)) / 1_000.0
    }

    /// The slices of each target that may make an optional move.
    fn movable_slices(&self) -> Vec<Vec<usize>> {
        let mut lists = vec![Vec::new(); self.input.targets.len()];
        for (index, slice) in self.input.slices.iter().enumerate() {
            let Some(owner) = self.fleet.usable_owner(index) else {
                continue;
            };
            if !self.changed.contains(&index) && !self.plan.state.has_moved_recently(slice.low) {
                lists[owner].push(index);
            }
        }
        lists
    }

    /// Moves slices off a busy target. The owner of a very hot slice gives up the slices that
    /// remove most of its excess per cost, other targets those with the highest gain.
    fn relieve(&mut self, source: usize, movable: &mut [Vec<usize>]) {
        let very_hot = self.fleet.owns_very_hot(source);
        let limit = if very_hot {
            HOT_RELIEVED_THRESHOLD
        } else {
            RELIEVED_THRESHOLD
        };
        while self.optional_moves < MAX_OPTIONAL_MOVES
            && self.fleet.relative_utilisation(source) > limit
        {
            let mut targets = self.fleet.least_loaded(MAX_DESTINATIONS);
            targets.retain(|&it| it != source && self.can_accept(it));
            let best = if very_hot {
                let excess = self.fleet.excess(source, limit);
                self.find_cheapest_relief(&movable[source], &targets, excess)
            } else {
                self.find_best_move(&movable[source], &targets)
            };
            let Some((nth, target)) = best else {
                return;
            };
            self.transfer(source, nth, target, movable);
        }
        if very_hot {
            // Its utilisation stays above RELIEVED_THRESHOLD, so its excess must accumulate anew
            // before it gives up more slices.
            let name = &self.input.targets[source].name;
            self.plan.state.busy_excess.remove(name);
        }
    }

    /// The move that removes most of the excess per cost, as the position in `slices` and the
    /// target; `None` if no move pays.
    fn find_cheapest_relief(
        &self,
        slices: &[usize],
        targets: &[usize],
        excess: f64,
    ) -> Option<(usize, usize)> {
        let mut best = None;
        for (nth, &slice) in slices.iter().enumerate() {
            // The new owner would have to give up as much load.
            if self.fleet.exceeds_headroom(slice) {
                continue;
            }
            let Some((_, target)) = self.find_best_move(&[slice], targets) else {
                continue;
            };
            let ratio = self.fleet.relief_per_cost(slice, target, excess);
            if best.is_none_or(|(highest, _, _)| ratio > highest) {
                best = Some((ratio, nth, target));
            }
        }
        best.map(|(_, nth, target)| (nth, target))
    }

    /// Moves one large slice off a target that no single move can relieve, and then relieves its
    /// new owner.
    fn exchange(&mut self, source: usize, movable: &mut [Vec<usize>]) {
        if self.optional_moves >= MAX_OPTIONAL_MOVES
            || self.fleet.relative_utilisation(source) <= BUSY_THRESHOLD
        {
            return;
        }
        let mut best = None;
        for target in self.fleet.least_loaded(MAX_DESTINATIONS) {
            if target == source || !self.can_accept(target) {
                continue;
            }
            let movable_load = movable[target]
                .iter()
                .map(|&it| self.fleet.weight(it))
                .sum();
            for (nth, &slice) in movable[source].iter().enumerate() {
                let gain =
                    self.fleet
                        .exchange_gain(slice, target, RELIEVED_THRESHOLD, movable_load);
                if gain > 0.0 && best.is_none_or(|(highest, _, _)| gain > highest) {
                    best = Some((gain, nth, target));
                }
            }
        }
        if let Some((_, nth, target)) = best {
            self.transfer(source, nth, target, movable);
            self.relieve(target, movable);
        }
    }

    fn fill(&mut self, target: usize, movable: &mut [Vec<usize>]) {
        while self.optional_moves < MAX_OPTIONAL_MOVES
            && self.fleet.relative_utilisation(target) < FILLED_THRESHOLD
        {
            if !self.can_accept(target) {
                return;
            }
            let mut best = None;
            for source in self.fleet.most_loaded().into_iter().take(MAX_SOURCES) {
                // With few targets, the one being filled is itself among the most loaded.
                if source == target {
                    continue;
                }
                let Some((nth, _)) = self.find_best_move(&movable[source], &[target]) else {
                    continue;
                };
                let gain = self.fleet.gain(movable[source][nth], target);
                if best.is_none_or(|(highest, _, _)| gain > highest) {
                    best = Some((gain, source, nth));
                }
            }
            let Some((_, source, nth)) = best else {
                return;
            };
            self.transfer(source, nth, target, movable);
        }
    }

    /// The move with the highest gain, as the position in `slices` and the target; `None` if no
    /// move pays.
    fn find_best_move(&self, slices: &[usize], targets: &[usize]) -> Option<(usize, usize)> {
        let mut best = None;
        for (nth, &slice) in slices.iter().enumerate() {
            for &target in targets {
                let gain = self.fleet.gain(slice, target);
                if gain > 0.0 && best.is_none_or(|(highest, _, _)| gain > highest) {
                    best = Some((gain, nth, target));
                }
            }
        }
        best.map(|(_, nth, target)| (nth, target))
    }

    fn transfer(&mut self, source: usize, nth: usize, target: usize, movable: &mut [Vec<usize>]) {
        let slice = movable[source].swap_remove(nth);
        self.move_slice(slice, target);
    }

    /// Whether the target can accept one more slice in this round. A target that is being filled
    /// accepts at most one slice per request slot and cold start, because each cold slice occupies
    /// a slot.
    fn can_accept(&self, target: usize) -> bool {
        let it = &self.input.targets[target];
        let filling = self.plan.state.empty_excess.get(&it.name);
        if !filling.is_some_and(|it| exceeds_tolerance(*it)) {
            return true;
        }
        let intake_ms = self.input.state.last_intake.get(&it.name);
        let warm = intake_ms.is_none_or(|at| self.input.now_ms.saturating_sub(*at) >= it.cold_ms);
        warm && self.accepted[target] < it.capacity.max(1)
    }
}

/// Adds the excess of a round to the accumulated excess of earlier rounds, which decays.
fn accumulate(before: f64, excess: f64, elapsed_s: f64) -> f64 {
    before * EXCESS_RETAINED_PER_S.powf(elapsed_s) + excess * elapsed_s
}

/// Whether the accumulated excess of a target is large enough to move slices.
fn exceeds_tolerance(excess: f64) -> bool {
    excess >= TOLERATED_EXCESS_S
}
