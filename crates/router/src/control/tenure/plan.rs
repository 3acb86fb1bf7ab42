//! Which target is to own which keys.

use std::sync::Arc;

use coordinator::{
    Bounds, Demand, Incarnation, Millis, SliceManager,
    balance::{Candidate, OwnedRange, assign_ranges, rebalance},
};
use routing::Ownership;

use super::{BALANCE_MS, Charge, Tenure};
use crate::{peers::TargetLoad, state::TargetState};

/// Keys that nobody ever held are given out when no target has appeared for this long, because all
/// targets of a new deployment appear at about the same time. It is longer than the interval at
/// which targets report.
const GATHER_MS: u64 = 2_000;

/// How long grants last.
const HOLD_MS: u64 = 3_000;

/// Time after which a grant is renewed.
const RENEW_GRANT_MS: u64 = 1_000;

/// Time after which an order without an answer is repeated.
const RETRY_MS: u64 = 300;

/// How much slower than this host's clock a target's clock may run.
const DRIFT_PERCENT: u64 = 2;

/// Time without an answer to any grant after which a target counts as lost.
const SILENT_MS: u64 = 900;

/// Part of the orders without an answer from which keys move only if they must.
const LOST_PART: f64 = 0.15;

/// How long targets that are gone from the list may still run and are told to release keys.
const LEAVING_MS: u64 = 20_000;

/// Part of its speed that a target has while it is cold.
const COLD_SPEED: f64 = 0.5;

/// The targets of one service.
struct Crew {
    lives: Vec<Incarnation>,
    usable: Vec<Candidate>,
}

impl Tenure {
    /// Gives keys without a usable owner to targets, and relieves busy targets.
    pub(super) fn plan(&mut self, now: Millis) {
        let Some(catalog) = self.node.catalog.load_full() else {
            return;
        };
        self.node.forget_targets(now.saturating_sub(LEAVING_MS));
        let balance = now >= self.balance_at;
        if balance {
            self.balance_at = now + BALANCE_MS;
            self.count_own(now);
        }
        for service in catalog.services() {
            if service.ownership == Ownership::Shared {
                continue;
            }
            self.plan_service(&service.name, balance, now);
        }
    }

    /// Counts what gates saw.
    pub(super) fn count(&mut self, loads: &[TargetLoad], now: Millis) {
        for load in loads {
            let service = {
                let targets = self.node.targets();
                targets.get(&load.target).map(|it| Arc::clone(&it.service))
            };
            let Some(service) = service else { continue };
            let Some(charge) = self.charges.get_mut(&service) else {
                continue;
            };
            for key in &load.refused {
                charge.keeper.on_request_refused(*key, &load.target, now);
            }
            for it in &load.keys {
                charge.demand.on_arrivals(now, it.key, it.count);
            }
            for it in &load.costs {
                let (target, route) = (&load.target, &it.route);
                charge
                    .demand
                    .on_answers(now, target, route, it.count, it.busy_ms);
            }
        }
    }

    fn plan_service(&mut self, service: &Arc<str>, balance: bool, now: Millis) {
        if !self.charges.contains_key(service) {
            let charge = self.charge(service, now);
            self.charges.insert(Arc::clone(service), charge);
        }
        let charge = self.charges.get_mut(service).expect("it was inserted");
        let crew = {
            let targets = self.node.targets();
            let mut crew = Crew {
                lives: Vec::new(),
                usable: Vec::new(),
            };
            for (name, entry) in targets.all() {
                if entry.service != *service {
                    continue;
                }
                let life = entry.life(name);
                crew.lives.push(life.clone());
                let registered = targets.get(name).is_some();
                let silent = charge.keeper.unresponsive_since(name);
                let answers = silent.is_none_or(|it| now < it + SILENT_MS);
                if registered && entry.state == TargetState::Ready && answers {
                    let cold = if entry.cold_ms > 0 { COLD_SPEED } else { 1.0 };
                    let capacity = f64::from(entry.slots) * charge.demand.speed(name) * cold;
                    crew.usable.push(Candidate {
                        incarnation: life,
                        capacity,
                    });
                }
            }
            crew
        };
        charge.plan(crew, balance, now);
    }

    fn charge(&self, service: &Arc<str>, now: Millis) -> Charge {
        let own = self.rows.iter().filter(|it| it.service == *service);
        let bounds = bounds(self.node.settings.bounds.hold);
        let term = self.lease.row.term;
        let rows = own.cloned().collect();
        Charge {
            keeper: SliceManager::new(Arc::clone(service), term, bounds, rows, now),
            demand: Demand::new(),
            gathered: (0, now),
        }
    }
}

impl Charge {
    fn plan(&mut self, crew: Crew, balance: bool, now: Millis) {
        if crew.usable.len() > self.gathered.0 {
            self.gathered = (crew.usable.len(), now);
        }
        self.keeper.set_incarnations(crew.lives, now);
        if crew.usable.is_empty() {
            return;
        }
        let keeper = &mut self.keeper;
        let is_usable = |life: &Incarnation| crew.usable.iter().any(|it| it.incarnation == *life);
        let mut homeless = keeper.unassigned();
        let empty = keeper.slices().next().is_none();
        if empty && now < self.gathered.1 + GATHER_MS {
            return;
        }
        homeless.extend(keeper.orphans(is_usable).iter().map(|it| it.range));
        let mut moves = Vec::new();
        let forced = !homeless.is_empty();
        if forced {
            let loads = self.demand.loads(now);
            let kept = keeper.slices().filter(|it| is_usable(&it.owner));
            let pieces = kept.map(|it| OwnedRange::from(&it)).collect();
            moves = assign_ranges(&homeless, pieces, &crew.usable, &loads);
        } else if balance && keeper.lost_ratio(now) < LOST_PART {
            self.demand.update_estimates(now);
            let loads = self.demand.loads(now);
            let mut pieces = Vec::new();
            for slice in keeper.slices() {
                pieces.push(OwnedRange {
                    movable: keeper.is_settled(slice.range.first),
                    ..OwnedRange::from(&slice)
                });
            }
            moves = rebalance(pieces, &crew.usable, &loads);
        }
        for it in moves {
            log::info!(keys:% = it.range, to = &*it.to.target, forced; "keys move");
            keeper.assign(it.range, &it.to, now);
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the settings bound the hold to 3600 s"
)]
fn bounds(max_hold: f64) -> Bounds {
    let max_hold_ms = (max_hold * 1_000.0) as u64;
    Bounds {
        hold_ms: HOLD_MS.min(max_hold_ms),
        max_hold_ms,
        renew_ms: RENEW_GRANT_MS.min(max_hold_ms / 3),
        retry_ms: RETRY_MS,
        drift_percent: DRIFT_PERCENT,
    }
}
