//! The stated bounds of placement, on the load of the benchmark.

#[allow(dead_code, reason = "the benchmark prints more than the tests assert")]
#[path = "../benches/scenario/mod.rs"]
mod scenario;

use std::thread;

use scenario::{
    bounds::Bounds,
    cluster::{ServiceSpec, float},
    method::Kind,
    report::{self, Deployment, PlannerOutcomes},
};

struct Case {
    name: &'static str,
    measured: f64,
    bound: f64,
}

fn check(outcomes: &PlannerOutcomes, bounds: &Bounds) {
    let (eventful, steady) = (&outcomes.eventful, &outcomes.steady);
    let case = |name, measured, bound| Case {
        name,
        measured,
        bound,
    };
    let cases = [
        case("peak to mean", eventful.peak, bounds.peak_to_mean.bound),
        case("churn on loss", eventful.loss, bounds.loss_churn.bound),
        case("churn on join", eventful.join, bounds.join_churn.bound),
        case("steady peak", steady.peak, bounds.peak_to_mean.bound),
        case(
            "steady moves",
            float(steady.moving_rounds),
            bounds.steady_moves.bound,
        ),
    ];
    let service = outcomes.spec.name;
    for it in cases {
        assert!(
            it.measured <= it.bound,
            "{service}, seed {}: {} is {}, the bound is {}",
            outcomes.spec.seed,
            it.name,
            it.measured,
            it.bound
        );
    }
}

fn service(deployment: usize, service: usize, seed: u64) -> (ServiceSpec, Deployment) {
    let deployment = report::deployments()[deployment];
    let spec = ServiceSpec {
        seed,
        ..deployment.services[service]
    };
    (spec, deployment)
}

// Guards against a planner that leaves loads uneven, moves too much on a loss or a join, or reacts
// to measurement errors.
#[test]
fn bounds_hold() {
    let bounds = Bounds::read();
    thread::scope(|scope| {
        for deployment in report::deployments() {
            for spec in deployment.services {
                let bounds = &bounds;
                scope.spawn(move || check(&report::run_planner(spec, deployment.balance), bounds));
            }
        }
    });
}

// Guards against a planner that performs worse than simple hashing or greedy rebalancing.
#[test]
fn planner_outperforms_every_baseline() {
    thread::scope(|scope| {
        for deployment in report::deployments() {
            scope.spawn(move || {
                let rows = report::compare(&deployment);
                let (planner, baselines) = rows.split_first().expect("the planner is first");
                assert_eq!(planner.kind, Kind::Planner);
                for row in baselines {
                    let name = row.kind.name();
                    let (sum, other) = (planner.sum, row.sum);
                    assert!(sum < other, "{}: {name} {other}, {sum}", deployment.name);
                }
            });
        }
    });
}

// Guards against an unnecessary burst of moves after the loss of a target with a key so hot that
// its new owner must give up most of its other slices.
#[test]
fn loss_of_hottest_key_moves_little() {
    let (spec, deployment) = service(1, 0, 1_030);
    check(
        &report::run_planner(spec, deployment.balance),
        &Bounds::read(),
    );
}

// Guards against the same burst where the new owner has no hot keys to give up. Listed in
// KNOWN-RED.txt.
#[test]
fn loss_of_hottest_key_among_ordinary_slices_moves_little() {
    let (spec, deployment) = service(0, 0, 1_001);
    check(
        &report::run_planner(spec, deployment.balance),
        &Bounds::read(),
    );
}
