use super::*;

struct Case {
    name: &'static str,
    /// Fingerprint, target, start of its incarnation, time.
    crashes: &'static [(u64, &'static str, u64, Millis)],
    quarantined: &'static [u64],
}

const CASES: [Case; 4] = [
    Case {
        name: "three targets crash on the same request",
        crashes: &[(7, "a", 1, 0), (7, "b", 1, 100), (7, "c", 1, 200)],
        quarantined: &[7],
    },
    Case {
        name: "many copies of a request are in flight at two crashes",
        crashes: &[
            (7, "a", 1, 0),
            (7, "a", 1, 0),
            (7, "b", 1, 50),
            (7, "b", 1, 50),
        ],
        quarantined: &[],
    },
    Case {
        name: "a target crashes on it in each of its incarnations",
        crashes: &[
            (7, "a", 1, 0),
            (7, "a", 2, 9_000),
            (8, "a", 2, 9_000),
            (7, "a", 3, 18_000),
        ],
        quarantined: &[7],
    },
    Case {
        name: "crashes that are too far apart do not count together",
        crashes: &[(7, "a", 1, 0), (7, "b", 1, 10_000), (7, "c", 1, 61_000)],
        quarantined: &[],
    },
];

/// Guards against a request that crashes one target after another, and against quarantining a
/// request that only happened to be in flight.
#[test]
fn requests_are_quarantined_at_the_third_crash() {
    for case in CASES {
        let mut crashes = Crashes::default();
        let mut quarantined = Vec::new();
        for &(fingerprint, target, started_ms, now) in case.crashes {
            let incarnation = Incarnation {
                target: target.into(),
                started_ms,
            };
            if crashes.record(
                Crash {
                    fingerprint,
                    incarnation,
                },
                now,
            ) {
                quarantined.push(fingerprint);
            }
        }
        assert_eq!(quarantined, case.quarantined, "{}", case.name);
    }
}
