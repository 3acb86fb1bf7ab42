use super::*;

/// One look at a connection.
struct Look {
    now: Millis,
    reads: u64,
    last: Millis,
    busy: bool,
    step: Step,
}

fn look(now: Millis, (reads, last): (u64, Millis), busy: bool, step: Step) -> Look {
    Look {
        now,
        reads,
        last,
        busy,
        step,
    }
}

/// Guards against connections that are retired although something arrives on them, against silent
/// ones that are kept, and against checks of connections without requests.
#[test]
fn only_silent_connections_are_retired() {
    use Step::{Check, Retire, WaitForRequest, WaitUntil};
    let cases = [
        (
            "silent",
            vec![
                look(1_000, (1, 1_000), true, WaitUntil(1_500)),
                look(1_500, (1, 1_000), true, Check),
                look(1_500, (1, 1_000), true, WaitUntil(2_000)),
                look(2_000, (1, 1_000), true, WaitUntil(2_200)),
                look(2_200, (1, 1_000), true, Retire),
            ],
        ),
        (
            "silent, and its requests have ended meanwhile",
            vec![
                look(1_500, (1, 1_000), true, Check),
                look(1_500, (1, 1_000), false, WaitUntil(2_000)),
                look(2_200, (1, 1_000), false, Retire),
            ],
        ),
        (
            "silent from the answer to a check",
            vec![
                look(1_500, (1, 1_000), true, Check),
                look(2_000, (2, 1_501), true, WaitUntil(2_001)),
                look(2_001, (2, 1_501), true, Check),
                look(2_701, (2, 1_501), true, Retire),
            ],
        ),
        (
            "answered within the millisecond of the check",
            vec![
                look(1_500, (1, 1_000), true, Check),
                look(2_000, (2, 1_500), true, Check),
            ],
        ),
        (
            "something arrives at all times",
            vec![
                look(1_000, (1, 900), true, WaitUntil(1_400)),
                look(1_400, (7, 1_390), true, WaitUntil(1_890)),
                look(1_890, (9, 1_880), true, WaitUntil(2_380)),
            ],
        ),
        (
            "without requests, then one after a long time",
            vec![
                look(1_000, (1, 1_000), false, WaitForRequest),
                look(60_000, (1, 1_000), true, Check),
                look(60_700, (1, 1_000), true, Retire),
            ],
        ),
        (
            "answered while this host did not run",
            vec![
                look(1_500, (1, 1_000), true, Check),
                look(4_000, (1, 1_000), true, WaitUntil(4_050)),
                look(4_050, (2, 4_001), true, WaitUntil(4_501)),
            ],
        ),
        (
            "silent, and this host did not run",
            vec![
                look(1_500, (1, 1_000), true, Check),
                look(4_000, (1, 1_000), true, WaitUntil(4_050)),
                look(5_000, (1, 1_000), true, Retire),
            ],
        ),
    ];
    for (name, looks) in cases {
        let mut liveness = Liveness::default();
        for it in looks {
            let arrivals = Arrivals {
                reads: it.reads,
                last: it.last,
            };
            let step = liveness.step(it.now, arrivals, it.busy);
            assert_eq!(step, it.step, "{name}, at {}", it.now);
        }
    }
}
