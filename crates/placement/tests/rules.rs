//! Rules of the planner, each checked by a few cases.

mod support;
#[path = "../benches/scenario/table.rs"]
mod table;

use placement::{Balance, HotKey, Input, Plan, TargetState, plan, spread};
use support::{BALANCE, ChangeCounts, balanced_input, owner_of, run_rounds, set_caller_region};

/// A key in the middle of slice 5 of 64.
const KEY: u64 = u64::MAX / 64 * 5 + (u64::MAX / 128);

struct Case {
    name: &'static str,
    change: fn(&mut Input),
    balance: Balance,
    rounds: u64,
    expected: fn(&Input, &ChangeCounts) -> bool,
}

fn check(cases: &[Case]) {
    for case in cases {
        let mut input = balanced_input(4);
        (case.change)(&mut input);
        let counts = run_rounds(&mut input, &case.balance, case.rounds, KEY, |_| 0.0);
        assert!(
            (case.expected)(&input, &counts),
            "{}: {counts:?}",
            case.name
        );
    }
}

fn count_owned(input: &Input, target: &str) -> usize {
    let owned = input.slices.iter().filter(|it| &*it.owner == target);
    owned.count()
}

// Guards against unnecessary moves, and against a target that keeps slices that it cannot serve.
#[test]
fn moves_only_when_needed() {
    check(&[
        Case {
            name: "even load moves nothing",
            change: |_| {},
            balance: BALANCE,
            rounds: 100,
            expected: |_, it| it.moves + it.splits + it.merges == 0,
        },
        Case {
            name: "no load moves nothing",
            change: |it| it.slices.iter_mut().for_each(|slice| slice.load = 0.0),
            balance: BALANCE,
            rounds: 100,
            expected: |_, it| it.moves + it.splits + it.merges == 0,
        },
        Case {
            name: "invalid loads move nothing",
            change: |it| it.slices[0].load = f64::NAN,
            balance: BALANCE,
            rounds: 10,
            expected: |_, it| it.moves == 0,
        },
        Case {
            name: "a leaving target is emptied at once",
            change: |it| it.targets[1].state = TargetState::Leaving,
            balance: BALANCE,
            rounds: 1,
            expected: |input, it| it.moves == 16 && count_owned(input, "t1") == 0,
        },
        Case {
            name: "a target that the document no longer names is emptied at once",
            change: |it| drop(it.targets.remove(1)),
            balance: BALANCE,
            rounds: 1,
            expected: |input, it| it.moves == 16 && count_owned(input, "t1") == 0,
        },
        Case {
            name: "nothing moves if no target is usable",
            change: |it| {
                for target in &mut it.targets {
                    target.state = TargetState::Lost;
                }
            },
            balance: BALANCE,
            rounds: 10,
            expected: |_, it| it.moves + it.splits + it.merges == 0,
        },
        Case {
            name: "a busy target is relieved",
            change: |it| {
                it.slices[..24].iter_mut().for_each(|slice| {
                    if &*slice.owner == "t0" {
                        slice.load = 30.0;
                    }
                });
            },
            balance: BALANCE,
            rounds: 10,
            expected: |_, it| it.moves > 0,
        },
        Case {
            name: "a move that costs more than its benefit is not made",
            change: |it| {
                it.targets
                    .iter_mut()
                    .for_each(|target| target.cold_ms = 600_000);
                it.slices[..24].iter_mut().for_each(|slice| {
                    if &*slice.owner == "t0" {
                        slice.load = 30.0;
                    }
                });
            },
            balance: Balance {
                churn: 1.0,
                imbalance: 0.0,
                unavailable: 0.0,
                ..BALANCE
            },
            rounds: 10,
            expected: |_, it| it.moves == 0,
        },
    ]);
}

// Guards against a target that stays overloaded because no single move relieves it.
#[test]
fn hot_keys_are_separated() {
    check(&[Case {
        name: "two hot keys on one target",
        change: |it| {
            for slice in it.slices.iter_mut().filter(|it| &*it.owner == "t0") {
                slice.load = 0.0;
            }
            for (index, load) in [(0, 120.0), (5, 70.0)] {
                let mut key = it.slices[index].clone();
                key.high = key.low;
                key.load = load;
                it.slices[index].low += 1;
                it.slices.insert(index, key);
            }
        },
        balance: BALANCE,
        rounds: 20,
        expected: |input, it| {
            let hot: Vec<_> = input.slices.iter().filter(|it| it.load > 50.0).collect();
            hot.len() == 2 && hot[0].owner != hot[1].owner && it.moves > 0
        },
    }]);
}

// Guards against a joining target that receives too many slices while it is cold, or too few in the
// end.
#[test]
fn joining_target_is_filled_slowly() {
    fn join(input: &mut Input) {
        let mut target = support::target(4);
        target.state = TargetState::Joining { age_ms: 10_000 };
        input.targets.push(target);
    }
    check(&[
        Case {
            name: "one slice per slot in a round",
            change: join,
            balance: BALANCE,
            rounds: 1,
            expected: |input, it| it.moves == 2 && count_owned(input, "t4") == 2,
        },
        Case {
            name: "filled in the end",
            change: join,
            balance: BALANCE,
            rounds: 20,
            expected: |input, _| (11..=13).contains(&count_owned(input, "t4")),
        },
        Case {
            name: "a cold start between two rounds",
            change: |input| {
                join(input);
                input.targets[4].cold_ms = 5_000;
            },
            balance: BALANCE,
            rounds: 3,
            expected: |input, _| count_owned(input, "t4") <= 2,
        },
    ]);
}

// Guards against wrong split positions at the bounds of a slice, and against unnecessary splits.
#[test]
fn hot_key_gets_its_own_slice() {
    struct SplitCase {
        name: &'static str,
        key: fn(&Input) -> u64,
        load: f64,
        at: fn(u64) -> Vec<u64>,
    }
    let cases = [
        SplitCase {
            name: "inside",
            key: |_| KEY,
            load: 100.0,
            at: |key| vec![key, key + 1],
        },
        SplitCase {
            name: "lowest hash",
            key: |it| it.slices[5].low,
            load: 100.0,
            at: |key| vec![key + 1],
        },
        SplitCase {
            name: "highest hash",
            key: |it| it.slices[5].high,
            load: 100.0,
            at: |key| vec![key],
        },
        SplitCase {
            name: "highest hash of all",
            key: |_| u64::MAX,
            load: 100.0,
            at: |key| vec![key],
        },
        SplitCase {
            name: "not hot enough",
            key: |_| KEY,
            load: 10.0,
            at: |_| vec![],
        },
    ];
    for case in cases {
        let mut input = balanced_input(4);
        let key = (case.key)(&input);
        let slice = input.slices.iter_mut().find(|it| it.high >= key).unwrap();
        slice.load += case.load;
        input.hot = vec![HotKey {
            hash: key,
            load: case.load,
        }];
        let first = plan(&input, &BALANCE);
        assert!(first.splits.is_empty(), "{}: split too early", case.name);
        input.state = first.state;
        input.now_ms += 2_000;
        let Plan { splits, .. } = plan(&input, &BALANCE);
        let at: Vec<u64> = splits.iter().flat_map(|it| it.at.clone()).collect();
        assert_eq!(at, (case.at)(key), "{}", case.name);
    }
}

// Guards against a key that moves back and forth when it heats up and cools, and against slices
// that are never merged again.
#[test]
fn heating_and_cooling_key_moves_little() {
    struct LoadSequence {
        name: &'static str,
        load: fn(u64) -> f64,
        expected: fn(&Input, &ChangeCounts) -> bool,
    }
    let sequences = [
        LoadSequence {
            name: "stays hot",
            load: |_| 100.0,
            expected: |_, it| it.moves > 0 && it.splits == 1 && it.merges == 0,
        },
        // Moves that relieve the target, and moves that balance the loads afterwards.
        LoadSequence {
            name: "one hot round",
            load: |round| if round == 3 { 100.0 } else { 0.0 },
            expected: |_, it| it.moves <= 16 && it.splits == 0,
        },
        // At most twice as many moves, however often the key heats up.
        LoadSequence {
            name: "hot every other 20 s",
            load: |round| if round / 10 % 2 == 0 { 100.0 } else { 0.0 },
            expected: |_, it| it.moves <= 32 && it.splits == 1 && it.merges == 0,
        },
        LoadSequence {
            name: "hot for a minute",
            load: |round| if round < 30 { 100.0 } else { 0.0 },
            expected: |input, it| it.splits == 1 && it.merges >= 1 && input.slices.len() <= 65,
        },
    ];
    for sequence in sequences {
        let mut input = balanced_input(4);
        let counts = run_rounds(&mut input, &BALANCE, 300, KEY, sequence.load);
        assert!(
            (sequence.expected)(&input, &counts) && counts.key_moves <= 1,
            "{}: {counts:?}, {} slices, owner {}",
            sequence.name,
            input.slices.len(),
            owner_of(&input, KEY)
        );
    }
}

// Guards against a number of slices that grows with every key that was ever hot.
#[test]
fn slice_count_stays_bounded() {
    let mut input = balanced_input(4);
    for nth in 0..100_u64 {
        let key = nth.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        run_rounds(&mut input, &BALANCE, 90, key, |round| {
            if round < 30 { 100.0 } else { 0.0 }
        });
    }
    let most = 2 * 64;
    assert!(input.slices.len() <= most, "{} slices", input.slices.len());
}

// Guards against paid traffic between regions if the operators want savings, and against targets
// that stay overloaded for the sake of savings if they want growth.
#[test]
fn growth_decides_whether_slices_leave_their_region() {
    let crowded = |input: &mut Input| {
        for slice in &mut input.slices {
            set_caller_region(slice, "a");
            if matches!(&*slice.owner, "t0" | "t2") {
                slice.load = 13.0;
            }
        }
        input.answer_bytes = 1_000_000;
        input.link_price = 10.0;
    };
    for (growth, leaves) in [(0.0, false), (1.0, true)] {
        let mut input = balanced_input(4);
        crowded(&mut input);
        let balance = Balance { growth, ..BALANCE };
        let before = count_owned(&input, "t1") + count_owned(&input, "t3");
        run_rounds(&mut input, &balance, 20, KEY, |_| 0.0);
        let after = count_owned(&input, "t1") + count_owned(&input, "t3");
        assert_eq!(after > before, leaves, "growth {growth}: {before}, {after}");
    }
}

// Guards against placing all slices of a lost target on one other, and against needlessly distant
// targets.
#[test]
fn spread_prefers_near_targets_with_headroom() {
    struct Case {
        name: &'static str,
        change: fn(&mut Input),
        nearest: std::ops::RangeInclusive<usize>,
        region: std::ops::RangeInclusive<usize>,
    }
    let cases = [
        Case {
            name: "even load",
            change: |_| {},
            nearest: 2..=6,
            region: 6..=12,
        },
        Case {
            name: "no measured load",
            change: |it| it.slices.iter_mut().for_each(|slice| slice.load = 0.0),
            nearest: 2..=6,
            region: 6..=12,
        },
        Case {
            name: "near targets are full",
            change: |it| {
                for slice in &mut it.slices {
                    if matches!(&*slice.owner, "t4" | "t2" | "t6") {
                        slice.load = 20.0;
                    }
                }
            },
            nearest: 0..=0,
            region: 0..=0,
        },
        Case {
            name: "the other region is lost",
            change: |it| {
                for target in &mut it.targets {
                    if &*target.region == "b" {
                        target.state = TargetState::Lost;
                    }
                }
            },
            nearest: 5..=6,
            region: 16..=16,
        },
    ];
    for case in cases {
        let mut input = balanced_input(8);
        (case.change)(&mut input);
        let moves = spread(&input, &BALANCE, "t0");
        let to = |names: &[&str]| moves.iter().filter(|it| names.contains(&&*it.to)).count();
        let (nearest, region) = (to(&["t4"]), to(&["t2", "t4", "t6"]));
        assert_eq!(moves.len(), 16, "{}", case.name);
        assert!(case.nearest.contains(&nearest), "{}: {nearest}", case.name);
        assert!(case.region.contains(&region), "{}: {region}", case.name);
    }
}
