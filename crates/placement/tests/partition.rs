//! Every decision leaves slices that cover the hash space once, each with one usable owner.

#[path = "../benches/scenario/table.rs"]
mod table;

use std::collections::HashSet;

use placement::{
    Balance, HotKey, Input, MAX_OPTIONAL_MOVES, ServiceInput, SliceInput, TargetInput, TargetState,
    partition_hash_space, plan, spread,
};
use proptest::{collection::vec, prelude::*};
use smallvec::SmallVec;
use table::{apply, apply_moves};

fn states() -> impl Strategy<Value = TargetState> {
    prop_oneof![
        4 => Just(TargetState::Live),
        1 => (0..20_000_u64).prop_map(|age_ms| TargetState::Joining { age_ms }),
        1 => Just(TargetState::Leaving),
        1 => Just(TargetState::Lost),
    ]
}

fn targets() -> impl Strategy<Value = Vec<TargetInput>> {
    let target = (states(), 0..4_u32, 0..4_usize, 0..1_000_u64);
    vec(target, 1..8).prop_map(|targets| {
        let new = |(nth, (state, capacity, place, cold_ms)): (usize, (_, _, usize, _))| {
            let (data_centre, region) = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")][place];
            TargetInput {
                name: format!("t{nth}").into(),
                capacity,
                data_centre: data_centre.into(),
                region: region.into(),
                cold_ms,
                state,
            }
        };
        targets.into_iter().enumerate().map(new).collect()
    })
}

prop_compose! {
    fn inputs()(
        targets in targets(),
        mut lows in vec(any::<u64>(), 0..40),
        owners in vec(0..9_usize, 41),
        loads in vec(prop_oneof![Just(0.0), 0.0..100.0_f64], 41),
        keys in vec((any::<prop::sample::Index>(), 0..3_u64, 0.0..200.0_f64), 0..6),
        link_price in 0.0..2.0_f64,
    ) -> Input {
        lows.extend([0, 5, 6]);
        lows.sort_unstable();
        lows.dedup();
        let mut slices = Vec::new();
        for (nth, &low) in lows.iter().enumerate() {
            let high = lows.get(nth + 1).map_or(u64::MAX, |next| next - 1);
            slices.push(SliceInput {
                low,
                high,
                // Some owners are unknown.
                owner: format!("t{}", owners[nth % 41]).into(),
                load: loads[nth % 41],
                callers: SmallVec::new(),
                bytes: 1_000,
            });
        }
        let mut hot = Vec::new();
        for (index, offset, load) in keys {
            // Keys at the bounds of slices and next to them.
            let hash = slices[index.index(slices.len())].low.wrapping_add(offset).wrapping_sub(1);
            hot.push(HotKey { hash, load });
            let slice = slices.iter_mut().find(|it| it.high >= hash);
            slice.expect("slices cover the hash space").load += load;
        }
        Input {
            service: "s".into(),
            slices,
            targets,
            hot,
            link_price,
            answer_bytes: 10_000,
            ..Input::default()
        }
    }
}

fn balances() -> impl Strategy<Value = Balance> {
    (0.0..=1.0, 0.0..=1.0, 0.0..=1.0, 0.0..=1.0).prop_map(
        |(growth, churn, imbalance, unavailable)| Balance {
            growth,
            churn,
            imbalance,
            unavailable,
        },
    )
}

fn check_partition<'a>(ranges: impl Iterator<Item = (u64, u64, &'a str)>, usable: &HashSet<&str>) {
    let mut next = Some(0);
    for (low, high, owner) in ranges {
        assert_eq!(Some(low), next, "no gap and no overlap");
        assert!(low <= high, "no empty slice");
        assert!(usable.contains(owner), "{owner} is not usable");
        next = high.checked_add(1);
    }
    assert_eq!(next, None, "the hash space is covered to its end");
}

fn usable(targets: &[TargetInput]) -> HashSet<&str> {
    let usable = targets.iter().filter(|it| it.state.is_usable());
    usable.map(|it| &*it.name).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    // Guards against keys without an owner, with two owners or on a target that cannot serve.
    #[test]
    fn initial_slices_cover_the_hash_space(targets in targets(), seed in any::<u64>()) {
        let service = ServiceInput { name: "s".into(), targets };
        let slices = partition_hash_space(&service, seed);
        let usable = usable(&service.targets);
        prop_assert_eq!(slices.len(), usable.len() * 16);
        if !usable.is_empty() {
            let ranges = slices.iter().map(|it| (it.low, it.high, &*it.target));
            check_partition(ranges, &usable);
        }
        prop_assert_eq!(slices, partition_hash_space(&service, seed));
    }

    // Guards against the same faults over several rounds in which targets change their state.
    #[test]
    fn plan_keeps_the_partition(
        mut input in inputs(),
        balance in balances(),
        changes in vec((any::<prop::sample::Index>(), states(), 0..200_000_u64), 1..12),
    ) {
        for (index, state, elapsed_ms) in changes {
            let plan = plan(&input, &balance);
            prop_assert_eq!(&plan, &placement::plan(&input, &balance), "deterministic");

            let names = usable(&input.targets);
            let mut seen = HashSet::new();
            let lows = plan.moves.iter().map(|it| it.low);
            let lows = lows.chain(plan.splits.iter().map(|it| it.low));
            let lows = lows.chain(plan.merges.iter().flat_map(|it| [it.low, it.next]));
            for low in lows {
                prop_assert!(seen.insert(low), "a slice is named once");
            }
            let mut optional_moves = 0;
            for it in &plan.moves {
                let slice = input.slices.iter().find(|slice| slice.low == it.low);
                let owner = &slice.expect("a move names a slice").owner;
                prop_assert_ne!(&it.to, owner, "a move changes the owner");
                optional_moves += usize::from(names.contains(&**owner));
            }
            prop_assert!(optional_moves <= MAX_OPTIONAL_MOVES);

            apply(&plan, &mut input.slices);
            if names.is_empty() {
                prop_assert!(plan.moves.is_empty());
            } else {
                let ranges = input.slices.iter().map(|it| (it.low, it.high, &*it.owner));
                check_partition(ranges, &names);
            }
            input.state = plan.state;
            input.now_ms += elapsed_ms;
            let index = index.index(input.targets.len());
            input.targets[index].state = state;
        }
    }

    // Guards against slices of a lost target that are forgotten or placed on it again.
    #[test]
    fn spread_places_every_slice(mut input in inputs(), balance in balances(), nth in 0..9_usize) {
        let lost = format!("t{nth}");
        let moves = spread(&input, &balance, &lost);
        let mut names = usable(&input.targets);
        names.remove(&*lost);
        let owned = input.slices.iter().filter(|it| *it.owner == *lost).count();
        prop_assert_eq!(moves.len(), if names.is_empty() { 0 } else { owned });
        for it in &moves {
            prop_assert!(names.contains(&*it.to));
        }
        prop_assert_eq!(&moves, &spread(&input, &balance, &lost));
        let others = |it: &Input| -> Vec<SliceInput> {
            it.slices.iter().filter(|it| *it.owner != *lost).cloned().collect()
        };
        let before = others(&input);
        apply_moves(&moves, &mut input.slices);
        for slice in before {
            prop_assert!(input.slices.contains(&slice), "other slices stay");
        }
    }
}
