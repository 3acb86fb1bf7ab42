//! Demand estimates: arrival rates by key, costs of requests and speeds of targets.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use crate::{Key, KeyRange, Millis};

/// Time constant of the fast moving average of arrivals, which follows sudden changes.
const FAST_TAU_MS: f64 = 1_000.0;

/// Time constant of the slow moving average of arrivals, which applies while the rate is steady.
const SLOW_TAU_MS: f64 = 8_000.0;

/// Time constant of the sums from which costs and the speeds of targets are estimated.
const SPEED_TAU_MS: f64 = 6_000.0;

/// Difference between the two averages that counts as a change of the rate, in standard deviations.
const MAX_DEVIATIONS: f64 = 2.0;

/// Weight of the assumption that a target has speed 1, in answered requests.
const PRIOR_REQUESTS: f64 = 4.0;

/// Arrival rate below which a key is no longer tracked, in requests a second.
const MIN_REQUESTS_PER_S: f64 = 0.01;

/// An exponentially decaying rate of events, in events a second.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingRate {
    value: f64,
    updated_at: Millis,
}

impl DecayingRate {
    fn add(&mut self, now: Millis, count: f64, tau_ms: f64) {
        self.value = self.value_at(now, tau_ms) + count * 1_000.0 / tau_ms;
        self.updated_at = now;
    }

    fn value_at(&self, now: Millis, tau_ms: f64) -> f64 {
        self.value * decay(now.saturating_sub(self.updated_at), tau_ms)
    }
}

/// Moving averages of the arrivals for one key.
#[derive(Clone, Copy, Debug, Default)]
struct Arrivals {
    fast: DecayingRate,
    slow: DecayingRate,
}

/// Exponentially decaying sums over the answered requests of one route at one target.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingSums {
    count: f64,
    busy_ms: f64,
    updated_at: Millis,
}

impl DecayingSums {
    fn add(&mut self, now: Millis, count: f64, busy_ms: f64) {
        let remaining = decay(now.saturating_sub(self.updated_at), SPEED_TAU_MS);
        self.count = self.count * remaining + count;
        self.busy_ms = self.busy_ms * remaining + busy_ms;
        self.updated_at = now;
    }
}

/// Demand estimates for one service.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// Time of the first arrival; the slow average underestimates rates for a while after it.
    first_arrival: Option<Millis>,
    keys: BTreeMap<Key, Arrivals>,
    /// Answered requests by target and route.
    answers: HashMap<Arc<str>, HashMap<Arc<str>, DecayingSums>>,
    /// Cost in milliseconds of a request of each route at a target of speed 1.
    costs: HashMap<Arc<str>, f64>,
    /// Speeds by target; 1 is the usual one.
    speeds: HashMap<Arc<str>, f64>,
}

impl Demand {
    /// Creates estimates without any observations.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records `count` arrivals for a key.
    pub fn on_arrivals(&mut self, now: Millis, key: Key, count: u32) {
        self.first_arrival.get_or_insert(now);
        let arrivals = self.keys.entry(key).or_default();
        arrivals.fast.add(now, f64::from(count), FAST_TAU_MS);
        arrivals.slow.add(now, f64::from(count), SLOW_TAU_MS);
    }

    /// Records `count` answered requests of a route at a target, which occupied slots for a total
    /// of `busy_ms` milliseconds.
    pub fn on_answers(
        &mut self,
        now: Millis,
        target: &Arc<str>,
        route: &Arc<str>,
        count: u32,
        busy_ms: u32,
    ) {
        let routes = self.answers.entry(Arc::clone(target)).or_default();
        let sums = routes.entry(Arc::clone(route)).or_default();
        sums.add(now, f64::from(count), f64::from(busy_ms));
    }

    /// Updates the estimates of costs and speeds, and drops keys with a negligible arrival rate.
    pub fn update_estimates(&mut self, now: Millis) {
        let mut by_route: HashMap<Arc<str>, (f64, f64)> = HashMap::new();
        for (target, routes) in &self.answers {
            let speed = self.speeds.get(target).copied().unwrap_or(1.0);
            for (route, sums) in routes {
                let total = by_route.entry(Arc::clone(route)).or_default();
                total.0 += sums.count;
                total.1 += sums.busy_ms * speed;
            }
        }
        for (route, (count, busy_ms)) in by_route {
            if count > 0.0 {
                self.costs.insert(route, busy_ms / count);
            }
        }
        for (target, routes) in &self.answers {
            let mut expected_ms = 0.0;
            let mut busy_ms = 0.0;
            let mut count = 0.0;
            for (route, sums) in routes {
                expected_ms += sums.count * self.costs.get(route).copied().unwrap_or(0.0);
                busy_ms += sums.busy_ms;
                count += sums.count;
            }
            if count <= 0.0 {
                continue;
            }
            let prior_ms = expected_ms / count * PRIOR_REQUESTS;
            let speed = (expected_ms + prior_ms) / (busy_ms + prior_ms).max(1.0);
            self.speeds.insert(Arc::clone(target), speed);
        }
        self.keys
            .retain(|_, it| it.slow.value_at(now, SLOW_TAU_MS) >= MIN_REQUESTS_PER_S);
    }

    /// Drops the observations and the estimated speed of a target.
    pub fn forget(&mut self, target: &str) {
        self.answers.remove(target);
        self.speeds.remove(target);
    }

    /// Returns the estimated speed of a target; 1 is the usual one.
    #[must_use]
    pub fn speed(&self, target: &str) -> f64 {
        self.speeds.get(target).copied().unwrap_or(1.0)
    }

    /// Returns the loads of the keys with requests, in slots of a target of speed 1, in key order.
    #[must_use]
    pub fn loads(&self, now: Millis) -> Vec<KeyLoad> {
        let cost_s = self.mean_cost_ms() / 1_000.0;
        let age = now.saturating_sub(self.first_arrival.unwrap_or(now));
        let warm_up = (1.0 - decay(age, SLOW_TAU_MS)).max(0.02);
        let mut loads = Vec::with_capacity(self.keys.len());
        for (key, arrivals) in &self.keys {
            let fast = arrivals.fast.value_at(now, FAST_TAU_MS);
            let slow = arrivals.slow.value_at(now, SLOW_TAU_MS) / warm_up;
            let sigma = ((fast + 0.5) * 1_000.0 / (2.0 * FAST_TAU_MS)).sqrt();
            let rate = slow.clamp(
                (fast - MAX_DEVIATIONS * sigma).max(0.0),
                fast + MAX_DEVIATIONS * sigma,
            );
            loads.push(KeyLoad {
                key: *key,
                load: rate * cost_s,
            });
        }
        loads
    }

    fn mean_cost_ms(&self) -> f64 {
        let mut count = 0.0;
        let mut cost = 0.0;
        for routes in self.answers.values() {
            for (route, sums) in routes {
                count += sums.count;
                cost += sums.count * self.costs.get(route).copied().unwrap_or(0.0);
            }
        }
        if count > 0.0 { cost / count } else { 0.0 }
    }
}

/// The load of one key, in slots of a target of speed 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeyLoad {
    /// The key.
    pub key: Key,
    /// The load.
    pub load: f64,
}

/// Returns the part of `loads` whose keys are in `range`; `loads` must be in key order.
#[must_use]
pub fn loads_in_range(loads: &[KeyLoad], range: KeyRange) -> &[KeyLoad] {
    let from = loads.partition_point(|it| it.key < range.first);
    let to = loads.partition_point(|it| it.key <= range.last);
    &loads[from..to]
}

fn decay(age_ms: u64, tau_ms: f64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "ages are far below 2^52 ms")]
    let age = age_ms as f64;
    (-age / tau_ms).exp()
}
