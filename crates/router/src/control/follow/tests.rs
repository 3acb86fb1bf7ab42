use super::*;

/// Guards against a weak host that coordinates a large deployment because it noticed first that the
/// lease was free, and against hosts of equal power that all wait for a stronger one.
#[test]
fn weak_hosts_leave_the_lease_to_strong_ones() {
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
