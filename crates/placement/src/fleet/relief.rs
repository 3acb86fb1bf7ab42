//! Slices that exceed the headroom of any target, and the slices that their new owner gives up.

use super::{Fleet, HORIZON_S};

/// Load relative to the mean load of a target from which a slice is very hot: the headroom between
/// the mean and the required peak of 1.15.
const VERY_HOT_SHARE: f64 = 0.15;
/// Utilisation relative to the mean down to which the owner of a very hot slice is relieved.
/// Higher than for other targets, because after a loss every slice that it gives up is churn in
/// addition to the slices of the lost target. At 1.11, measurement errors make it give up more.
pub(crate) const HOT_RELIEVED_THRESHOLD: f64 = 1.1;

impl Fleet<'_> {
    /// Whether the load of a slice exceeds the headroom of a target at the mean.
    pub(super) fn is_very_hot(&self, slice: usize) -> bool {
        self.weights[slice] >= VERY_HOT_SHARE * self.mean_load()
    }

    /// Caches the very hot slices, so that finding their owners is fast.
    pub(super) fn find_very_hot(&mut self) {
        let limit = VERY_HOT_SHARE * self.mean_load();
        let weights = self.weights.iter().enumerate();
        self.very_hot = weights.filter(|it| *it.1 >= limit).map(|it| it.0).collect();
    }

    /// Whether the target owns a very hot slice.
    pub(crate) fn owns_very_hot(&self, target: usize) -> bool {
        let mut owners = self.very_hot.iter().map(|&it| self.owners[it]);
        owners.any(|it| it == Some(target))
    }

    /// Whether a slice is very hot and no target has enough headroom for it.
    pub(crate) fn exceeds_headroom(&self, slice: usize) -> bool {
        let weight = self.weights[slice];
        let fits = |load: f64, quota: f64| load + weight <= HOT_RELIEVED_THRESHOLD * quota;
        let mut usable = self.target_loads.iter().filter(|it| it.usable);
        self.is_very_hot(slice) && !usable.any(|it| fits(it.load, it.quota))
    }

    /// Returns the slices that each target can give up.
    pub(super) fn find_transferable(&self) -> Vec<Vec<usize>> {
        let mut lists = vec![Vec::new(); self.target_loads.len()];
        for (slice, owner) in self.owners.iter().enumerate() {
            let Some(owner) = *owner else {
                continue;
            };
            let low = self.input.slices[slice].low;
            if !self.is_very_hot(slice) && !self.input.state.has_moved_recently(low) {
                lists[owner].push(slice);
            }
        }
        lists
    }

    /// Load of a target above the relative utilisation `limit`; negative if it is below.
    pub(crate) fn excess(&self, target: usize, limit: f64) -> f64 {
        let entry = &self.target_loads[target];
        entry.load - limit * entry.quota
    }

    /// The part of `excess` that moving the slice to `target` removes, divided by the move's cost.
    pub(crate) fn relief_per_cost(&self, slice: usize, target: usize, excess: f64) -> f64 {
        let cost = self.move_cost(slice, target).max(f64::MIN_POSITIVE);
        self.weights[slice].min(excess) / cost
    }

    /// Cost of placing a slice that exceeds the headroom of `target`, in delayed requests per
    /// second of the horizon: the moves of the slices among `transferable` that the target must
    /// give up, and the answers sent between regions. The load cost does not count, because any
    /// target ends at [`HOT_RELIEVED_THRESHOLD`], and neither does distance, because one slice
    /// moves few bytes.
    pub(super) fn cost_with_relief(
        &self,
        slice: usize,
        target: usize,
        transferable: &[usize],
    ) -> f64 {
        let weight = self.weights[slice];
        let mut excess = self.excess(target, HOT_RELIEVED_THRESHOLD) + weight;
        let mut move_cost = 0.0;
        let mut rest = transferable.to_vec();
        while excess > 0.0 {
            let ratio = |nth: usize| self.relief_per_cost(rest[nth], target, excess);
            let best = (0..rest.len()).max_by(|&a, &b| ratio(a).total_cmp(&ratio(b)));
            let Some(best) = best else {
                return f64::MAX;
            };
            let transferred = rest.swap_remove(best);
            move_cost += self.move_cost(transferred, target);
            excess -= self.weights[transferred];
        }
        move_cost / HORIZON_S + weight * self.remote_price(slice, target)
    }
}
