//! What requests ask of targets: arrivals by key, what a request costs, how fast targets are.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use crate::{Key, KeyRange, Millis};

/// Time constant of the estimate that follows sudden changes.
const FAST_MS: f64 = 1_000.0;

/// Time constant of the estimate that holds while nothing changes.
const SLOW_MS: f64 = 8_000.0;

/// Time constant of the speeds of targets.
const SPEED_MS: f64 = 6_000.0;

/// Standard deviations between the two estimates that count as a change.
const DEVIATIONS: f64 = 2.0;

/// Answered requests with which an unknown target's assumed speed weighs.
const PRIOR_REQUESTS: f64 = 4.0;

/// Rate below which a key is forgotten, in requests a second.
const FORGOTTEN: f64 = 0.01;

/// A counter whose value is the rate of events in the recent past, in events a second.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    value: f64,
    at: Millis,
}

impl Rate {
    fn add(&mut self, now: Millis, count: f64, tau_ms: f64) {
        self.value = self.at(now, tau_ms) + count * 1_000.0 / tau_ms;
        self.at = now;
    }

    fn at(&self, now: Millis, tau_ms: f64) -> f64 {
        self.value * decay(now.saturating_sub(self.at), tau_ms)
    }
}

/// Arrivals for one key.
#[derive(Clone, Copy, Debug, Default)]
struct Arrivals {
    fast: Rate,
    slow: Rate,
}

/// Sums that fade.
#[derive(Clone, Copy, Debug, Default)]
struct Fading {
    count: f64,
    busy_ms: f64,
    at: Millis,
}

impl Fading {
    fn add(&mut self, now: Millis, count: f64, busy_ms: f64) {
        let kept = decay(now.saturating_sub(self.at), SPEED_MS);
        self.count = self.count * kept + count;
        self.busy_ms = self.busy_ms * kept + busy_ms;
        self.at = now;
    }
}

/// The demand for one service.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    since: Option<Millis>,
    keys: BTreeMap<Key, Arrivals>,
    /// By target and route.
    seen: HashMap<Arc<str>, HashMap<Arc<str>, Fading>>,
    /// Cost in milliseconds of a request of each route at a target of speed 1.
    costs: HashMap<Arc<str>, f64>,
    speeds: HashMap<Arc<str>, f64>,
}

impl Demand {
    /// Creates an empty demand.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts arrivals for a key.
    pub fn on_arrivals(&mut self, now: Millis, key: Key, count: u32) {
        self.since.get_or_insert(now);
        let arrivals = self.keys.entry(key).or_default();
        arrivals.fast.add(now, f64::from(count), FAST_MS);
        arrivals.slow.add(now, f64::from(count), SLOW_MS);
    }

    /// Counts answered requests of a route at a target, and how long they occupied slots.
    pub fn on_answers(
        &mut self,
        now: Millis,
        target: &Arc<str>,
        route: &Arc<str>,
        count: u32,
        busy_ms: u32,
    ) {
        let routes = self.seen.entry(Arc::clone(target)).or_default();
        let seen = routes.entry(Arc::clone(route)).or_default();
        seen.add(now, f64::from(count), f64::from(busy_ms));
    }

    /// Estimates costs and speeds anew, and forgets keys that nobody asks for.
    pub fn update_estimates(&mut self, now: Millis) {
        let mut sums: HashMap<Arc<str>, (f64, f64)> = HashMap::new();
        for (target, routes) in &self.seen {
            let speed = self.speeds.get(target).copied().unwrap_or(1.0);
            for (route, seen) in routes {
                let sum = sums.entry(Arc::clone(route)).or_default();
                sum.0 += seen.count;
                sum.1 += seen.busy_ms * speed;
            }
        }
        for (route, (count, busy_ms)) in sums {
            if count > 0.0 {
                self.costs.insert(route, busy_ms / count);
            }
        }
        for (target, routes) in &self.seen {
            let mut expected = 0.0;
            let mut busy = 0.0;
            let mut count = 0.0;
            for (route, seen) in routes {
                expected += seen.count * self.costs.get(route).copied().unwrap_or(0.0);
                busy += seen.busy_ms;
                count += seen.count;
            }
            if count <= 0.0 {
                continue;
            }
            let prior = expected / count * PRIOR_REQUESTS;
            let speed = (expected + prior) / (busy + prior).max(1.0);
            self.speeds.insert(Arc::clone(target), speed);
        }
        self.keys
            .retain(|_, it| it.slow.at(now, SLOW_MS) >= FORGOTTEN);
    }

    /// Forgets a target.
    pub fn forget(&mut self, target: &str) {
        self.seen.remove(target);
        self.speeds.remove(target);
    }

    /// The speed of a target; 1 is the usual one.
    #[must_use]
    pub fn speed(&self, target: &str) -> f64 {
        self.speeds.get(target).copied().unwrap_or(1.0)
    }

    /// Loads of the keys that are asked for, in slots of a target of speed 1, in key order.
    #[must_use]
    pub fn loads(&self, now: Millis) -> Vec<KeyLoad> {
        let cost_s = self.mean_cost_ms() / 1_000.0;
        let age = now.saturating_sub(self.since.unwrap_or(now));
        let warm = (1.0 - decay(age, SLOW_MS)).max(0.02);
        let mut loads = Vec::with_capacity(self.keys.len());
        for (key, arrivals) in &self.keys {
            let fast = arrivals.fast.at(now, FAST_MS);
            let slow = arrivals.slow.at(now, SLOW_MS) / warm;
            let sigma = ((fast + 0.5) * 1_000.0 / (2.0 * FAST_MS)).sqrt();
            let rate = slow.clamp(
                (fast - DEVIATIONS * sigma).max(0.0),
                fast + DEVIATIONS * sigma,
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
        for routes in self.seen.values() {
            for (route, seen) in routes {
                count += seen.count;
                cost += seen.count * self.costs.get(route).copied().unwrap_or(0.0);
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

/// The loads of the keys in `range`, out of loads in key order.
#[must_use]
pub fn within(loads: &[KeyLoad], range: KeyRange) -> &[KeyLoad] {
    let from = loads.partition_point(|it| it.key < range.first);
    let to = loads.partition_point(|it| it.key <= range.last);
    &loads[from..to]
}

fn decay(age_ms: u64, tau_ms: f64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "ages are far below 2^52 ms")]
    let age = age_ms as f64;
    (-age / tau_ms).exp()
}
