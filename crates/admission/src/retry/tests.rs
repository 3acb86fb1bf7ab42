use super::*;

const ATTEMPT: Attempt = Attempt {
    reason: Reason::TargetShed,
    ran: Ran::NotRun,
    idempotency: Idempotency::Idempotent,
    attempt: 0,
    remaining_ms: 100,
    scope: RetryScope::SameRegion,
};

/// Guards against retries of requests that may have run, retries over the paid link, and retries
/// that cannot be answered in time.
#[test]
fn retries_stay_within_their_limits() {
    let lost = Attempt {
        reason: Reason::TargetLost,
        ran: Ran::Unknown,
        ..ATTEMPT
    };
    let non_idempotent = |it| Attempt {
        idempotency: Idempotency::NonIdempotent,
        ..it
    };
    let nth = |attempt, it| Attempt { attempt, ..it };
    let cases = [
        ("shed", ATTEMPT, RetryDecision::Retry),
        (
            "shed, not idempotent",
            non_idempotent(ATTEMPT),
            RetryDecision::Retry,
        ),
        ("third retry", nth(2, ATTEMPT), RetryDecision::Retry),
        ("fourth retry", nth(3, ATTEMPT), RetryDecision::GiveUp),
        ("may have run", lost, RetryDecision::Retry),
        (
            "may have run, second time",
            nth(1, lost),
            RetryDecision::GiveUp,
        ),
        (
            "may have run, not idempotent",
            non_idempotent(lost),
            RetryDecision::GiveUp,
        ),
        (
            "between regions",
            Attempt {
                scope: RetryScope::CrossRegion,
                ..ATTEMPT
            },
            RetryDecision::GiveUp,
        ),
        (
            "no time left",
            Attempt {
                remaining_ms: 4,
                ..ATTEMPT
            },
            RetryDecision::GiveUp,
        ),
    ];
    for (name, attempt, expected) in cases {
        assert_eq!(retry_decision(attempt), expected, "{name}");
    }
}

/// Guards against retries of refusals that another attempt would only repeat, and against a reason
/// that is dropped from the retried ones.
#[test]
fn retried_reasons() {
    let mut retried = Vec::new();
    for reason in Reason::ALL {
        let attempt = Attempt {
            reason,
            ran: reason.ran(),
            ..ATTEMPT
        };
        if retry_decision(attempt) == RetryDecision::Retry {
            assert!(reason.retry_ms().is_some() || reason.ran() == Ran::Unknown);
            retried.push(reason.label());
        }
    }
    assert_eq!(
        retried.join(" "),
        "target_shed target_failing target_draining target_unreachable target_lost fenced \
         no_owner not_gateway owner_unreachable gateway_lost stopping"
    );
}
