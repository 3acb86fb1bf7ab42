use Step::{Answer, Failure, Sync};

use super::*;

/// What a host observes.
#[derive(Clone, Copy)]
enum Step {
    Answer,
    Failure,
    /// A state that was in sync with the store so many milliseconds before.
    Sync(Millis),
}

struct Case {
    name: &'static str,
    steps: &'static [(Millis, Step)],
    complete_at: Millis,
}

const CASES: [Case; 13] = [
    Case {
        name: "no contact",
        steps: &[(100, Failure)],
        complete_at: 0,
    },
    Case {
        name: "first contact",
        steps: &[(100, Answer), (900, Answer)],
        complete_at: 2_100,
    },
    Case {
        name: "first contact after failures",
        steps: &[(100, Failure), (700, Answer), (900, Answer)],
        complete_at: 2_700,
    },
    Case {
        name: "first contact through another host",
        steps: &[(100, Sync(40)), (900, Answer)],
        complete_at: 2_100,
    },
    Case {
        name: "an outage",
        steps: &[(100, Answer), (700, Failure), (5_000, Answer)],
        complete_at: 7_000,
    },
    Case {
        name: "an outage noticed at its end",
        steps: &[(100, Answer), (4_900, Failure), (5_000, Answer)],
        complete_at: 7_000,
    },
    Case {
        name: "one failed call",
        steps: &[
            (100, Answer),
            (5_000, Answer),
            (5_300, Failure),
            (5_500, Answer),
        ],
        complete_at: 2_100,
    },
    Case {
        name: "no calls for a while",
        steps: &[(100, Answer), (9_000, Answer)],
        complete_at: 2_100,
    },
    Case {
        name: "only this host could not reach the store",
        steps: &[
            (100, Answer),
            (700, Failure),
            (1_700, Sync(300)),
            (3_100, Sync(300)),
            (4_500, Sync(300)),
            (5_000, Answer),
        ],
        complete_at: 2_100,
    },
    Case {
        name: "another host tells of the return",
        steps: &[
            (100, Answer),
            (700, Failure),
            (4_900, Sync(300)),
            (5_000, Answer),
        ],
        complete_at: 6_900,
    },
    Case {
        name: "other hosts know nothing newer",
        steps: &[
            (100, Answer),
            (700, Failure),
            (4_900, Sync(4_300)),
            (5_000, Answer),
        ],
        complete_at: 7_000,
    },
    Case {
        name: "an open watch is answered late, and another host is back first",
        steps: &[
            (100, Answer),
            (1_200, Sync(150)),
            (2_000, Failure),
            (3_000, Sync(300)),
            (3_700, Answer),
        ],
        complete_at: 5_000,
    },
    Case {
        name: "two outages",
        steps: &[
            (100, Answer),
            (700, Failure),
            (5_000, Answer),
            (5_500, Failure),
            (8_000, Answer),
        ],
        complete_at: 10_000,
    },
];

/// Guards against targets that count as gone because their entries expired during an outage, and
/// against keeping targets that left because a single call failed.
#[test]
fn the_list_is_complete_some_time_after_an_outage() {
    for case in CASES {
        let mut contact = StoreContact::default();
        for (now, step) in case.steps {
            match step {
                Answer => contact.on_answer(*now),
                Failure => contact.on_failure(),
                Sync(age) => contact.on_sync(now - age, *now),
            }
        }
        assert_eq!(contact.complete_at(), case.complete_at, "{}", case.name);
    }
}
