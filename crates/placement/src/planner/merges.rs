//! Merges of slices that have cooled.

use super::{MAX_OPTIONAL_MOVES, Round};
use crate::{Merge, SLICES_PER_TARGET, SliceInput, fleet, held::HOT_SHARE, state::carry};

/// Load relative to the mean load of a target below which a small slice counts as cool. Half of
/// the load at which a key is split out, so that a key between the two stays as it is.
const COOL_SHARE: f64 = HOT_SHARE / 2.0;
/// Time for which a small slice must be cool before it is merged.
const COOL_MS: u64 = 120_000;
/// Width relative to a slice of a new service below which a slice is small. Of the two parts that
/// a split leaves beside a key, at least one is small.
const SMALL_WIDTH: f64 = 0.75;
/// Width of a merged slice relative to a slice of a new service. Above 1 because the number of
/// targets changes, below 2 so that two slices of a new service do not merge.
const MERGED_WIDTH: f64 = 1.25;
/// Load of a merged slice relative to the mean load of a target. Below the load at which slices
/// are cut in half.
const MERGED_SHARE: f64 = 0.15;
/// Slices relative to a new service from which fragments that are no single key move to a
/// neighbour's owner too.
const FRAGMENTED: f64 = 1.5;
/// Most moves in one round whose purpose is a merge.
const RETURNS_PER_ROUND: usize = 4;

impl Round<'_> {
    /// Merges neighbours of one owner, and moves cooled keys back to the owner of a neighbour.
    pub(super) fn merge(&mut self) {
        let input = self.input;
        let base = 1.0 / fleet::as_f64(SLICES_PER_TARGET * self.fleet.usable());
        let cool = COOL_SHARE * self.fleet.mean_load();
        let small = |it: &SliceInput| {
            let width = fleet::width(it.low, it.high);
            width < SMALL_WIDTH * base && it.load < cool
        };
        let present = input.slices.iter().filter(|it| small(it)).map(|it| it.low);
        carry(&mut self.state().cooled, present, input.now_ms);

        let limits = Limits {
            width: MERGED_WIDTH * base,
            load: MERGED_SHARE * self.fleet.mean_load(),
            fragmented: fleet::as_f64(input.slices.len()) * base > FRAGMENTED,
        };
        let mut returns = 0;
        for index in 1..input.slices.len() {
            if !self.may_merge(index - 1, index, &limits) {
                continue;
            }
            let (left, right) = (self.fleet.owner(index - 1), self.fleet.owner(index));
            if left == right {
                self.changed.extend([index - 1, index]);
                self.plan.merges.push(Merge {
                    low: input.slices[index - 1].low,
                    next: input.slices[index].low,
                });
                continue;
            }
            let within = returns < RETURNS_PER_ROUND && self.elective < MAX_OPTIONAL_MOVES;
            if within && self.return_cooled(index - 1, index, &limits) {
                returns += 1;
            }
        }
    }

    /// Whether two neighbours may become one slice, apart from their owners.
    fn may_merge(&self, left: usize, right: usize, limits: &Limits) -> bool {
        if self.changed.contains(&left) || self.changed.contains(&right) {
            return false;
        }
        let (a, b) = (&self.input.slices[left], &self.input.slices[right]);
        let fits = fleet::width(a.low, b.high) <= limits.width && a.load + b.load <= limits.load;
        // A key that is still hot, or was until recently, keeps its slice.
        let settled = |it: &SliceInput| it.low < it.high || self.is_cooled(it);
        fits && settled(a) && settled(b) && (self.is_cooled(a) || self.is_cooled(b))
    }

    /// Moves a cooled slice to the owner of its neighbour, for a merge in a later round.
    fn return_cooled(&mut self, left: usize, right: usize, limits: &Limits) -> bool {
        for (slice, neighbour) in [(right, left), (left, right)] {
            let it = &self.input.slices[slice];
            let owner = self.fleet.owner(neighbour);
            let resting = self.plan.state.is_resting(it.low);
            let Some(owner) = owner.filter(|_| self.is_cooled(it) && !resting) else {
                continue;
            };
            if it.low == it.high || limits.fragmented {
                self.elect(slice, owner);
                self.changed.insert(neighbour);
                return true;
            }
        }
        false
    }

    fn is_cooled(&self, slice: &SliceInput) -> bool {
        let since = self.plan.state.cooled.get(&slice.low);
        since.is_some_and(|it| self.input.now_ms.saturating_sub(*it) >= COOL_MS)
    }
}

/// Limits of a merged slice in this round.
struct Limits {
    /// Share of the hash space.
    width: f64,
    /// Requests per second.
    load: f64,
    /// Whether the service has so many slices that all small ones are merged.
    fragmented: bool,
}
