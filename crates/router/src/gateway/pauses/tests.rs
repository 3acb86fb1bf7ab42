use std::sync::Arc;

use proptest::{collection::vec, proptest};

use super::*;

fn incarnation(started_ms: u64) -> Incarnation {
    Incarnation {
        target: Arc::from("a1"),
        started_ms,
    }
}

/// Guards against a burst at the end of a pause.
#[test]
fn slots_return_step_by_step() {
    struct Case {
        now: Millis,
        slots: usize,
    }
    let pause = Pause { until: 1_000 };
    let cases = [
        (0, 0),
        (999, 0),
        (1_000, 1),
        (1_099, 1),
        (1_100, 2),
        (1_200, 4),
        (1_300, 5),
        (u64::MAX, 5),
    ];
    for (now, slots) in cases {
        let case = Case { now, slots };
        assert_eq!(pause.slots(case.now, 5), case.slots, "at {now} ms");
    }
    assert_eq!(Pause::default().slots(0, 5), 5);
    assert_eq!(pause.slots(1_200, 0), 0);
}

/// Guards against the pause of a process that has ended.
#[test]
fn a_pause_ends_with_the_incarnation() {
    let mut pauses = Pauses::default();
    assert_eq!(
        pauses.extend(&incarnation(1), 0, 500),
        (Pause { until: 500 }, true)
    );
    assert!(pauses.get(&incarnation(1)).is_active(499));
    assert!(!pauses.get(&incarnation(2)).is_active(499));
    assert_eq!(pauses.count(499), 1);
    assert_eq!(pauses.count(500), 0);
}

proptest! {
    /// Guards against a later refusal that shortens a pause.
    #[test]
    fn a_pause_is_never_shortened(
        requests in vec((0_u64..300, 0_u64..1_000), 1..30),
        probe in 0_u64..2_000,
    ) {
        let mut pauses = Pauses::default();
        let mut now = 0;
        let mut end = 0;
        for (step, pause_ms) in requests {
            now += step;
            let was_active = now < end;
            let (pause, is_new) = pauses.extend(&incarnation(1), now, pause_ms);
            end = end.max(now + pause_ms);
            assert!(!was_active || pause.until == end);
            assert_eq!(is_new, !was_active);
            let at = now + probe;
            assert_eq!(pauses.get(&incarnation(1)).slots(at, 4) == 0, at < end);
        }
    }
}
