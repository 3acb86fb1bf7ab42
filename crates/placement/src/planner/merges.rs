//! Merges of small slices with low load.

use super::{MAX_OPTIONAL_MOVES, Round};
use crate::{
    Merge, SLICES_PER_TARGET, SliceInput, fleet, state::update_start_times, tracked_keys::HOT_SHARE,
};

/// Load relative to the mean load of a target below which a small slice counts as cool. Half of
/// the load at which a key gets its own slice; the gap between the two is the hysteresis.
const COOL_SHARE: f64 = HOT_SHARE / 2.0;
/// Time for which a small slice must be cool before it is merged.
const COOL_MS: u64 = 120_000;
/// Width relative to a slice of a new service below which a slice is small. Of the two parts on
/// either side of a key that was split out, at least one is small.
const SMALL_WIDTH: f64 = 0.75;
/// Maximum width of a merged slice relative to a slice of a new service. Above 1 because the number
/// of targets changes, below 2 so that two slices of a new service do not merge.
const MERGED_WIDTH: f64 = 1.25;
/// Maximum load of a merged slice relative to the mean load of a target. Below the load at which
/// slices are split in half.
const MERGED_SHARE: f64 = 0.15;
/// Number of slices, relative to a new service, above which cool slices of more than one key also
/// move to the owner of a neighbour in order to be merged.
const FRAGMENTED_RATIO: f64 = 1.5;
/// Maximum number of moves in one round that prepare a merge.
const MAX_MERGE_MOVES: usize = 4;

impl Round<'_> {
    /// Merges neighbouring slices of one owner, and moves cooled slices to the owner of a neighbour
    /// so that a later round can merge them.
    pub(super) fn merge(&mut self) {
        let input = self.input;
        let base_width = 1.0 / fleet::as_f64(SLICES_PER_TARGET * self.fleet.usable_count());
        let cool_load = COOL_SHARE * self.fleet.mean_load();
        let is_cool = |it: &SliceInput| {
            let width = fleet::width(it.low, it.high);
            width < SMALL_WIDTH * base_width && it.load < cool_load
        };
        let present = input
            .slices
            .iter()
            .filter(|it| is_cool(it))
            .map(|it| it.low);
        update_start_times(&mut self.state().cool_since, present, input.now_ms);

        let limits = MergeLimits {
            width: MERGED_WIDTH * base_width,
            load: MERGED_SHARE * self.fleet.mean_load(),
            fragmented: fleet::as_f64(input.slices.len()) * base_width > FRAGMENTED_RATIO,
        };
        let mut merge_moves = 0;
        for index in 1..input.slices.len() {
            if !self.may_merge(index - 1, index, &limits) {
                continue;
            }
            let (left, right) = (
                self.fleet.usable_owner(index - 1),
                self.fleet.usable_owner(index),
            );
            if left == right {
                self.changed.extend([index - 1, index]);
                self.plan.merges.push(Merge {
                    low: input.slices[index - 1].low,
                    next: input.slices[index].low,
                });
                continue;
            }
            let within_limits =
                merge_moves < MAX_MERGE_MOVES && self.optional_moves < MAX_OPTIONAL_MOVES;
            if within_limits && self.move_for_merge(index - 1, index, &limits) {
                merge_moves += 1;
            }
        }
    }

    /// Whether two neighbouring slices may be merged if they have the same owner.
    fn may_merge(&self, left: usize, right: usize, limits: &MergeLimits) -> bool {
        if self.changed.contains(&left) || self.changed.contains(&right) {
            return false;
        }
        let (a, b) = (&self.input.slices[left], &self.input.slices[right]);
        let fits = fleet::width(a.low, b.high) <= limits.width && a.load + b.load <= limits.load;
        // A slice of a single key that is or was recently hot is not merged.
        let can_merge = |it: &SliceInput| it.low < it.high || self.is_cooled(it);
        fits && can_merge(a) && can_merge(b) && (self.is_cooled(a) || self.is_cooled(b))
    }

    /// Moves a cooled slice to the owner of its neighbour, so that a later round can merge the two.
    /// Returns whether a slice moved.
    fn move_for_merge(&mut self, left: usize, right: usize, limits: &MergeLimits) -> bool {
        for (slice, neighbour) in [(right, left), (left, right)] {
            let it = &self.input.slices[slice];
            let owner = self.fleet.usable_owner(neighbour);
            let moved_recently = self.plan.state.has_moved_recently(it.low);
            let Some(owner) = owner.filter(|_| self.is_cooled(it) && !moved_recently) else {
                continue;
            };
            if it.low == it.high || limits.fragmented {
                self.move_slice(slice, owner);
                self.changed.insert(neighbour);
                return true;
            }
        }
        false
    }

    fn is_cooled(&self, slice: &SliceInput) -> bool {
        let since = self.plan.state.cool_since.get(&slice.low);
        since.is_some_and(|it| self.input.now_ms.saturating_sub(*it) >= COOL_MS)
    }
}

/// Limits of a merged slice in this round.
struct MergeLimits {
    /// Maximum share of the hash space.
    width: f64,
    /// Maximum load in requests per second.
    load: f64,
    /// Whether the service has so many slices that slices of more than one key also move for a
    /// merge.
    fragmented: bool,
}
