//! Plans which target owns which keys.

use std::{collections::HashSet, sync::Arc};

use coordinator::{
    Demand, GrantTiming, Incarnation, Millis, SliceManager,
    balance::{Candidate, OwnedRange, assign_ranges, rebalance},
};
use routing::{Ownership, Regions};

use super::{BALANCE_INTERVAL_MS, KeyedService, Tenure};
use crate::{
    peers::TargetLoad,
    ports::GRANT_TIMEOUT,
    state::{TargetState, Targets},
};

/// The first assignment of keys waits until no new target has appeared for this long, because all
/// targets of a new deployment appear at about the same time. It exceeds the interval at which
/// targets report.
const FIRST_ASSIGNMENT_WAIT_MS: u64 = 2_000;

/// Duration of a grant.
const GRANT_HOLD_MS: u64 = 3_000;

/// Time after which a grant is renewed.
const RENEW_GRANT_MS: u64 = 1_000;

/// Delay before an order that failed or got no answer is repeated.
const ORDER_RETRY_MS: u64 = 300;

/// Longest time for which a target may leave an order unread after this host gave it up. An
/// overloaded target accepts connections seconds after they were opened.
const ORDER_UNREAD_MS: u64 = 7_000;

/// How much slower than this host's clock a target's clock may run.
const DRIFT_PERCENT: u64 = 2;

/// Time without an answer to any grant after which a target counts as lost.
const TARGET_SILENT_MS: u64 = 900;

/// Fraction of unanswered orders from which slices are no longer moved for balance.
const MAX_LOST_RATIO: f64 = 0.15;

/// How long targets that are gone from the list may still run and are sent release orders.
const DEPARTED_KEEP_MS: u64 = 20_000;

/// Fraction of its normal speed that a target is assumed to have while it is cold.
const COLD_SPEED: f64 = 0.5;

/// Whether the list of targets can be planned with.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Registry {
    /// Targets that are missing from it are gone.
    Complete,
    /// Owners are missing from it that may register again: it was read soon after an outage of the
    /// store, or by a process that does not know whether there was one.
    Incomplete,
}

/// The targets of one service.
struct ServiceTargets {
    incarnations: Vec<Incarnation>,
    usable: Vec<Candidate>,
    registry: Registry,
}

impl Tenure {
    /// Assigns keys without a usable owner; if all keys have one, balances the load of targets.
    pub(super) fn plan(&mut self, now: Millis) {
        let Some(catalog) = self.node.catalog.load_full() else {
            return;
        };
        self.node
            .forget_targets(now.saturating_sub(DEPARTED_KEEP_MS));
        let balance = now >= self.balance_at;
        if balance {
            self.balance_at = now + BALANCE_INTERVAL_MS;
            self.record_own_loads(now);
        }
        for service in catalog.services() {
            if service.ownership == Ownership::Shared {
                continue;
            }
            let regions = catalog.key_regions(&service.name);
            self.plan_service(&service.name, &regions, balance, now);
        }
    }

    /// Records the loads that admission queues reported.
    pub(super) fn record_loads(&mut self, loads: &[TargetLoad], now: Millis) {
        for load in loads {
            let service = {
                let targets = self.node.targets();
                targets.get(&load.target).map(|it| Arc::clone(&it.service))
            };
            let Some(service) = service else { continue };
            let Some(keyed) = self.services.get_mut(&service) else {
                continue;
            };
            for key in &load.refused {
                keyed.manager.on_request_refused(*key, &load.target, now);
            }
            for it in &load.keys {
                keyed.demand.on_arrivals(now, it.key, it.count);
            }
            for it in &load.costs {
                let (target, route) = (&load.target, &it.route);
                keyed
                    .demand
                    .on_answers(now, target, route, it.count, it.busy_ms);
            }
        }
    }

    fn plan_service(&mut self, service: &Arc<str>, regions: &Regions, balance: bool, now: Millis) {
        if !self.services.contains_key(service) {
            let keyed = self.new_service(service, now);
            self.services.insert(Arc::clone(service), keyed);
        }
        let complete_at = self.node.targets_complete_at();
        let keyed = self
            .services
            .get_mut(service)
            .expect("service was inserted above");
        let members = {
            let targets = self.node.targets();
            let mut elsewhere = Vec::new();
            let mut members = ServiceTargets {
                incarnations: Vec::new(),
                usable: Vec::new(),
                registry: Registry::Complete,
            };
            if now < complete_at && keyed.lacks_owners(&targets) {
                members.registry = Registry::Incomplete;
            }
            for (name, entry) in targets.all() {
                if entry.service != *service {
                    continue;
                }
                let incarnation = entry.incarnation(name);
                members.incarnations.push(incarnation.clone());
                let registered = targets.get(name).is_some();
                let unresponsive_since = keyed.manager.unresponsive_since(name);
                let answers = unresponsive_since.is_none_or(|it| now < it + TARGET_SILENT_MS);
                let in_use = !self.node.evacuations().is_active(&entry.place);
                if registered && in_use && entry.state == TargetState::Ready && answers {
                    let speed_factor = if entry.cold_ms > 0 { COLD_SPEED } else { 1.0 };
                    let capacity = f64::from(entry.slots) * keyed.demand.speed(name) * speed_factor;
                    let region = self.node.settings.region(&entry.place);
                    let allowed = regions.is_empty() || regions.contains(region);
                    let usable = if allowed {
                        &mut members.usable
                    } else {
                        &mut elsewhere
                    };
                    usable.push(Candidate {
                        incarnation,
                        capacity,
                    });
                }
            }
            // Without a target in the regions that all routes allow, the unrestricted ones go on.
            if members.usable.is_empty() {
                members.usable = elsewhere;
            }
            members
        };
        keyed.plan(members, balance, now);
    }

    fn new_service(&self, service: &Arc<str>, now: Millis) -> KeyedService {
        let service_rows = self.rows.iter().filter(|it| it.service == *service);
        let timing = grant_timing(self.node.settings.bounds.max_hold);
        let term = self.lease.row.term;
        let rows: Vec<_> = service_rows.cloned().collect();
        let name = Arc::clone(service);
        let manager = match &self.lost_rows {
            None => SliceManager::new(name, term, timing, rows, now),
            Some(lost) => {
                let memory = lost.memory(&self.node, service);
                SliceManager::recover(name, term, timing, &rows, memory, now)
            }
        };
        KeyedService {
            manager,
            demand: Demand::new(),
            target_peak: (0, now),
        }
    }
}

impl KeyedService {
    /// Whether keys have no owner yet, or one that is not in the list of targets.
    fn lacks_owners(&self, targets: &Targets) -> bool {
        let mut slices = self.manager.slices();
        !self.manager.unassigned().is_empty()
            || slices.any(|it| !targets.contains(&it.owner.target))
    }

    fn plan(&mut self, members: ServiceTargets, balance: bool, now: Millis) {
        if members.usable.len() > self.target_peak.0 {
            self.target_peak = (members.usable.len(), now);
        }
        self.manager.set_incarnations(members.incarnations, now);
        if members.registry == Registry::Incomplete || members.usable.is_empty() {
            return;
        }
        let manager = &mut self.manager;
        let usable: HashSet<&Incarnation> =
            members.usable.iter().map(|it| &it.incarnation).collect();
        let is_usable = |it: &Incarnation| usable.contains(it);
        let mut unowned = manager.unassigned();
        let empty = manager.slices().next().is_none();
        if empty && now < self.target_peak.1 + FIRST_ASSIGNMENT_WAIT_MS {
            return;
        }
        unowned.extend(manager.orphans(is_usable).iter().map(|it| it.range));
        let mut moves = Vec::new();
        let forced = !unowned.is_empty();
        if forced {
            let loads = self.demand.loads(now);
            let kept = manager.slices().filter(|it| is_usable(&it.owner));
            let slices = kept.map(|it| OwnedRange::from(&it)).collect();
            moves = assign_ranges(&unowned, slices, &members.usable, &loads);
        } else if balance && manager.lost_ratio(now) < MAX_LOST_RATIO {
            self.demand.update_estimates(now);
            let loads = self.demand.loads(now);
            let mut slices = Vec::new();
            for slice in manager.slices() {
                slices.push(OwnedRange {
                    movable: manager.is_settled(slice.range.first),
                    ..OwnedRange::from(&slice)
                });
            }
            moves = rebalance(slices, &members.usable, &loads);
        }
        for it in moves {
            log::info!(keys:% = it.range, to = &*it.to.target, forced; "keys move");
            manager.assign(it.range, &it.to, now);
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the settings bound the hold to 3600 s"
)]
fn grant_timing(max_hold: f64) -> GrantTiming {
    let max_hold_ms = (max_hold * 1_000.0) as u64;
    GrantTiming {
        hold_ms: GRANT_HOLD_MS.min(max_hold_ms),
        max_hold_ms,
        renew_ms: RENEW_GRANT_MS.min(max_hold_ms / 3),
        retry_ms: ORDER_RETRY_MS,
        timeout_ms: u64::try_from(GRANT_TIMEOUT.as_millis()).unwrap_or(u64::MAX),
        unread_ms: ORDER_UNREAD_MS,
        drift_percent: DRIFT_PERCENT,
    }
}
