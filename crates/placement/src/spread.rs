//! Placement of the slices of a lost target.

use crate::{Balance, Input, Move, fleet::Fleet};

/// Places the slices that `lost` owns on the usable targets other than `lost`, heaviest first,
/// each on the target that is then best by utilisation, distance from `lost` and distance from
/// the callers; [`Balance::growth`] determines how much utilisation a shorter distance may cost.
///
/// Returns a move for each slice of `lost`, or none if no target is usable.
#[must_use]
pub fn spread(input: &Input, balance: &Balance, lost: &str) -> Vec<Move> {
    let mut fleet = Fleet::new(input, balance, &input.state.tracked);
    fleet.exclude(lost);
    let mut orphans = Vec::new();
    for (index, slice) in input.slices.iter().enumerate() {
        if &*slice.owner == lost {
            orphans.push(index);
        }
    }
    fleet.place(orphans)
}
