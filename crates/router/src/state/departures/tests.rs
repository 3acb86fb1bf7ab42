use proptest::prelude::*;

use super::*;

const DRAIN_MS: Millis = 2_000;

fn incarnation(target: &str, started_ms: u64) -> Incarnation {
    Incarnation {
        target: target.into(),
        started_ms,
    }
}

/// Guards against a target that serves longer the more often it says that it leaves, and against
/// another incarnation that counts as leaving.
#[test]
fn the_first_answer_decides() {
    struct Case {
        incarnation: Incarnation,
        closed_from: Option<Millis>,
    }
    let mut departures = Departures::default();
    assert!(departures.learn(&incarnation("a", 1), 100));
    assert!(!departures.learn(&incarnation("a", 1), 900));
    let cases = [
        Case {
            incarnation: incarnation("a", 1),
            closed_from: Some(2_050),
        },
        Case {
            incarnation: incarnation("a", 2),
            closed_from: None,
        },
        Case {
            incarnation: incarnation("b", 1),
            closed_from: None,
        },
    ];
    for case in cases {
        let closed_from = departures.closed_from(&case.incarnation, DRAIN_MS);
        assert_eq!(closed_from, case.closed_from, "{:?}", case.incarnation);
    }
}

/// Guards against a leaving target that counts as ready because it was forgotten.
#[test]
fn what_still_runs_is_not_forgotten() {
    let mut departures = Departures::default();
    let [kept, ended, recent] = [1, 2, 3].map(|it| incarnation("a", it));
    departures.learn(&kept, 100);
    departures.learn(&ended, 100);
    departures.learn(&recent, 500);
    departures.forget(400, |it| *it == kept);
    let left: Vec<u64> = departures
        .iter(500)
        .map(|it| it.incarnation.started_ms)
        .collect();
    assert_eq!(left, [1, 3]);
}

proptest! {
    /// Guards against a request that is sent to a target `drain_s` after it was known to leave, and
    /// against one that is refused long before.
    #[test]
    fn nothing_is_admitted_after_the_drain(
        answers in prop::collection::vec((0_u64..3, 0_u64..9_000), 1..20),
        arrived in 0_u64..12_000,
    ) {
        let mut answers = answers;
        answers.sort_by_key(|it| it.1);
        let mut departures = Departures::default();
        for (started_ms, at) in &answers {
            departures.learn(&incarnation("a", *started_ms), *at);
        }
        for started_ms in 0..3 {
            let first = answers.iter().find(|it| it.0 == started_ms).map(|it| it.1);
            let closed = departures.closed_from(&incarnation("a", started_ms), DRAIN_MS);
            let admitted = closed.is_none_or(|it| arrived < it);
            let Some(first) = first else {
                prop_assert!(admitted);
                continue;
            };
            prop_assert!(!admitted || arrived < first + DRAIN_MS);
            prop_assert!(admitted || arrived + 100 >= first + DRAIN_MS);
        }
    }
}
