use super::*;

fn idle() -> Candidate {
    Candidate {
        running: 0,
        slots: 4,
        foreign: 0.0,
        expected_ms: 200.0,
        last_used: 0,
    }
}

/// Guards against requests that go to a slow machine or a full target while a better one is free, and
/// against all requests going to the one that looked best.
#[test]
fn the_earliest_end_is_preferred() {
    struct Case {
        name: &'static str,
        preferred: Candidate,
        other: Candidate,
    }
    let cases = [
        Case {
            name: "a fast target before a slow one",
            preferred: idle(),
            other: Candidate {
                expected_ms: 600.0,
                ..idle()
            },
        },
        Case {
            name: "a free slot before a full fast target",
            preferred: Candidate {
                expected_ms: 600.0,
                ..idle()
            },
            other: Candidate {
                running: 4,
                ..idle()
            },
        },
        Case {
            name: "requests of other hosts occupy slots too",
            preferred: Candidate {
                running: 2,
                ..idle()
            },
            other: Candidate {
                foreign: 4.6,
                ..idle()
            },
        },
        Case {
            name: "the less busy of two alike",
            preferred: Candidate {
                expected_ms: 210.0,
                ..idle()
            },
            other: Candidate {
                running: 1,
                ..idle()
            },
        },
        Case {
            name: "two alike take turns",
            preferred: idle(),
            other: Candidate {
                last_used: 7,
                ..idle()
            },
        },
        Case {
            name: "one without a slot comes last",
            preferred: Candidate {
                running: 4,
                expected_ms: 900.0,
                ..idle()
            },
            other: Candidate { slots: 0, ..idle() },
        },
    ];
    for case in cases {
        let (preferred, other) = (Preference::of(&case.preferred), Preference::of(&case.other));
        assert!(preferred < other, "{}", case.name);
    }
}

/// Guards against a target that is avoided, or used, because of what it said long ago, and against an
/// average that takes the slowness of the machine for one of the target.
#[test]
fn reports_lose_weight_with_age() {
    let report = |slowness| ReportedLoad {
        running: 3,
        waiting: 2,
        slots: 4,
        slowness,
    };
    let mut pace = TargetPace::default();
    assert!(pace.expected_ms(0) < 1.0, "nothing is known");
    pace.on_report(1_000, report(300), 1);
    pace.on_answer(1_000, 600);
    assert!((pace.expected_ms(1_000) - 600.0).abs() < 1.0);
    assert!((pace.foreign_at(1_000) - 4.0).abs() < 0.01);
    // Long afterwards the machine is expected to be as usual.
    assert!((pace.expected_ms(9_000) - 200.0).abs() < 1.0);
    assert!(pace.foreign_at(9_000) < 0.01);
    pace.on_report(9_000, report(100), 5);
    assert!(pace.foreign_at(9_000) < 0.01);
}

/// Guards against a load statement that makes a target look infinitely fast or slow.
#[test]
fn odd_reports_are_bounded() {
    for slowness in [0, u32::MAX] {
        let mut pace = TargetPace::default();
        let load = ReportedLoad {
            running: u32::MAX,
            waiting: u32::MAX,
            slots: 0,
            slowness,
        };
        pace.on_report(5, load, 0);
        pace.on_answer(5, 200);
        let expected = pace.expected_ms(5);
        assert!(expected.is_finite() && expected > 0.0, "{slowness}");
    }
}
