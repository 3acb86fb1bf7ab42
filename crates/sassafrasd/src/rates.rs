//! Loads of one service's slices and hot keys, smoothed over the planner's rounds.

use std::collections::{BTreeMap, HashMap};

use placement::HotKey;

/// Weight of the newest round in the moving average; the average covers about five rounds, which
/// are about ten seconds.
const NEWEST_WEIGHT: f64 = 0.2;

/// Load in requests a second below which the earlier load of a slice or key is dropped.
const MIN_REQUESTS_PER_S: f64 = 0.01;

/// The load of one slice.
#[derive(Clone, Copy, Debug, Default)]
pub struct SliceRate {
    /// Requests a second.
    pub requests_per_s: f64,
    /// Share of the requests that come from another region.
    pub remote: f64,
    /// Average bytes of the bodies for each request.
    pub bytes: u64,
}

/// Moving averages of the loads of earlier rounds.
#[derive(Debug, Default)]
pub struct SmoothedRates {
    /// By lowest hash.
    slices: HashMap<u64, SliceRate>,
    /// Requests a second by hash.
    keys: HashMap<u64, f64>,
    /// Lowest and highest hashes of the slices in the last round.
    bounds: BTreeMap<u64, u64>,
}

impl SmoothedRates {
    /// Smooths the loads of a new round over several rounds. `bounds` has the lowest and highest
    /// hashes of the present slices. A slice without a new measurement keeps a part of its earlier
    /// load, because the new gateway of a slice that has just moved reports it only in the next
    /// round.
    pub fn smooth(
        &mut self,
        bounds: BTreeMap<u64, u64>,
        slices: &mut HashMap<u64, SliceRate>,
        keys: &mut Vec<HotKey>,
    ) {
        let is_first_round = self.bounds.is_empty();
        self.redistribute(bounds);
        for (low, rate) in &self.slices {
            let kept = rate.requests_per_s * (1.0 - NEWEST_WEIGHT);
            if kept < MIN_REQUESTS_PER_S {
                continue;
            }
            let newest = slices.get(low).copied();
            let measured = newest.map_or(0.0, |it| it.requests_per_s * NEWEST_WEIGHT);
            let rate = SliceRate {
                requests_per_s: kept + measured,
                ..newest.unwrap_or(*rate)
            };
            slices.insert(*low, rate);
        }
        self.slices.clone_from(slices);
        self.smooth_keys(keys, is_first_round);
    }

    /// Smooths hot keys in the same way, so that a key and its slice stay comparable. A key that
    /// was not reported in earlier rounds counts with an earlier load of zero.
    fn smooth_keys(&mut self, keys: &mut Vec<HotKey>, is_first_round: bool) {
        let weight = if is_first_round { 1.0 } else { NEWEST_WEIGHT };
        let mut newest: HashMap<u64, f64> = HashMap::new();
        for key in keys.drain(..) {
            // A key that has just moved is reported by two hosts.
            *newest.entry(key.hash).or_default() += key.load * weight;
        }
        for (hash, load) in &self.keys {
            let kept = load * (1.0 - NEWEST_WEIGHT);
            if kept < MIN_REQUESTS_PER_S {
                continue;
            }
            *newest.entry(*hash).or_default() += kept;
        }
        keys.extend(newest.iter().map(|(&hash, &load)| HotKey { hash, load }));
        self.keys = newest;
    }

    /// Distributes the earlier loads over the slices that came from splits and merges.
    fn redistribute(&mut self, bounds: BTreeMap<u64, u64>) {
        let previous_bounds = std::mem::take(&mut self.bounds);
        let previous_rates = std::mem::take(&mut self.slices);
        for (&low, &high) in &bounds {
            if previous_bounds.get(&low) == Some(&high) {
                self.slices
                    .extend(previous_rates.get(&low).map(|it| (low, *it)));
                continue;
            }
            let mut total = SliceRate::default();
            let first = previous_bounds
                .range(..=low)
                .next_back()
                .map_or(low, |it| *it.0);
            for (&from, &to) in previous_bounds.range(first..=high) {
                let Some(rate) = previous_rates.get(&from) else {
                    continue;
                };
                if to >= low {
                    let part = (low.max(from), high.min(to));
                    total.add(self.part(*rate, (from, to), part));
                }
            }
            if total.requests_per_s > 0.0 {
                self.slices.insert(low, total);
            }
        }
        self.bounds = bounds;
    }

    /// The load of a part of a slice: the load of the hot keys in the part, and a share of the rest
    /// in proportion to its width.
    fn part(&self, rate: SliceRate, whole: (u64, u64), part: (u64, u64)) -> SliceRate {
        let (mut inside, mut all) = (0.0, 0.0);
        for (hash, load) in &self.keys {
            if (whole.0..=whole.1).contains(hash) {
                all += load;
            }
            if (part.0..=part.1).contains(hash) {
                inside += load;
            }
        }
        // Counters of hot keys may exceed the load of their slice, because the coldest of them
        // start at the count of the key that they replace.
        let scale = (rate.requests_per_s / all).min(1.0);
        let (inside, rest) = if all > 0.0 {
            (inside * scale, rate.requests_per_s - all * scale)
        } else {
            (0.0, rate.requests_per_s)
        };
        let requests_per_s = inside + rest * width(part) / width(whole);
        SliceRate {
            requests_per_s,
            ..rate
        }
    }
}

impl SliceRate {
    /// Adds the load of another slice.
    fn add(&mut self, other: Self) {
        let sum = self.requests_per_s + other.requests_per_s;
        if sum <= 0.0 {
            return;
        }
        let share = other.requests_per_s / sum;
        self.remote += (other.remote - self.remote) * share;
        // The average bytes of the slice with more load are used for both.
        if share >= 0.5 {
            self.bytes = other.bytes;
        }
        self.requests_per_s = sum;
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "the 53 bits of a float are precise enough for shares of load"
)]
fn width((low, high): (u64, u64)) -> f64 {
    (high - low) as f64 + 1.0
}

#[cfg(test)]
mod tests;
