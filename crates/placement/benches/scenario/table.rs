//! Applies plans to slices.

use std::sync::Arc;

use placement::{Merge, Move, Plan, SliceInput, Split};

/// Applies a plan to slices sorted by their lowest hash. The parts of a split slice share its load
/// by width, until the next measurement.
///
/// # Panics
///
/// Panics if the plan names a slice that does not exist or violates a rule of [`Plan`].
pub fn apply(plan: &Plan, slices: &mut Vec<SliceInput>) {
    apply_moves(&plan.moves, slices);
    if plan.splits.is_empty() && plan.merges.is_empty() {
        return;
    }

    let mut next: Vec<SliceInput> = Vec::with_capacity(slices.len() + 2 * plan.splits.len());
    for slice in slices.drain(..) {
        let merged = plan.merges.iter().find(|it| it.next == slice.low);
        if let Some(Merge { low, .. }) = merged {
            let left = next.last_mut().expect("a merge has a first slice");
            assert_eq!(left.low, *low, "a merge names neighbours");
            assert_eq!(left.owner, slice.owner, "a merge keeps the owner");
            left.high = slice.high;
            left.load += slice.load;
            left.bytes += slice.bytes;
            continue;
        }
        let split = plan.splits.iter().find(|it| it.low == slice.low);
        match split {
            Some(Split { at, .. }) => split_slice(&slice, at, &mut next),
            None => next.push(slice),
        }
    }
    *slices = next;
}

/// Applies moves to slices sorted by their lowest hash.
///
/// # Panics
///
/// Panics if a move names a slice that does not exist.
pub fn apply_moves(moves: &[Move], slices: &mut [SliceInput]) {
    for it in moves {
        let index = slices.binary_search_by_key(&it.low, |slice| slice.low);
        let index = index.expect("a move names a slice");
        slices[index].owner = Arc::clone(&it.to);
    }
}

fn split_slice(slice: &SliceInput, at: &[u64], next: &mut Vec<SliceInput>) {
    assert!(!at.is_empty(), "a split has parts");
    let mut low = slice.low;
    let parts = at.len() + 1;
    for (nth, &bound) in at.iter().chain([&0]).enumerate() {
        let last = nth + 1 == parts;
        assert!(
            last || (low < bound && bound <= slice.high),
            "a slice is split inside"
        );
        let high = if last { slice.high } else { bound - 1 };
        let share = width(low, high) / width(slice.low, slice.high);
        next.push(SliceInput {
            low,
            high,
            load: slice.load * share,
            ..slice.clone()
        });
        low = bound;
    }
}

fn width(low: u64, high: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "a share of load")]
    let width = (high - low) as f64;
    width + 1.0
}
