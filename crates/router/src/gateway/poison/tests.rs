use super::*;

fn crash(fingerprint: u64) -> Crash {
    Crash {
        fingerprint,
        incarnation: Incarnation {
            target: "a".into(),
            started_ms: 1,
        },
    }
}

/// Guards against a coordinator that never hears of a crash because its predecessor was lost after
/// the report, and against reports that repeat old crashes.
#[test]
fn crashes_are_reported_to_each_coordinator() {
    let requests = PoisonRequests::default();
    requests.add_crashes(vec![crash(1)]);
    assert_eq!(requests.take_crashes(1_000), [crash(1)]);
    requests.add_crashes(vec![crash(2)]);
    assert_eq!(requests.take_crashes(31_000), [crash(2)]);
    assert!(requests.take_crashes(32_000).is_empty());
    assert!(requests.report_again(40_000));
    assert_eq!(requests.take_crashes(40_000), [crash(1), crash(2)]);
    assert!(requests.report_again(60_000));
    assert_eq!(requests.take_crashes(60_000), [crash(1), crash(2)]);
    assert!(!requests.report_again(130_000));
    assert!(requests.take_crashes(130_000).is_empty());
}

/// Guards against memory that grows with the number of crashes.
#[test]
fn a_limited_number_of_crashes_is_kept() {
    let requests = PoisonRequests::default();
    for number in 0..10 {
        let crashes = (0..200).map(|it| crash(number * 200 + it));
        requests.add_crashes(crashes.collect());
        requests.take_crashes(1_000);
    }
    assert!(requests.report_again(2_000));
    assert_eq!(requests.take_crashes(2_000).len(), MAX_UNREPORTED);
}
