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

/// Slices of each target.
const SLICES: u16 = 2;

/// Keys with requests in each slice.
const KEYS: u16 = 16;

struct Fleet {
    targets: Vec<Candidate>,
    slices: Vec<OwnedRange>,
    loads: Vec<KeyLoad>,
}

/// Returns a fleet of `count` targets with uneven loads.
fn fleet(count: u16) -> Fleet {
    let mut rng = StdRng::seed_from_u64(7);
    let target = |number: u16| Candidate {
        incarnation: Incarnation {
            target: Arc::from(format!("i-{number:08x}")),
            started_ms: 1,
        },
        capacity: 2.0,
    };
    let targets: Vec<Candidate> = (0..count).map(target).collect();
    let width = u16::MAX / (count * SLICES);
    let mut slices = Vec::new();
    let mut loads = Vec::new();
    for number in 0..count * SLICES {
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

/// Guards against moves that make the load less even, and against moves without end.
#[test]
fn rounds_even_out_the_load_and_end() {
    let mut fleet = fleet(20);
    let (most, least) = utilisations(&fleet);
    let mut rounds = 0;
    loop {
        let moves = rebalance(fleet.slices.clone(), &fleet.targets, &fleet.loads);
        if moves.is_empty() {
            break;
        }
        rounds += 1;
        assert!(rounds < 50, "moves do not end");
        for it in moves {
            let mut slices = Vec::new();
            for slice in fleet.slices {
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
    let (most_after, least_after) = utilisations(&fleet);
    assert!(rounds > 0);
    assert!(most_after < most && least_after > least);
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
