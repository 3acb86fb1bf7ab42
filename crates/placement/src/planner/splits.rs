//! Splits: a hot key gets a slice of its own, and a heavy slice is split in half.

use smallvec::{SmallVec, smallvec};

use super::Round;
use crate::{
    Split, planner::optional_moves::RELIEVED_THRESHOLD, state::update_start_times,
    tracked_keys::HOT_SHARE,
};

/// Time for which a key must be hot before it gets its own slice; shorter peaks are ignored.
const MIN_HOT_MS: u64 = 1_000;
/// Load of a slice without its hot keys, relative to the mean load of a target, above which it is
/// split in half, because moving it whole is too coarse to balance loads.
const HEAVY_SHARE: f64 = 0.2;

impl Round<'_> {
    /// Splits slices of targets whose utilisation exceeds [`RELIEVED_THRESHOLD`].
    pub(super) fn split(&mut self) {
        let (input, now_ms) = (self.input, self.input.now_ms);
        let mean = self.fleet.mean_load();
        let mut hot: Vec<_> = input
            .hot
            .iter()
            .filter(|it| it.load >= HOT_SHARE * mean)
            .collect();
        hot.sort_by_key(|it| it.hash);
        hot.dedup_by_key(|it| it.hash);
        let present = hot.iter().map(|it| it.hash);
        update_start_times(&mut self.state().hot_since, present, now_ms);

        let mut rest = hot.as_slice();
        for (index, slice) in input.slices.iter().enumerate() {
            let count = rest.partition_point(|it| it.hash <= slice.high);
            let (inside, after) = rest.split_at(count);
            rest = after;
            let heavy_load = HEAVY_SHARE * mean;
            if slice.low == slice.high || (inside.is_empty() && slice.load <= heavy_load) {
                continue;
            }
            let Some(owner) = self.fleet.usable_owner(index) else {
                continue;
            };
            if self.changed.contains(&index)
                || self.fleet.relative_utilisation(owner) <= RELIEVED_THRESHOLD
            {
                continue;
            }

            let mut at: SmallVec<[u64; 2]> = SmallVec::new();
            for key in inside {
                let hot_since_ms = self.plan.state.hot_since[&key.hash];
                if now_ms.saturating_sub(hot_since_ms) >= MIN_HOT_MS {
                    at.push(key.hash);
                    at.extend(key.hash.checked_add(1));
                }
            }
            at.dedup();
            at.retain(|it| *it > slice.low && *it <= slice.high);
            let hot_load: f64 = inside.iter().map(|it| it.load).sum();
            if at.is_empty() && slice.load - hot_load > heavy_load {
                at = smallvec![slice.low + (slice.high - slice.low) / 2 + 1];
            }
            if !at.is_empty() {
                self.changed.insert(index);
                self.plan.splits.push(Split { low: slice.low, at });
            }
        }
    }
}
