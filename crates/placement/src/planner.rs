//! The planning round.

mod merges;
mod optional_moves;
mod splits;

use std::{collections::HashSet, sync::Arc};

use crate::{Balance, Input, Plan, PlannerState, fleet::Fleet, tracked_keys};

/// Maximum number of optional moves in one round. Moves off a leaving or lost target are not
/// optional and not limited, because the target serves nothing in the meantime.
pub const MAX_OPTIONAL_MOVES: usize = 64;

/// Plans one round for one service.
///
/// Slices of owners that are leaving, lost or unknown move at once. All other moves are optional:
/// they are made only if their benefit exceeds their cost, and not again for a slice within a
/// minimum interval. The plan depends on the arguments only.
#[must_use]
pub fn plan(input: &Input, balance: &Balance) -> Plan {
    let tracked = tracked_keys::update(input);
    let mut round = Round {
        input,
        fleet: Fleet::new(input, balance, &tracked),
        changed: HashSet::new(),
        optional_moves: 0,
        accepted: vec![0; input.targets.len()],
        plan: Plan {
            state: input.state.clone(),
            ..Plan::default()
        },
    };
    round.plan.state.tracked = tracked;
    round.plan.state.expire(input.now_ms);
    round.evacuate();
    if round.fleet.usable_count() > 0 {
        round.split();
        round.rebalance();
        round.merge();
    }
    round.plan.state.last_round_ms = Some(input.now_ms);
    round.plan
}

/// A round being planned.
struct Round<'a> {
    input: &'a Input,
    fleet: Fleet<'a>,
    /// Indexes of slices that this round changes.
    changed: HashSet<usize>,
    /// Number of optional moves so far.
    optional_moves: usize,
    /// Number of slices that each target receives by optional moves.
    accepted: Vec<u32>,
    plan: Plan,
}

impl Round<'_> {
    /// Moves all slices whose owner is leaving, lost or unknown.
    fn evacuate(&mut self) {
        let mut orphans = Vec::new();
        for slice in 0..self.input.slices.len() {
            if self.fleet.usable_owner(slice).is_none() {
                orphans.push(slice);
            }
        }
        let moves = self.fleet.place(orphans.clone());
        if moves.is_empty() {
            return;
        }
        for it in &moves {
            self.plan.state.moved_at.insert(it.low, self.input.now_ms);
        }
        self.changed.extend(orphans);
        self.plan.moves = moves;
    }

    /// Adds an optional move of the slice to the plan.
    fn move_slice(&mut self, slice: usize, target: usize) {
        let it = self.fleet.assign(slice, target);
        let state = &mut self.plan.state;
        state.moved_at.insert(it.low, self.input.now_ms);
        if state.empty_excess.contains_key(&it.to) {
            state
                .last_intake
                .insert(Arc::clone(&it.to), self.input.now_ms);
        }
        self.changed.insert(slice);
        self.optional_moves += 1;
        self.accepted[target] += 1;
        self.plan.moves.push(it);
    }

    fn state(&mut self) -> &mut PlannerState {
        &mut self.plan.state
    }
}
