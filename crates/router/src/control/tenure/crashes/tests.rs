use super::*;
use crate::ports::Revision;

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

/// A reading of a clock of the store that is `ahead` of the host's clock.
fn clock(now: Millis, ahead: Millis) -> StoreClock {
    StoreClock {
        sent: now,
        received: now,
        value: now + ahead,
    }
}

/// Hands the crashes over through the row, to a host whose clock shows `other` at `now`.
fn hand_over(crashes: &Crashes, now: Millis, other: Millis) -> Crashes {
    let rows = OwnRows {
        rows: vec![OwnRow {
            name: Crashes::ROW.to_owned(),
            rev: Revision::default(),
            value: crashes.encode(&clock(now, 500_000), now),
        }],
        ..OwnRows::default()
    };
    let store_now = now + 500_000;
    Crashes::restore(&rows, &clock(other, store_now - other), other)
}

/// Guards against a coordinator that begins to count crashes anew, so that a request goes on crashing
/// targets while coordinators change.
#[test]
fn crashes_are_counted_across_coordinators() {
    struct Case {
        name: &'static str,
        /// Times of the crashes, each at another target.
        crashes: &'static [Millis],
        /// Numbers of crashes after which another host coordinates.
        changes: &'static [usize],
        /// Number of the crash at which the request is quarantined.
        quarantined: Option<usize>,
        /// Whether a coordinator that takes over 90 s after the last crash knows the quarantine.
        known_later: bool,
    }
    let cases = [
        Case {
            name: "no change",
            crashes: &[0, 1_500, 8_000],
            changes: &[],
            quarantined: Some(3),
            known_later: true,
        },
        Case {
            name: "a change after each crash",
            crashes: &[0, 1_500, 8_000],
            changes: &[1, 2],
            quarantined: Some(3),
            known_later: true,
        },
        Case {
            name: "several changes after two crashes",
            crashes: &[0, 1_500, 40_000],
            changes: &[2, 2, 2],
            quarantined: Some(3),
            known_later: true,
        },
        Case {
            name: "crashes that are too far apart",
            crashes: &[0, 30_000, 62_000],
            changes: &[1, 2],
            quarantined: None,
            known_later: false,
        },
        Case {
            name: "a fourth crash",
            crashes: &[0, 1_000, 2_000, 3_000],
            changes: &[3],
            quarantined: Some(3),
            known_later: true,
        },
    ];
    for case in cases {
        let mut crashes = Crashes::default();
        let mut quarantined = None;
        let mut ahead = 1_000_000;
        for (number, at) in (1..).zip(case.crashes) {
            let crash = Crash {
                fingerprint: 7,
                incarnation: Incarnation {
                    target: "a".into(),
                    started_ms: number,
                },
            };
            assert!(!crashes.needs_commit() || number > 1, "{}", case.name);
            let due = crashes.record(crash, at + ahead);
            assert!(crashes.needs_commit(), "{}", case.name);
            let number = usize::try_from(number).expect("there are few crashes");
            if due && quarantined.is_none() {
                quarantined = Some(number);
            }
            for _ in case.changes.iter().filter(|it| **it == number) {
                crashes = hand_over(&crashes, at + ahead, at + ahead + 300_000);
                ahead += 300_000;
            }
        }
        assert_eq!(quarantined, case.quarantined, "{}", case.name);
        let last = case.crashes.last().expect("there is a crash") + ahead;
        let later = hand_over(&crashes, last + 90_000, 200_000);
        let known = later.quarantined(200_000).next() == Some(7);
        assert_eq!(known, case.known_later, "{}", case.name);
        let much_later = hand_over(&crashes, last + 130_000, 200_000);
        assert_eq!(much_later.quarantined(200_000).count(), 0, "{}", case.name);
    }
}

/// Guards against a row that the store refuses because it is too long, and against one that lacks the
/// requests with the most crashes.
#[test]
fn the_row_keeps_the_requests_with_the_most_crashes() {
    const MAX_ROW_BYTES: usize = 65_536;
    let mut crashes = Crashes::default();
    for number in 0..4_000 {
        let incarnation = |started_ms| Incarnation {
            target: "i-0123456789abcdef".into(),
            started_ms,
        };
        for started_ms in 0..=u64::from(number < 100) {
            let crash = Crash {
                fingerprint: u64::MAX - number,
                incarnation: incarnation(started_ms * 5_000 + number),
            };
            crashes.record(crash, 1_000 + number);
        }
    }
    assert!(crashes.encode(&clock(9_000, 0), 9_000).len() <= MAX_ROW_BYTES);
    let mut restored = hand_over(&crashes, 9_000, 9_000);
    for number in 0..100 {
        let crash = Crash {
            fingerprint: u64::MAX - number,
            incarnation: Incarnation {
                target: "b".into(),
                started_ms: 1,
            },
        };
        assert!(restored.record(crash, 9_000), "request {number}");
    }
}

/// Guards against a coordinator that stops because the row is malformed.
#[test]
fn a_malformed_row_counts_as_empty() {
    let rows = OwnRows {
        rows: vec![OwnRow {
            name: Crashes::ROW.to_owned(),
            rev: Revision::default(),
            value: b"{\"crashes\": 7}".to_vec(),
        }],
        ..OwnRows::default()
    };
    let restored = Crashes::restore(&rows, &clock(9_000, 0), 9_000);
    assert_eq!(restored.quarantined(9_000).count(), 0);
}
