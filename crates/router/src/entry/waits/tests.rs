use super::*;

fn pool(place: &str) -> QueueId {
    QueueId::Pool {
        service: "desk".into(),
        place: place.into(),
    }
}

/// Guards against a queue that is avoided for long because it was full once, and against one that all
/// requests are sent to although it has just refused some.
#[test]
fn waits_are_forgotten_as_queues_empty() {
    struct Case {
        name: &'static str,
        wait_ms: u64,
        age_ms: Millis,
        expected_ms: u64,
    }
    let cases = [
        Case {
            name: "just learned",
            wait_ms: 800,
            age_ms: 0,
            expected_ms: 800,
        },
        Case {
            name: "one half-life later",
            wait_ms: 800,
            age_ms: 300,
            expected_ms: 400,
        },
        Case {
            name: "a second later",
            wait_ms: 800,
            age_ms: 1_000,
            expected_ms: 100,
        },
        Case {
            name: "a day later",
            wait_ms: 800,
            age_ms: 86_400_000,
            expected_ms: 0,
        },
        Case {
            name: "a free slot",
            wait_ms: 0,
            age_ms: 0,
            expected_ms: 0,
        },
    ];
    for case in cases {
        let waits = Waits::default();
        waits.learn(&pool("kita-a"), 3_000, 500);
        waits.learn(&pool("kita-a"), case.wait_ms, 1_000);
        let now = 1_000 + case.age_ms;
        let expected_ms = waits.expected_ms(&pool("kita-a"), now);
        assert_eq!(expected_ms, case.expected_ms, "{}", case.name);
        assert_eq!(waits.expected_ms(&pool("kita-b"), now), 0, "{}", case.name);
    }
}
