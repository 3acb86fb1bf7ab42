use proptest::prelude::*;

use super::*;

/// Guards against an answer that counts as recent because it arrived late, and against a watch that
/// counts as old because the store held it.
#[test]
fn an_answer_is_as_recent_as_the_store_wrote_it() {
    struct Case {
        name: &'static str,
        sent: Millis,
        now: Millis,
        store_ms: Millis,
        at: Millis,
    }
    let cases = [
        Case {
            name: "held for a second",
            sent: 100,
            now: 1_110,
            store_ms: 6_000,
            at: 1_080,
        },
        Case {
            name: "a second on its way",
            sent: 100,
            now: 1_110,
            store_ms: 5_000,
            at: 100,
        },
        Case {
            name: "the store's clock jumped ahead",
            sent: 100,
            now: 1_110,
            store_ms: 900_000,
            at: 1_110,
        },
        Case {
            name: "the store's clock went back",
            sent: 100,
            now: 1_110,
            store_ms: 7,
            at: 100,
        },
    ];
    for case in cases {
        let first = SyncPoint::new(100, 5_000);
        let next = first.next(case.sent, case.now, case.store_ms);
        assert_eq!(next.at(), case.at, "{}", case.name);
    }
}

proptest! {
    /// Guards against a point after the time at which the store wrote the answer, for any delays of
    /// calls and answers and a store's clock that drifts by up to 1%.
    #[test]
    fn a_point_is_never_too_recent(
        calls in prop::collection::vec((0_u64..900, 0_u64..1_000, 0_u64..900, 0_u64..200), 1..40),
        drift in 9_900_u64..10_100,
    ) {
        let store_clock = |at: Millis| at * drift / 10_000;
        let mut point: Option<SyncPoint> = None;
        let mut now = 1_000;
        for (there, held, back, pause) in calls {
            let sent = now;
            let written = sent + there + held;
            now = written + back;
            let store_ms = store_clock(written);
            let next = match point {
                Some(point) => point.next(sent, now, store_ms),
                None => SyncPoint::new(sent, store_ms),
            };
            prop_assert!(next.at() <= written + 1, "{} after {written}", next.at());
            point = Some(next);
            now += pause;
        }
    }
}
