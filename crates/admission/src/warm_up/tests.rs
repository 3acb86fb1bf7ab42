use std::collections::VecDeque;

use super::*;

const INTERVAL_MS: u64 = 200;
const WARMUP_MS: u64 = 3_000;

/// Most requests that a cold target may get in any second from all hosts.
const MOST_PER_S: usize = 15;

/// An input of the state machine at a time.
#[derive(Clone, Copy, Debug)]
enum Input {
    Entry(u64),
    /// An entry that was learned at a time is read once more.
    Again(Millis, u64),
    Failure,
    Restart,
    Revoked(u64),
    Shared(bool),
    Start,
    /// Asks for a health check.
    Check,
    /// The result of a health check that was sent at a time.
    Checked(u64, Option<u64>),
}

fn apply(warm_up: &mut WarmUp, now: Millis, input: Input) -> bool {
    match input {
        Input::Entry(cold_ms) => warm_up.on_entry(now, cold_ms),
        Input::Again(learned, cold_ms) => warm_up.on_entry(learned, cold_ms),
        Input::Failure => warm_up.doubt(now),
        Input::Restart => warm_up.on_restart(now),
        Input::Revoked(at) => warm_up.on_revoked(at),
        Input::Shared(shared) => warm_up.set_shared(shared),
        Input::Start => warm_up.on_start(now),
        Input::Check => return warm_up.take_check(now),
        Input::Checked(sent, cold_ms) => warm_up.on_check(now, sent, cold_ms),
    }
    true
}

struct Case {
    failure: &'static str,
    inputs: &'static [(Millis, Input)],
    /// When the state is asked for, and the earliest next start; `None` if the target is warm.
    at: Millis,
    next_start: Option<Millis>,
}

fn case(
    failure: &'static str,
    inputs: &'static [(Millis, Input)],
    at: Millis,
    next_start: Option<Millis>,
) -> Case {
    Case {
        failure,
        inputs,
        at,
        next_start,
    }
}

fn run(cases: impl IntoIterator<Item = Case>) {
    for case in cases {
        let mut warm_up = WarmUp::new(INTERVAL_MS, WARMUP_MS);
        for (now, input) in case.inputs {
            assert!(apply(&mut warm_up, *now, *input), "{}", case.failure);
        }
        let next_start = warm_up.next_start(case.at);
        assert_eq!(next_start, case.next_start, "{}", case.failure);
    }
}

/// Guards against the failures that the cases name.
#[test]
fn pace_follows_entries_and_events() {
    use Input::{Entry, Failure, Restart, Revoked, Shared, Start};
    run([
        case("a target without news is limited", &[], 100, None),
        case(
            "a cold target is not limited",
            &[(100, Entry(3_000)), (100, Start)],
            150,
            Some(300),
        ),
        case(
            "a cold target stays limited after its cold time",
            &[(100, Entry(3_000)), (100, Start)],
            3_100,
            None,
        ),
        case(
            "starts that were not used are made up for in a burst",
            &[(100, Entry(3_000)), (100, Start), (2_000, Start)],
            2_050,
            Some(2_200),
        ),
        case(
            "a request of before the event does not count for the pace",
            &[(1_000, Start), (1_050, Failure)],
            1_060,
            Some(1_200),
        ),
        case(
            "a late entry of before the event makes the target warm",
            &[(1_000, Failure), (1_010, Entry(0)), (1_010, Start)],
            1_020,
            Some(1_210),
        ),
        case(
            "a later entry does not make the target warm",
            &[(1_000, Failure), (4_000, Entry(0))],
            4_010,
            None,
        ),
        case(
            "another incarnation counts as warm as the former one",
            &[(600, Start), (650, Restart)],
            660,
            Some(800),
        ),
        case(
            "the targets of a returning data centre count as warm",
            &[(600, Start), (650, Revoked(640))],
            660,
            Some(800),
        ),
        case(
            "two gateways that know of each other take the full pace",
            &[(100, Entry(3_000)), (100, Start), (110, Shared(true))],
            150,
            Some(500),
        ),
    ]);
}

/// Guards against the failures that the cases name.
#[test]
fn pace_follows_health_checks() {
    use Input::{Again, Check, Checked, Entry, Failure, Revoked, Start};
    run([
        case(
            "a check that was answered is overwritten by the entry that it has corrected",
            &[
                (500, Entry(3_000)),
                (600, Failure),
                (610, Check),
                (620, Checked(610, Some(0))),
                (630, Again(500, 3_000)),
            ],
            640,
            None,
        ),
        case(
            "a check does not make the target warm",
            &[
                (500, Entry(3_000)),
                (600, Failure),
                (610, Check),
                (620, Checked(610, Some(0))),
            ],
            630,
            None,
        ),
        case(
            "a check does not say how long the target is cold",
            &[
                (600, Failure),
                (610, Check),
                (610, Start),
                (620, Checked(610, Some(50))),
            ],
            669,
            Some(810),
        ),
        case(
            "a check that was sent before the event makes the target warm",
            &[
                (600, Failure),
                (610, Check),
                (610, Start),
                (615, Failure),
                (620, Checked(610, Some(0))),
            ],
            630,
            Some(810),
        ),
        case(
            "a check that was sent before an entry was learned hides it",
            &[
                (600, Failure),
                (610, Check),
                (610, Start),
                (615, Entry(2_000)),
                (620, Checked(610, Some(0))),
            ],
            630,
            Some(810),
        ),
        case(
            "a check without an answer makes the target warm",
            &[
                (600, Failure),
                (610, Check),
                (610, Start),
                (860, Checked(610, None)),
            ],
            870,
            Some(870),
        ),
        case(
            "a revocation counts again after the check",
            &[
                (600, Revoked(600)),
                (610, Check),
                (620, Checked(610, Some(0))),
                (630, Revoked(600)),
            ],
            640,
            None,
        ),
    ]);
}

/// Guards against more than one health check for one event, and against an event without one.
#[test]
fn one_check_is_sent_for_each_event() {
    let mut warm_up = WarmUp::new(INTERVAL_MS, WARMUP_MS);
    let mut sent = Vec::new();
    for now in 0..5_000 {
        match now {
            // Several failures of one event, and another event.
            100 | 101 | 103 | 2_000 => warm_up.doubt(now),
            // No answer to the check that follows the second event.
            2_252 => warm_up.on_check(now, 2_000, None),
            _ => {}
        }
        if sent.last().is_some_and(|it| it + 10 == now) && now < 2_000 {
            warm_up.on_check(now, now - 10, Some(0));
        }
        if warm_up.take_check(now) {
            sent.push(now);
        }
    }
    // The check of 100 was sent before the failure at 103, so that its answer proves nothing.
    assert_eq!(sent, [100, 110, 2_000, 3_252]);
}

/// Random numbers of a fixed sequence (xorshift).
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % limit
    }
}

/// A gateway in the model, with the news that are on their way to it.
struct Gateway {
    warm_up: WarmUp,
    /// Requests in flight, by the time at which they end.
    running: Vec<Millis>,
    /// Entries by arrival: they keep their order, but each may be late.
    entries: VecDeque<(Millis, Input)>,
    /// The result of the check in flight, with the time of its arrival.
    check: Option<(Millis, Input)>,
    /// Whether its connections were broken by the last restart.
    broken: bool,
}

/// Most requests that reach a cold target in a second, over half a minute in which it restarts at random
/// times, its entries are up to `late_ms` late and each gateway always has requests for it.
fn most_in_a_second(seed: u64, shared: &[bool], late_ms: u64) -> usize {
    const SLOTS: usize = 4;
    let mut random = Random(seed);
    let mut gateways: Vec<Gateway> = Vec::new();
    for shared in shared {
        let mut warm_up = WarmUp::new(INTERVAL_MS, WARMUP_MS);
        warm_up.set_shared(*shared);
        warm_up.doubt(0);
        gateways.push(Gateway {
            warm_up,
            running: Vec::new(),
            entries: VecDeque::new(),
            check: None,
            broken: false,
        });
    }
    let (mut cold_until, mut restart_at) = (WARMUP_MS, 5_000);
    let mut arrived: Vec<Millis> = Vec::new();
    let mut most = 0;
    for now in 0..30_000 {
        if now == restart_at {
            cold_until = now + WARMUP_MS;
            restart_at = now + 500 + random.below(9_000);
            arrived.clear();
            for it in &mut gateways {
                it.broken = true;
                if !it.running.is_empty() {
                    it.running.clear();
                    it.broken = false;
                    it.warm_up.doubt(now);
                }
            }
        }
        let cold_ms = cold_until.saturating_sub(now);
        for it in &mut gateways {
            if now % 1_000 == 0 {
                let last = it.entries.back().map_or(0, |it| it.0);
                let arrival = (now + random.below(late_ms)).max(last);
                it.entries.push_back((arrival, Input::Entry(cold_ms)));
            }
            while let Some((_, entry)) = it.entries.pop_front_if(|it| it.0 <= now) {
                apply(&mut it.warm_up, now, entry);
            }
            if let Some((_, result)) = it.check.take_if(|it| it.0 <= now) {
                apply(&mut it.warm_up, now, result);
            }
            it.running.retain(|end| now < *end);
            if it.running.len() == SLOTS || !it.warm_up.may_start(now) {
                continue;
            }
            if std::mem::take(&mut it.broken) {
                it.warm_up.doubt(now);
            }
            if !it.warm_up.may_start(now) {
                continue;
            }
            it.warm_up.on_start(now);
            it.running.push(now + 100 + random.below(200));
            if it.warm_up.take_check(now) {
                let answered = now + 1 + random.below(200);
                let result = random.below(4) > 0;
                let cold_ms = result.then_some(cold_ms);
                it.check = Some((answered, Input::Checked(now, cold_ms)));
            }
            if cold_ms > 0 {
                // On their way, requests take up to 20 ms.
                arrived.push(now + random.below(20));
            }
        }
        arrived.retain(|it| now < it + 1_000);
        most = most.max(arrived.iter().filter(|it| **it <= now).count());
    }
    most
}

/// Guards against more requests to a cold target than it tolerates while two or three hosts act as
/// its gateway and news are late.
#[test]
fn gateways_together_stay_within_the_bound() {
    for seed in 1..=20 {
        for shared in [&[false][..], &[false, false], &[false, true, true]] {
            for late_ms in [1, 500, 6_000] {
                let most = most_in_a_second(seed, shared, late_ms);
                assert!(
                    most <= MOST_PER_S,
                    "{most} with {shared:?}, seed {seed}, news up to {late_ms} ms late"
                );
            }
        }
    }
}
