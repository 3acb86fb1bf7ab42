//! The planning round.

mod electives;
mod hot;
mod merges;

use std::{collections::HashSet, sync::Arc};

use crate::{Balance, Input, Plan, PlannerState, fleet::Fleet, held};

/// Most elective moves in one round. Moves off a leaving or lost target are not elective and not
/// limited, because the target serves nothing in the meantime.
pub const MAX_OPTIONAL_MOVES: usize = 64;

/// Plans one round for one service.
///
/// Slices of owners that are leaving, lost or unknown move at once. All other moves must earn
/// more than they cost, and a slice that moved rests before it moves again. The plan depends on
/// the arguments only.
#[must_use]
pub fn plan(input: &Input, balance: &Balance) -> Plan {
    let held = held::update(input);
    let mut round = Round {
        input,
        fleet: Fleet::new(input, balance, &held),
        changed: HashSet::new(),
        elective: 0,
        taken: vec![0; input.targets.len()],
        plan: Plan {
            state: input.state.clone(),
            ..Plan::default()
        },
    };
    round.plan.state.held = held;
    round.plan.state.expire(input.now_ms);
    round.evacuate();
    if round.fleet.usable() > 0 {
        round.split();
        round.level();
        round.merge();
    }
    round.plan.state.round_ms = Some(input.now_ms);
    round.plan
}

/// A round being planned.
struct Round<'a> {
    input: &'a Input,
    fleet: Fleet<'a>,
    /// Indexes of slices that this round changes.
    changed: HashSet<usize>,
    /// Elective moves so far.
    elective: usize,
    /// Slices that each target takes electively.
    taken: Vec<u32>,
    plan: Plan,
}

impl Round<'_> {
    fn evacuate(&mut self) {
        let mut orphans = Vec::new();
        for slice in 0..self.input.slices.len() {
            if self.fleet.owner(slice).is_none() {
                orphans.push(slice);
            }
        }
        let moves = self.fleet.place(orphans.clone());
        if moves.is_empty() {
            return;
        }
        for it in &moves {
            self.plan.state.moved.insert(it.low, self.input.now_ms);
        }
        self.changed.extend(orphans);
        self.plan.moves = moves;
    }

    /// Moves a slice electively.
    fn elect(&mut self, slice: usize, target: usize) {
        let it = self.fleet.assign(slice, target);
        let state = &mut self.plan.state;
        state.moved.insert(it.low, self.input.now_ms);
        if state.empty.contains_key(&it.to) {
            state.intake.insert(Arc::clone(&it.to), self.input.now_ms);
        }
        self.changed.insert(slice);
        self.elective += 1;
        self.taken[target] += 1;
        self.plan.moves.push(it);
    }

    fn state(&mut self) -> &mut PlannerState {
        &mut self.plan.state
    }
}
