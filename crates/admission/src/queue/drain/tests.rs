use super::*;

/// Guards against waits that are estimated from the number of requests instead of their work, and
/// against an estimate that leaves out what arrives meanwhile.
#[test]
fn waits() {
    struct Case {
        name: &'static str,
        slots: usize,
        left_ms: &'static [u64],
        ahead_ms: u64,
        arriving: u64,
        wait_ms: Option<u64>,
    }
    let case = |name, slots, left_ms, ahead_ms, arriving, wait_ms| Case {
        name,
        slots,
        left_ms,
        ahead_ms,
        arriving,
        wait_ms,
    };
    let cases = [
        case("a free slot", 2, &[100][..], 0, 0, Some(0)),
        case("no free slot", 2, &[300, 100], 0, 0, Some(100)),
        case(
            "uneven work: one slot at first",
            2,
            &[300, 100],
            150,
            0,
            Some(250),
        ),
        case("then two slots", 2, &[300, 100], 300, 0, Some(350)),
        case("expensive requests ahead", 1, &[0], 2_000, 0, Some(2_000)),
        case(
            "lowered limit: slots that do not return",
            1,
            &[300, 100],
            0,
            0,
            Some(300),
        ),
        case(
            "more urgent arrivals take half",
            1,
            &[0],
            100,
            500,
            Some(200),
        ),
        case(
            "more urgent arrivals take all",
            2,
            &[0, 0],
            100,
            2_000,
            None,
        ),
        case(
            "nothing ahead: arrivals do not matter",
            1,
            &[50],
            0,
            3_000,
            Some(50),
        ),
        case(
            "all members unusable count as one slot",
            0,
            &[],
            100,
            0,
            Some(100),
        ),
    ];
    for case in cases {
        let left_us = case.left_ms.iter().map(|it| it * 1_000).collect();
        let drain = Drain::new(0, case.slots, left_us);
        let wait_us = drain.wait_us(case.ahead_ms * 1_000, case.arriving);
        assert_eq!(wait_us.map(|it| it / 1_000), case.wait_ms, "{}", case.name);
    }
    let paused = Drain::new(70_000, 1, vec![30_000]);
    assert_eq!(
        paused.wait_us(0, 0),
        Some(100_000),
        "a pause delays all starts"
    );
}
