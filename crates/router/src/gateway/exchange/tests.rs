use admission::{OfferResult, Queue, QueueLimits, Ticket};

use super::*;

fn ticket(id: u64) -> Ticket {
    Ticket {
        id,
        key: 0,
        caller: 0,
        priority: 0,
        route: 0,
        objective: 60_000,
        deadline: 60_000,
    }
}

/// Guards against slots that stay empty because rejected requests lowered the limit of a target
/// that has room.
#[test]
fn rejected_requests_lower_no_limit() {
    let limits = QueueLimits {
        slots: 2,
        depth: 100,
        caller_share: 100,
    };
    let mut queue = Queue::new(limits);
    let rejected = AttemptOutcome::NotRun {
        reason: Reason::TargetShed,
        offered: true,
        retry_ms: None,
    };
    for id in 0..50 {
        let now = id * 10;
        assert_eq!(
            queue.offer(now, ticket(id)),
            OfferResult::Start,
            "request {id}"
        );
        let _ = queue.finish(now + 2, id, 2, effects_of(&rejected).0);
    }
    for id in 50..52 {
        assert_eq!(
            queue.offer(600, ticket(id)),
            OfferResult::Start,
            "request {id}"
        );
    }
}

/// Guards against treating targets as failing because they are full or do not hold a key.
#[test]
fn only_broken_targets_count_as_failing() {
    struct Case {
        reason: Reason,
        failed: bool,
    }
    let cases = [
        Case {
            reason: Reason::TargetShed,
            failed: false,
        },
        Case {
            reason: Reason::TargetPaused,
            failed: false,
        },
        Case {
            reason: Reason::Fenced,
            failed: false,
        },
        Case {
            reason: Reason::TargetUnreachable,
            failed: true,
        },
    ];
    for Case { reason, failed } in cases {
        let outcome = AttemptOutcome::NotRun {
            reason,
            offered: true,
            retry_ms: None,
        };
        let health = effects_of(&outcome).1;
        assert_eq!(
            health == Some(admission::HealthOutcome::Failed),
            failed,
            "{reason:?}"
        );
    }
    let lost = effects_of(&AttemptOutcome::Unknown(Reason::TargetLost));
    assert_eq!(
        lost,
        (RequestEnd::Failed, Some(admission::HealthOutcome::Failed))
    );
}

/// Guards against a refusal that is taken for the answer to a later send on the same connection.
#[test]
fn connections_carry_nothing_after_a_refusal() {
    struct Case {
        outcome: AttemptOutcome,
        reusable: bool,
    }
    let refused = |reason| AttemptOutcome::NotRun {
        reason,
        offered: true,
        retry_ms: None,
    };
    let cases = [
        Case {
            outcome: AttemptOutcome::Answered(Response::default()),
            reusable: true,
        },
        Case {
            outcome: refused(Reason::Fenced),
            reusable: false,
        },
        Case {
            outcome: refused(Reason::TargetShed),
            reusable: false,
        },
        Case {
            outcome: AttemptOutcome::Unknown(Reason::TargetLost),
            reusable: false,
        },
    ];
    for Case { outcome, reusable } in cases {
        assert_eq!(may_reuse(&outcome), reusable, "{outcome:?}");
    }
}

/// Guards against a target that counts as leaving because of an answer that is not its own.
#[test]
fn only_own_answers_show_that_a_target_leaves() {
    struct Case {
        name: &'static str,
        outcome: AttemptOutcome,
        leaving: bool,
    }
    let cases = [
        Case {
            name: "answered",
            outcome: AttemptOutcome::Answered(Response::default()),
            leaving: true,
        },
        Case {
            name: "refused",
            outcome: AttemptOutcome::NotRun {
                reason: Reason::TargetShed,
                offered: true,
                retry_ms: None,
            },
            leaving: true,
        },
        Case {
            name: "without a seal",
            outcome: AttemptOutcome::Unknown(Reason::TargetLost),
            leaving: false,
        },
    ];
    for mut case in cases {
        let node = crate::fake::node("h1", 7_400);
        let incarnation = Incarnation {
            target: "a".into(),
            started_ms: 1,
        };
        on_leaving(&node, &incarnation, 0, &mut case.outcome);
        let leaving = node.targets().is_leaving(&incarnation);
        assert_eq!(leaving, case.leaving, "{}", case.name);
    }
}
