use super::*;

enum Step {
    Answers(u64, HealthOutcome, u32),
    Probes(u64, Probe, u32),
}

struct Case {
    name: &'static str,
    steps: Vec<Step>,
    at: Millis,
    expected: HealthState,
}

impl Case {
    fn check(self) {
        let mut health = Health::new();
        health.on_outcome(0, HealthOutcome::Answered);
        for step in self.steps {
            match step {
                Step::Answers(now, outcome, count) => {
                    (0..count).for_each(|_| health.on_outcome(now, outcome));
                }
                Step::Probes(now, probe, count) => {
                    (0..count).for_each(|_| health.on_probe(now, probe));
                }
            }
        }
        assert_eq!(health.state(self.at), self.expected, "{}", self.name);
        let (when_idle, when_busy, slots) = match self.expected {
            HealthState::Serving => (true, true, 3),
            HealthState::Failing { .. } => (false, false, 0),
            HealthState::HalfOpen => (true, false, 1),
        };
        assert_eq!(health.slots(self.at, 3), slots, "{}", self.name);
        assert_eq!(health.allows(self.at, 0), when_idle, "{}", self.name);
        assert_eq!(health.allows(self.at, 1), when_busy, "{}", self.name);
    }
}

/// Guards against a failing target that never gets a trial request or gets more than one, and
/// against a target that is marked as failing after only a few failures.
#[test]
fn requests_determine_the_state() {
    use HealthOutcome::{Answered, Failed, Shed};
    use Step::Answers;
    let failing = |until| HealthState::Failing { until };
    let case = |name, at, expected, steps| Case {
        name,
        steps,
        at,
        expected,
    };
    let serving = HealthState::Serving;
    let half_open = HealthState::HalfOpen;
    let mixed = |failed: u32| {
        (0..8)
            .flat_map(|_| [Answers(10, Failed, failed), Answers(10, Answered, 1)])
            .collect::<Vec<_>>()
    };
    let cases = [
        case("one answer", 0, serving, vec![]),
        case("four failures", 10, serving, vec![Answers(10, Failed, 4)]),
        case(
            "five failures",
            10,
            failing(260),
            vec![Answers(10, Failed, 5)],
        ),
        case("half of the requests fail", 10, serving, mixed(1)),
        case("four of five requests fail", 10, failing(260), mixed(4)),
        case(
            "shed requests are no failures",
            10,
            serving,
            vec![Answers(10, Shed, 50)],
        ),
        case(
            "the pause ends with a single trial request",
            260,
            half_open,
            vec![Answers(10, Failed, 5)],
        ),
        case(
            "the trial request fails and the pause doubles",
            300,
            failing(800),
            vec![Answers(10, Failed, 5), Answers(300, Failed, 1)],
        ),
        case(
            "failures of earlier requests do not extend the pause",
            200,
            failing(260),
            vec![Answers(10, Failed, 5), Answers(200, Failed, 9)],
        ),
        case(
            "the trial request is answered",
            300,
            serving,
            vec![Answers(10, Failed, 5), Answers(300, Answered, 1)],
        ),
        case(
            "one failure after a recovery",
            301,
            serving,
            vec![
                Answers(10, Failed, 5),
                Answers(300, Answered, 1),
                Answers(301, Failed, 1),
            ],
        ),
    ];
    cases.into_iter().for_each(Case::check);
}

/// Guards against probes that override the outcomes of requests, in either direction.
#[test]
fn probes_do_not_override_requests() {
    use HealthOutcome::Failed;
    use Step::{Answers, Probes};
    let failing = |until| HealthState::Failing { until };
    let serving = HealthState::Serving;
    let case = |name, at, expected, steps| Case {
        name,
        steps,
        at,
        expected,
    };
    let cases = [
        case(
            "good probes do not help a target that fails requests",
            20,
            failing(260),
            vec![
                Answers(10, Failed, 4),
                Probes(10, Probe::Good, 9),
                Answers(10, Failed, 1),
            ],
        ),
        case(
            "a good probe halves the pause",
            20,
            failing(135),
            vec![Answers(10, Failed, 5), Probes(20, Probe::Good, 9)],
        ),
        case(
            "slow probes",
            9_000,
            serving,
            vec![Probes(9_000, Probe::Slow, 99)],
        ),
        case(
            "failed probes soon after an answer",
            999,
            serving,
            vec![Probes(999, Probe::Failed, 99)],
        ),
        case(
            "failed probes without answers",
            1_000,
            HealthState::HalfOpen,
            vec![Probes(1_000, Probe::Failed, 3)],
        ),
    ];
    cases.into_iter().for_each(Case::check);
}

/// Guards against a pause that is longer than the time within which a recovered target must serve.
#[test]
fn the_pause_is_bounded() {
    let mut health = Health::new();
    let mut now = 0;
    for _ in 0..20 {
        health.on_outcome(now, HealthOutcome::Failed);
        let HealthState::Failing { until } = health.state(now) else {
            panic!("a half-open target is failing after one failure");
        };
        assert!(until - now <= MAX_PAUSE_MS);
        now = until;
    }
}
