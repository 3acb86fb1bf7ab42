//! Prints how the queue and simpler policies handle overload, as a table. The figures are the same
//! on each run; `tests/overload.rs` asserts the bounds of `bounds.yaml` with the same code.
//!
//! `cargo bench -p admission --bench overload`

mod model;

use self::model::{BURSTS, POLICIES, SCENARIOS, run};

/// Seed of the runs in the table.
const SEED: u64 = 1;

const TABLE_HEADER: &str = "\
| scenario | load | policy | goodput | late | p99/deadline | p50 ms | refused | refusal p99 ms \
| shed | unfairness | other keys |
|---|---|---|---|---|---|---|---|---|---|---|---|";

const ROUTES_HEADER: &str = "\
| scenario | policy | priority | in time | in time since first sent | late | cancelled | lost \
| refused at once | refused after waiting | longest wait ms |
|---|---|---|---|---|---|---|---|---|---|---|";

fn main() {
    println!("{ROUTES_HEADER}");
    for scenario in &BURSTS {
        for policy in POLICIES {
            let figures = run(scenario, policy, SEED);
            for (priority, route) in figures.routes.iter().enumerate() {
                let name = scenario.name;
                println!(
                    "| {name} | {} | {priority} | {}",
                    policy.name(),
                    route.cells()
                );
            }
        }
    }
    println!();
    println!("{TABLE_HEADER}");
    for scenario in &SCENARIOS {
        for policy in POLICIES {
            let figures = run(scenario, policy, SEED);
            println!("{}", figures.row(scenario, policy));
        }
    }
}
