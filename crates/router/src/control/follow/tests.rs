use super::*;

/// Guards against a host with little power that becomes the coordinator of a large deployment
/// because it noticed first that the lease was free, and against hosts of equal power that all wait
/// for a more powerful one.
#[test]
fn hosts_with_less_power_wait_longer_for_the_lease() {
    struct Case {
        name: &'static str,
        own: u32,
        others: &'static [u32],
        wait_ms: u64,
    }
    let cases = [
        Case {
            name: "equal",
            own: 200,
            others: &[200, 200],
            wait_ms: 100,
        },
        Case {
            name: "alone",
            own: 100,
            others: &[],
            wait_ms: 200,
        },
        Case {
            name: "strongest",
            own: 500,
            others: &[100, 500, 200],
            wait_ms: 40,
        },
        Case {
            name: "a fifth of the strongest",
            own: 100,
            others: &[100, 500, 200],
            wait_ms: 1_200,
        },
        Case {
            name: "far weaker",
            own: 10,
            others: &[1_000],
            wait_ms: 1_600,
        },
    ];
    for case in cases {
        let wait = power_wait(case.own, case.others.iter().copied());
        assert_eq!(wait, Duration::from_millis(case.wait_ms), "{}", case.name);
    }
}
