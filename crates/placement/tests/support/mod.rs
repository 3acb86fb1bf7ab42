//! Builders of planner input.

use std::sync::Arc;

use placement::{Balance, HotKey, Input, RegionShare, SliceInput, TargetInput, TargetState, plan};
use smallvec::SmallVec;

use crate::table::apply;

/// The balance of a deployment without preferences.
pub const BALANCE: Balance = Balance {
    growth: 0.5,
    churn: 0.3,
    imbalance: 0.3,
    unavailable: 0.4,
};

/// A live target `t<nth>`: targets alternate between data centres a1, b1, a2 and b2 of the regions
/// a and b.
pub fn target(nth: usize) -> TargetInput {
    let (data_centre, region) = [("a1", "a"), ("b1", "b"), ("a2", "a"), ("b2", "b")][nth % 4];
    TargetInput {
        name: format!("t{nth}").into(),
        capacity: 2,
        data_centre: data_centre.into(),
        region: region.into(),
        cold_ms: 500,
        state: TargetState::Live,
    }
}

/// A slice of `count` of equal width, owned by target `t<owner>`.
pub fn slice(nth: usize, count: usize, owner: usize, load: f64) -> SliceInput {
    let width = u64::MAX / count as u64;
    let last = nth + 1 == count;
    SliceInput {
        low: width * nth as u64,
        high: if last {
            u64::MAX
        } else {
            width * (nth as u64 + 1) - 1
        },
        owner: format!("t{owner}").into(),
        load,
        callers: SmallVec::new(),
        bytes: 1_000_000,
    }
}

/// A service of `targets` live targets with 16 slices of 10 requests/s each.
pub fn balanced_input(targets: usize) -> Input {
    let count = targets * 16;
    let slices = (0..count).map(|nth| slice(nth, count, nth % targets, 10.0));
    Input {
        service: "s".into(),
        slices: slices.collect(),
        targets: (0..targets).map(target).collect(),
        link_price: 0.2,
        answer_bytes: 10_000,
        ..Input::default()
    }
}

/// Sets the region that all requests for a slice come from.
pub fn set_caller_region(slice: &mut SliceInput, region: &str) {
    slice.callers.clear();
    slice.callers.push(RegionShare {
        region: region.into(),
        share: 1.0,
    });
}

/// Numbers of changes over several rounds.
#[derive(Debug, Default)]
pub struct ChangeCounts {
    /// Changes of the owner of any slice.
    pub moves: usize,
    /// Splits.
    pub splits: usize,
    /// Merges.
    pub merges: usize,
    /// Changes of the key's owner.
    pub key_moves: usize,
}

/// Plans rounds 2 s apart and applies them. In each round, the load of the slice that contains
/// `key` includes the load that `load` returns for the round.
pub fn run_rounds(
    input: &mut Input,
    balance: &Balance,
    count: u64,
    key: u64,
    load: impl Fn(u64) -> f64,
) -> ChangeCounts {
    let mut counts = ChangeCounts::default();
    let mut before = 0.0;
    for round in 0..count {
        let load = load(round);
        let slice = input.slices.iter_mut().find(|it| it.high >= key);
        slice.expect("slices cover the hash space").load += load - before;
        before = load;
        input.hot = vec![HotKey { hash: key, load }];

        let plan = plan(input, balance);
        counts.moves += plan.moves.len();
        counts.splits += plan.splits.len();
        counts.merges += plan.merges.len();
        let owner_before = owner_of(input, key);
        // The load of a key belongs to its own slice after a split.
        input
            .slices
            .iter_mut()
            .find(|it| it.high >= key)
            .unwrap()
            .load -= load;
        apply(&plan, &mut input.slices);
        input
            .slices
            .iter_mut()
            .find(|it| it.high >= key)
            .unwrap()
            .load += load;
        counts.key_moves += usize::from(owner_of(input, key) != owner_before);
        input.state = plan.state;
        input.now_ms += 2_000;
    }
    counts
}

/// The owner of a key.
pub fn owner_of(input: &Input, key: u64) -> Arc<str> {
    let slice = input.slices.iter().find(|it| it.high >= key);
    Arc::clone(&slice.expect("slices cover the hash space").owner)
}
