//! Elective moves: relieving busy targets and filling empty ones.

use std::{collections::BTreeMap, sync::Arc};

use super::{MAX_OPTIONAL_MOVES, Round};
use crate::{
    TargetState,
    fleet::{self, relief::HOT_RELIEVED},
};

/// Utilisation relative to the mean from which a target is relieved. Below the required peak of
/// 1.15, so that a rising load is met before it exceeds the peak.
const BUSY: f64 = 1.1;
/// Utilisation at which relief ends. The distance to [`BUSY`] is the hysteresis: a target that
/// was just relieved is not relieved again at the next small rise.
pub(super) const RELIEVED: f64 = 1.05;
/// Utilisation below which a live target is filled. Low, because an empty target harms nobody
/// and the next hot key needs room.
const EMPTY: f64 = 0.25;
/// Utilisation at which filling ends.
const FILLED: f64 = 0.95;
/// Excess over the band, in relative utilisation times seconds, after which slices move. At the
/// required peak of 1.15 that takes 4 s and at twice the mean load a fraction of a second, and
/// errors of measurement cancel out.
const TOLERATED_S: f64 = 0.15;
/// Part of the excess that remains after a second. A constant excess below 0.015 therefore never
/// adds up to [`TOLERATED_S`].
const FADING: f64 = 0.9;
/// Highest utilisation that counts as usual for a target. A target that has been between
/// [`BUSY`] and this for a while was not worth a move when it got there; measured against its
/// usual utilisation, errors of measurement do not add up, so that a steady load moves nothing
/// however long it lasts. With the tolerated excess that is 1.135, below the required 1.15.
const USUAL: f64 = 1.12;
/// Part of the difference from the usual utilisation that remains after a second.
const USUAL_FADING: f64 = 0.97;
/// Longest time between two rounds that counts in full.
const LONGEST_ROUND_MS: u64 = 5_000;
/// Destinations considered in each region.
const DESTINATIONS: usize = 8;
/// Sources considered when a target is filled.
const SOURCES: usize = 8;

impl Round<'_> {
    /// Moves slices from busy targets to others, and to joining or empty targets from others.
    pub(super) fn level(&mut self) {
        self.track_bands();
        let mut owned = self.owned();
        for target in self.fleet.fullest() {
            let name = &self.input.targets[target].name;
            let excess = self.plan.state.busy.get(name);
            if excess.is_some_and(|it| is_settled(*it)) {
                self.relieve(target, &mut owned);
                self.exchange(target, &mut owned);
            }
        }
        for target in self.fleet.emptiest(usize::MAX) {
            let name = &self.input.targets[target].name;
            let excess = self.plan.state.empty.get(name);
            if excess.is_some_and(|it| is_settled(*it)) {
                self.fill(target, &mut owned);
            }
        }
    }

    /// Updates which targets are out of the band. A target whose excess adds up to
    /// [`TOLERATED_S`] counts as busy or empty until it is back in the inner band; one noisy
    /// measurement therefore moves nothing.
    fn track_bands(&mut self) {
        let elapsed_s = self.elapsed_s();
        let mut busy = BTreeMap::new();
        let mut empty = BTreeMap::new();
        let mut usuals = BTreeMap::new();
        for (index, target) in self.input.targets.iter().enumerate() {
            if !self.fleet.is_usable(index) {
                continue;
            }
            let relative = self.fleet.relative(index);
            let (name, state) = (&target.name, &self.input.state);
            let usual = state.usual.get(name).copied().unwrap_or(1.0);
            let usual = usual + (relative - usual) * (1.0 - USUAL_FADING.powf(elapsed_s));
            usuals.insert(Arc::clone(name), usual);
            // The quota of a joining target rises from round to round, so a joining target is
            // never relieved and always filled.
            let joining = matches!(target.state, TargetState::Joining { .. });
            let before = state.busy.get(name).copied().unwrap_or(0.0);
            let after = if is_settled(before) {
                before
            } else {
                accumulate(before, relative - usual.clamp(BUSY, USUAL), elapsed_s)
            };
            if after > 0.0 && relative > RELIEVED && !joining {
                busy.insert(Arc::clone(name), after);
            }

            let before = state.empty.get(name).copied().unwrap_or(0.0);
            let after = if joining {
                TOLERATED_S
            } else if is_settled(before) {
                before
            } else {
                accumulate(before, EMPTY - relative, elapsed_s)
            };
            if after > 0.0 && relative < FILLED {
                empty.insert(Arc::clone(name), after);
            }
        }
        self.state().busy = busy;
        self.state().empty = empty;
        self.state().usual = usuals;
    }

    /// Seconds since the last round, limited so that a late round decides no more than usual.
    fn elapsed_s(&self) -> f64 {
        let elapsed_ms = match self.input.state.round_ms {
            Some(round_ms) => self.input.now_ms.saturating_sub(round_ms),
            None => 0,
        };
        fleet::as_f64(elapsed_ms.min(LONGEST_ROUND_MS)) / 1_000.0
    }

    /// The slices of each target that may move electively.
    fn owned(&self) -> Vec<Vec<usize>> {
        let mut lists = vec![Vec::new(); self.input.targets.len()];
        for (index, slice) in self.input.slices.iter().enumerate() {
            let Some(owner) = self.fleet.owner(index) else {
                continue;
            };
            if !self.changed.contains(&index) && !self.plan.state.is_resting(slice.low) {
                lists[owner].push(index);
            }
        }
        lists
    }

    /// Hands on slices of a busy target. The owner of a very hot slice hands on those that remove
    /// most of its excess for their cost, other targets those that gain most.
    fn relieve(&mut self, source: usize, owned: &mut [Vec<usize>]) {
        let hot = self.fleet.owns_very_hot(source);
        let limit = if hot { HOT_RELIEVED } else { RELIEVED };
        while self.elective < MAX_OPTIONAL_MOVES && self.fleet.relative(source) > limit {
            let mut targets = self.fleet.emptiest(DESTINATIONS);
            targets.retain(|&it| it != source && self.may_take(it));
            let best = if hot {
                let excess = self.fleet.excess(source, limit);
                self.cheapest(&owned[source], &targets, excess)
            } else {
                self.best(&owned[source], &targets)
            };
            let Some((nth, target)) = best else {
                return;
            };
            self.transfer(source, nth, target, owned);
        }
        if hot {
            // Its utilisation stays above the inner band, so it must add up an excess anew before
            // it hands on more.
            let name = &self.input.targets[source].name;
            self.plan.state.busy.remove(name);
        }
    }

    /// The slice that removes most of the excess for the cost of its move, if any move pays.
    fn cheapest(&self, slices: &[usize], targets: &[usize], excess: f64) -> Option<(usize, usize)> {
        let mut best = None;
        for (nth, &slice) in slices.iter().enumerate() {
            // The next owner would have to hand on as much.
            if self.fleet.exceeds_room(slice) {
                continue;
            }
            let Some((_, target)) = self.best(&[slice], targets) else {
                continue;
            };
            let yields = self.fleet.yields(slice, target, excess);
            if best.is_none_or(|(highest, _, _)| yields > highest) {
                best = Some((yields, nth, target));
            }
        }
        best.map(|(_, nth, target)| (nth, target))
    }

    /// Moves one large slice off a target that no single move can relieve, and makes room for it
    /// at its new owner.
    fn exchange(&mut self, source: usize, owned: &mut [Vec<usize>]) {
        if self.elective >= MAX_OPTIONAL_MOVES || self.fleet.relative(source) <= BUSY {
            return;
        }
        let mut best = None;
        for target in self.fleet.emptiest(DESTINATIONS) {
            if target == source || !self.may_take(target) {
                continue;
            }
            let movable = owned[target].iter().map(|&it| self.fleet.weight(it)).sum();
            for (nth, &slice) in owned[source].iter().enumerate() {
                let gain = self.fleet.exchange_gain(slice, target, RELIEVED, movable);
                if gain > 0.0 && best.is_none_or(|(highest, _, _)| gain > highest) {
                    best = Some((gain, nth, target));
                }
            }
        }
        if let Some((_, nth, target)) = best {
            self.transfer(source, nth, target, owned);
            self.relieve(target, owned);
        }
    }

    fn fill(&mut self, target: usize, owned: &mut [Vec<usize>]) {
        while self.elective < MAX_OPTIONAL_MOVES && self.fleet.relative(target) < FILLED {
            if !self.may_take(target) {
                return;
            }
            let mut best = None;
            for source in self.fleet.fullest().into_iter().take(SOURCES) {
                // With few targets, the one being filled is itself among the fullest.
                if source == target {
                    continue;
                }
                let Some((nth, _)) = self.best(&owned[source], &[target]) else {
                    continue;
                };
                let gain = self.fleet.gain(owned[source][nth], target);
                if best.is_none_or(|(highest, _, _)| gain > highest) {
                    best = Some((gain, source, nth));
                }
            }
            let Some((_, source, nth)) = best else {
                return;
            };
            self.transfer(source, nth, target, owned);
        }
    }

    /// The best of `slices` to move to one of `targets`, if any move pays.
    fn best(&self, slices: &[usize], targets: &[usize]) -> Option<(usize, usize)> {
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

    fn transfer(&mut self, source: usize, nth: usize, target: usize, owned: &mut [Vec<usize>]) {
        let slice = owned[source].swap_remove(nth);
        self.elect(slice, target);
    }

    /// Whether the target may take one more slice in this round. A target that is being filled
    /// takes at most one slice per request slot and cold start, because each cold slice keeps a
    /// slot busy.
    fn may_take(&self, target: usize) -> bool {
        let it = &self.input.targets[target];
        let filling = self.plan.state.empty.get(&it.name);
        if !filling.is_some_and(|it| is_settled(*it)) {
            return true;
        }
        let intake_ms = self.input.state.intake.get(&it.name);
        let warm = intake_ms.is_none_or(|at| self.input.now_ms.saturating_sub(*at) >= it.cold_ms);
        warm && self.taken[target] < it.capacity.max(1)
    }
}

/// Adds the excess of a round to that of earlier rounds, which fades.
fn accumulate(before: f64, excess: f64, elapsed_s: f64) -> f64 {
    before * FADING.powf(elapsed_s) + excess * elapsed_s
}

/// Whether the excess of a target is large enough to move slices.
fn is_settled(excess: f64) -> bool {
    excess >= TOLERATED_S
}
