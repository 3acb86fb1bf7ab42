//! Asserts the bounds of `bounds.yaml` with the model of the bench `overload`.

#[path = "../benches/model/mod.rs"]
mod model;

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::path::Path;
use std::thread::ScopedJoinHandle;

use admission::QueueOrder;
use serde::Deserialize;

use self::model::{BURSTS, Figures, POLICIES, Policy, RouteFigures, SCENARIOS, Scenario, run};

/// Seeds of the runs. Four runs take about 20 s in a debug build.
const SEEDS: RangeInclusive<u64> = 1..=4;
const SEEDS_COUNT: f64 = 4.0;
/// Cycles of the runs with bursts. The 40 cycles of the bench take minutes in a debug build.
const BURST_CYCLES: u64 = 8;

#[derive(Deserialize)]
struct Entry {
    bound: f64,
}

struct Bounds(BTreeMap<String, Entry>);

impl Bounds {
    fn read() -> Self {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../bounds.yaml");
        let text = std::fs::read_to_string(path).expect("bounds.yaml is readable");
        let mut all: BTreeMap<String, serde_yaml_ng::Value> =
            serde_yaml_ng::from_str(&text).expect("bounds.yaml is YAML");
        let own = all
            .remove("admission")
            .expect("bounds.yaml has a section for admission");
        Self(serde_yaml_ng::from_value(own).expect("each entry of the section has a bound"))
    }

    fn get(&self, name: &str) -> f64 {
        self.0[name].bound
    }

    fn are_met(&self, figures: &Figures) -> bool {
        figures.goodput_percent() >= self.get("goodput_percent")
            && figures.late_percent() <= self.get("late_percent")
            && figures.unfairness() <= self.get("unfairness")
    }
}

/// Guards against a queue that under overload answers fewer requests, accepts requests that time
/// out, or serves some callers less than others. A single run starts too few requests on a slow
/// target to distinguish 1 percent of late ones from 2, so their percentage is the mean over the
/// seeds.
#[test]
fn the_queue_meets_the_bounds() {
    let bounds = &Bounds::read();
    let policy = Policy::Gateway(QueueOrder::Adaptive);
    let overload = SCENARIOS.iter().filter(|it| it.load_percent >= 200);
    for scenario in overload {
        let runs: Vec<Figures> = std::thread::scope(|scope| {
            let start = |seed| scope.spawn(move || run(scenario, policy, seed));
            let threads: Vec<_> = SEEDS.map(start).collect();
            let join = |it: ScopedJoinHandle<_>| it.join().expect("the run does not panic");
            threads.into_iter().map(join).collect()
        });
        let late: f64 = runs.iter().map(|it| it.late_percent() / SEEDS_COUNT).sum();
        for figures in &runs {
            let row = figures.row(scenario, policy);
            assert!(
                figures.goodput_percent() >= bounds.get("goodput_percent"),
                "{row}"
            );
            assert!(late <= bounds.get("late_percent"), "mean {late}: {row}");
            assert!(figures.unfairness() <= bounds.get("unfairness"), "{row}");
            let others = figures.other_keys_percent();
            let other_keys_are_served =
                scenario.hot_percent == 0 || others >= bounds.get("other_keys_percent");
            assert!(other_keys_are_served, "{row}");
        }
    }
}

/// Guards against a burst of two routes in which late requests take the slots of those that could
/// be in time, requests are held for long and then refused, or the less urgent route is served
/// better. The baseline is the order of queues whose configuration states no uneven load.
#[test]
fn bursts_are_shed_by_objective() {
    for mut scenario in BURSTS.into_iter().take(3) {
        let burst = scenario.burst.as_mut().expect("the scenario has bursts");
        burst.cycles = BURST_CYCLES;
        let scenario = &scenario;
        let former = run(scenario, Policy::Gateway(QueueOrder::Adaptive), 1);
        let now = run(scenario, Policy::Gateway(QueueOrder::Objective), 1);
        let cells = |it: &Figures| {
            let routes = it.routes.iter();
            routes.map(RouteFigures::cells).collect::<Vec<_>>()
        };
        let text = format!("{}: {:?}, {:?}", scenario.name, cells(&former), cells(&now));
        let in_time = |it: &Figures| it.routes.iter().map(|it| it.in_time).sum::<u64>();
        let in_time_first = |it: &Figures| it.routes.iter().map(|it| it.in_time_first).sum::<u64>();
        assert!(in_time(&now) > in_time(&former), "{text}");
        assert!(in_time_first(&now) > in_time_first(&former), "{text}");
        let [urgent, other] = &now.routes[..] else {
            panic!("the scenario has two routes");
        };
        assert!(
            urgent.in_time_percent() >= other.in_time_percent(),
            "{text}"
        );
        // Parts of the requests that were answered, compared by cross-multiplication.
        let [urgent_answered, other_answered] = [urgent, other].map(|it| it.in_time + it.late);
        assert!(
            urgent_answered * other.offered >= other_answered * urgent.offered,
            "{text}"
        );
        // The more urgent route is refused at once or served. What it displaces is told soon: a
        // request that waits for half of its objective cannot be in time behind it.
        assert!(urgent.refused_held * 200 <= urgent.offered, "{text}");
        for (before, after) in former.routes.iter().zip(&now.routes) {
            assert!(after.refused_held * 4 <= before.refused_held, "{text}");
            assert!(after.longest_held_us < 800_000, "{text}");
        }
        assert!(other.longest_held_us < 500_000, "{text}");
    }
}

/// Guards against bounds that are so loose that every policy meets them.
#[test]
fn baselines_miss_the_bounds() {
    let bounds = Bounds::read();
    let scenario = |name| -> &Scenario {
        let found = SCENARIOS.iter().find(|it| it.name == name);
        found.expect("the scenario exists")
    };
    for policy in POLICIES {
        let name = match policy {
            Policy::Unbounded | Policy::TenHosts => "short deadline",
            Policy::Fixed => "greedy caller",
            Policy::Gateway(_) | Policy::Escalating => continue,
        };
        let figures = run(scenario(name), policy, 1);
        let row = figures.row(scenario(name), policy);
        assert!(!bounds.are_met(&figures), "{row}");
    }
}
