//! Tests of the balancing of load.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use coordinator::{
    Incarnation, KeyLoad, KeyRange,
    balance::{Candidate, OwnedRange, rebalance},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Slices of each target of a fleet with few slices.
const FEW_SLICES: u16 = 2;

/// Keys with requests in each slice.
const KEYS: u16 = 16;

struct Fleet {
    targets: Vec<Candidate>,
    slices: Vec<OwnedRange>,
    loads: Vec<KeyLoad>,
}

/// Returns a fleet of `count` targets with few slices and uneven loads.
fn fleet(count: u16) -> Fleet {
    fleet_of(count, FEW_SLICES)
}

/// Returns a fleet of `count` targets, each with `slices_each` slices, and uneven loads.
fn fleet_of(count: u16, slices_each: u16) -> Fleet {
    let mut rng = StdRng::seed_from_u64(7);
    let target = |number: u16| Candidate {
        incarnation: Incarnation {
            target: Arc::from(format!("i-{number:08x}")),
            started_ms: 1,
        },
        capacity: 2.0,
    };
    let targets: Vec<Candidate> = (0..count).map(target).collect();
    let width = u16::MAX / (count * slices_each);
    let mut slices = Vec::new();
    let mut loads = Vec::new();
    for number in 0..count * slices_each {
        let first = number * width;
        slices.push(OwnedRange {
            range: KeyRange::new(first, first + width - 1),
            owner: targets[usize::from(number % count)].incarnation.clone(),
            movable: true,
        });
        for key in 0..KEYS {
            loads.push(KeyLoad {
                key: first + key * (width / KEYS),
                load: rng.random_range(0.0..0.1),
            });
        }
    }
    Fleet {
        targets,
        slices,
        loads,
    }
}

/// Returns the utilisations of the most and the least utilised target.
fn utilisations(fleet: &Fleet) -> (f64, f64) {
    let load_of = |it: &Candidate| -> f64 {
        let owned = fleet.slices.iter().filter(|at| at.owner == it.incarnation);
        let keys = owned.flat_map(|at| {
            let keys = at.range.first..=at.range.last;
            fleet.loads.iter().filter(move |it| keys.contains(&it.key))
        });
        keys.map(|it| it.load).sum::<f64>() / it.capacity
    };
    let all: Vec<f64> = fleet.targets.iter().map(load_of).collect();
    let most = all.iter().copied().fold(f64::MIN, f64::max);
    let least = all.iter().copied().fold(f64::MAX, f64::min);
    (most, least)
}

/// Applies rounds of moves until there are none; returns the number of rounds and of moves.
fn run_rounds(fleet: &mut Fleet) -> (usize, usize) {
    let (mut rounds, mut count) = (0, 0);
    loop {
        let moves = rebalance(fleet.slices.clone(), &fleet.targets, &fleet.loads);
        if moves.is_empty() {
            return (rounds, count);
        }
        rounds += 1;
        count += moves.len();
        assert!(rounds < 100, "moves do not end");
        for it in moves {
            let mut slices = Vec::new();
            for slice in std::mem::take(&mut fleet.slices) {
                let sides = [
                    slice.range.below(it.range.first),
                    slice.range.above(it.range.last),
                ];
                if slice.range.intersection(it.range).is_none() {
                    slices.push(slice);
                    continue;
                }
                for range in sides.into_iter().flatten() {
                    slices.push(OwnedRange {
                        range,
                        ..slice.clone()
                    });
                }
            }
            slices.push(OwnedRange {
                range: it.range,
                owner: it.to,
                movable: true,
            });
            fleet.slices = slices;
        }
    }
}

/// Guards against moves that make the load less even, and against moves without end.
#[test]
fn rounds_even_out_the_load_and_end() {
    let mut fleet = fleet(20);
    let (most, least) = utilisations(&fleet);
    let (rounds, _) = run_rounds(&mut fleet);
    let (most_after, least_after) = utilisations(&fleet);
    assert!(rounds > 0);
    assert!(most_after < most && least_after > least);
}

/// Guards against an overload that stays because each of the many slices of a target is too small to
/// be worth a move.
#[test]
fn targets_with_many_small_slices_are_relieved() {
    struct Case {
        targets: u16,
        /// Number of targets that own all slices.
        owners: u16,
        /// Slices of each target, if they were even.
        slices: u16,
        /// Load in fractions of the capacity of all targets.
        utilisation: f64,
    }
    let case = |targets, owners, slices, utilisation| Case {
        targets,
        owners,
        slices,
        utilisation,
    };
    let cases = [
        case(24, 2, 6, 0.8),
        case(24, 1, 10, 0.5),
        case(12, 1, 20, 0.8),
        case(8, 3, 40, 0.3),
        case(40, 2, 5, 0.9),
        case(3, 1, 30, 0.6),
    ];
    for it in cases {
        let mut fleet = fleet_of(it.targets, it.slices);
        let capacity: f64 = fleet.targets.iter().map(|it| it.capacity).sum();
        let load: f64 = fleet.loads.iter().map(|it| it.load).sum();
        for at in &mut fleet.loads {
            at.load *= it.utilisation * capacity / load;
        }
        for (number, slice) in fleet.slices.iter_mut().enumerate() {
            let owner = number % usize::from(it.owners);
            slice.owner = fleet.targets[owner].incarnation.clone();
        }
        let slices = fleet.slices.len();
        let (rounds, moves) = run_rounds(&mut fleet);
        let (most, least) = utilisations(&fleet);
        let Case {
            targets, owners, ..
        } = it;
        let text = format!(
            "{owners} of {targets} targets with {slices} slices: {rounds} rounds, {moves} moves, \
             utilisation {least:.2} to {most:.2}"
        );
        // A move must lower the higher of two utilisations by 0.08 and by 12%, and a slice is moved
        // whole.
        let slice = it.utilisation / f64::from(it.slices);
        assert!(
            most - least < (2.0 * 0.12 * most).max(2.0 * 0.08) + slice,
            "{text}"
        );
        assert!(moves <= slices, "{text}");
    }
}

/// Guards against planning that takes most of the coordinator's processor time at hundreds of
/// targets, because its cost for each target grows with their number.
#[test]
fn the_cost_of_a_round_is_about_proportional_to_the_targets() {
    // The shortest of several rounds is the one that other processes disturbed least.
    let cost = |count| {
        let fleet = fleet(count);
        let mut shortest = Duration::MAX;
        for _ in 0..5 {
            let slices = fleet.slices.clone();
            let began = Instant::now();
            let moves = rebalance(slices, &fleet.targets, &fleet.loads);
            shortest = shortest.min(began.elapsed());
            assert!(!moves.is_empty());
        }
        shortest.as_secs_f64()
    };
    let ratio = cost(800) / cost(100);
    assert!(
        ratio < 2.0 * 8.0,
        "8 times the targets cost {ratio:.1} times as much"
    );
}
