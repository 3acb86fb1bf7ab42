//! Planning times and sizes of the planner's input.

use std::{
    mem::size_of,
    sync::Arc,
    time::{Duration, Instant},
};

use placement::{
    Balance, HotKey, Input, PlannerState, RegionShare, SliceInput, TargetInput, TargetState, plan,
    spread,
};
use smallvec::smallvec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::report;

/// Numbers of targets and slices.
const SIZES: [(usize, usize); 5] = [
    (24, 384),
    (56, 3_750),
    (112, 7_500),
    (225, 15_000),
    (450, 30_000),
];
/// Number of runs; the median is printed.
const RUNS: usize = 9;

/// Prints a line for each size.
pub fn print(balance: Balance) {
    println!(
        "{:>7} {:>7} {:>10} {:>10} {:>12} {:>10} {:>10}",
        "targets", "slices", "steady ms", "uneven ms", "sixth lost ms", "spread ms", "input kB"
    );
    for (targets, slices) in SIZES {
        let even = generate_input(targets, slices, 0.0);
        let settled = settle(&even, &balance);
        let uneven = settle(&generate_input(targets, slices, 2.0), &balance);
        let mut lost = settled.clone();
        for target in lost.targets.iter_mut().step_by(6) {
            target.state = TargetState::Lost;
        }
        let one = Arc::clone(&lost.targets[0].name);
        println!(
            "{targets:>7} {slices:>7} {:>10.2} {:>10.2} {:>12.2} {:>10.2} {:>10.1}",
            median(|| drop(plan(&settled, &balance))),
            median(|| drop(plan(&uneven, &balance))),
            median(|| drop(plan(&lost, &balance))),
            median(|| drop(spread(&settled, &balance, &one))),
            kilobytes(&even),
        );
    }
    println!(
        "bytes of planner input: {} per slice, {} and its names per target, {} per hot key",
        size_of::<SliceInput>(),
        size_of::<TargetInput>(),
        size_of::<HotKey>()
    );
}

/// Input in which the loads of targets differ by up to `spread` times the lowest.
fn generate_input(targets: usize, slices: usize, spread: f64) -> Input {
    let data_centres = report::large().data_centres;
    let mut names = Vec::with_capacity(targets);
    let mut target_inputs = Vec::with_capacity(targets);
    for nth in 0..targets {
        let (data_centre, region) = data_centres[nth % data_centres.len()];
        let name: Arc<str> = format!("t{nth:03}").into();
        names.push(Arc::clone(&name));
        target_inputs.push(TargetInput {
            name,
            capacity: 3,
            data_centre: data_centre.into(),
            region: region.into(),
            cold_ms: 200,
            state: TargetState::Live,
        });
    }
    let width = u64::MAX / slices as u64;
    let mut slice_inputs = Vec::with_capacity(slices);
    for nth in 0..slices {
        let low = width * nth as u64;
        let last = nth + 1 == slices;
        let random = xxh3_64_with_seed(&(nth % targets).to_le_bytes(), 7) >> 32;
        let unit = f64::from(u32::try_from(random).unwrap_or(0)) / f64::from(u32::MAX);
        let share = |region: &str, share| RegionShare {
            region: region.into(),
            share,
        };
        slice_inputs.push(SliceInput {
            low,
            high: if last { u64::MAX } else { low + width - 1 },
            owner: Arc::clone(&names[nth % targets]),
            load: 100.0 * (1.0 + spread * unit),
            callers: smallvec![share("a", unit), share("b", 1.0 - unit)],
            bytes: 1_000_000,
        });
    }
    let hot = (0..42).map(|nth| HotKey {
        hash: xxh3_64_with_seed(&[nth], 9),
        load: 2_000.0,
    });
    Input {
        service: "large".into(),
        slices: slice_inputs,
        targets: target_inputs,
        hot: hot.collect(),
        link_price: 0.2,
        answer_bytes: 10_000,
        now_ms: 0,
        state: PlannerState::default(),
    }
}

/// The input of a later round with the state that earlier rounds of the same load produce.
fn settle(input: &Input, balance: &Balance) -> Input {
    let mut input = input.clone();
    for _ in 0..3 {
        input.state = plan(&input, balance).state;
        input.now_ms += 2_000;
    }
    input
}

fn median(run: impl Fn()) -> f64 {
    let mut times: Vec<Duration> = Vec::with_capacity(RUNS);
    for _ in 0..RUNS {
        let start = Instant::now();
        run();
        times.push(start.elapsed());
    }
    times.sort_unstable();
    times[RUNS / 2].as_secs_f64() * 1_000.0
}

/// Memory of the input in thousands of bytes, without names, whose memory is shared.
fn kilobytes(input: &Input) -> f64 {
    let slices = size_of::<SliceInput>() * input.slices.len();
    let targets = size_of::<TargetInput>() * input.targets.len();
    let hot = size_of::<HotKey>() * input.hot.len();
    super::cluster::float(slices + targets + hot) / 1_000.0
}
