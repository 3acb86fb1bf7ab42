//! Guards against violations of exclusive ownership that the check of the joined records overlooks.

use testkit::{
    history::{History, Run},
    target::Entry,
};

struct Case {
    name: &'static str,
    /// Target, generation, start and end of each run of one key.
    runs: &'static [(&'static str, u64, u64, u64)],
    violations: usize,
}

const CASES: [Case; 6] = [
    Case {
        name: "one after the other",
        runs: &[("a", 1, 0, 5), ("b", 2, 5, 9)],
        violations: 0,
    },
    Case {
        name: "at the same time on one target",
        runs: &[("a", 1, 0, 5), ("a", 1, 3, 9)],
        violations: 0,
    },
    Case {
        name: "at the same time on two targets",
        runs: &[("a", 1, 0, 5), ("b", 2, 4, 9)],
        violations: 1,
    },
    Case {
        name: "an older generation",
        runs: &[("a", 2, 0, 5), ("b", 1, 6, 9)],
        violations: 1,
    },
    Case {
        name: "back after a move",
        runs: &[("a", 1, 0, 5), ("b", 2, 6, 9), ("a", 1, 10, 11)],
        violations: 1,
    },
    Case {
        name: "a long run during two others",
        runs: &[("a", 1, 0, 20), ("a", 1, 2, 3), ("b", 2, 8, 9)],
        violations: 1,
    },
];

fn check(case: &Case) {
    let run = |(target, generation, start_us, end_us): &(&str, u64, u64, u64)| Run {
        target: (*target).to_owned(),
        end_us: *end_us,
        entry: Entry {
            generation: *generation,
            start_us: *start_us,
            idempotency_key: "once".to_owned(),
            ..Entry::default()
        },
    };
    let history = History::new(case.runs.iter().rev().map(run).collect());
    assert_eq!(history.violations().len(), case.violations, "{}", case.name);
    assert_eq!(history.repeated(), [("once".to_owned(), case.runs.len())]);
}

#[test]
fn violations_are_found() {
    for case in &CASES {
        check(case);
    }
}
