use http::Method;

use super::*;

/// Guards against an entry host that does not learn which target leaves, and against a header of a
/// target that passes for one of a gateway.
#[test]
fn an_answer_names_its_leaving_target() {
    let leaving = Incarnation {
        target: "a b".into(),
        started_ms: 7,
    };
    for expected in [Some(leaving), None] {
        let mut answer = Response::new(Full::default());
        let forged = HeaderValue::from_static("9 forged");
        answer.headers_mut().insert(LEAVING, forged);
        if let Some(it) = &expected {
            answer.extensions_mut().insert(LeavingTarget(it.clone()));
        }
        let (parts, _) = response_of(AttemptOutcome::Answered(answer)).into_parts();
        let outcome = outcome_of(Response::from_parts(parts, Bytes::new()));
        let AttemptOutcome::Answered(answer) = outcome else {
            panic!("{outcome:?}");
        };
        let found = answer.extensions().get::<LeavingTarget>();
        assert_eq!(found.map(|it| &it.0), expected.as_ref());
        assert!(!answer.headers().contains_key(LEAVING));
    }
}

/// Guards against an answer of the HTTP/2 library, or a header of a target, that passes for an answer
/// or a refusal of a gateway.
#[test]
fn only_marked_answers_are_of_a_target() {
    struct Case {
        name: &'static str,
        /// Whether a gateway encoded the answer.
        encoded: bool,
        forged: Option<HeaderName>,
        answered: bool,
    }
    let cases = [
        Case {
            name: "an answer of a target",
            encoded: true,
            forged: None,
            answered: true,
        },
        Case {
            name: "a target that claims to be a gateway",
            encoded: true,
            forged: Some(REFUSED),
            answered: true,
        },
        Case {
            name: "an answer of the library",
            encoded: false,
            forged: None,
            answered: false,
        },
        Case {
            name: "a mark with another value",
            encoded: false,
            forged: Some(RAN),
            answered: false,
        },
    ];
    for case in cases {
        let mut answer = Response::new(Full::default());
        *answer.status_mut() = http::StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        if let Some(name) = case.forged {
            let value = HeaderValue::from_static("no");
            answer.headers_mut().insert(name, value);
        }
        if case.encoded {
            answer = response_of(AttemptOutcome::Answered(answer));
        }
        let (parts, _) = answer.into_parts();
        let outcome = outcome_of(Response::from_parts(parts, Bytes::new()));
        let answered = match &outcome {
            AttemptOutcome::Answered(answer) => answer.headers().is_empty(),
            AttemptOutcome::Unknown(Reason::GatewayLost) => false,
            _ => panic!("{}: {outcome:?}", case.name),
        };
        assert_eq!(answered, case.answered, "{}: {outcome:?}", case.name);
    }
}

fn request(headers: HeaderMap) -> GatewayRequest {
    GatewayRequest {
        queue: QueueId::Target("a".into()),
        service: "archive".into(),
        route: "browse".into(),
        key: Some(7),
        priority: 1,
        wait_limit: WaitLimit::Deadline,
        arrived: 4_000,
        objective: 5_000,
        end: 6_000,
        deadline: 7_000,
        method: Method::GET,
        path: "/browse/7".parse().expect("the path is valid"),
        headers,
        body: Bytes::new(),
    }
}

/// Guards against a request of a caller that is answered as a check, and does not reach its target.
#[test]
fn only_hosts_send_checks() {
    let check = check_request("127.0.0.1:9");
    assert!(is_check(check.headers()));
    let forged = check.headers().clone();
    let forwarded = request_of(&request(forged), "127.0.0.1:9", 4_300);
    assert!(!is_check(forwarded.headers()));
}

/// Guards against a forwarded request that counts as new at its gateway.
#[test]
fn a_forwarded_request_keeps_its_age() {
    let request = request(HeaderMap::new());
    let (parts, _) = request_of(&request, "127.0.0.1:9", 4_300).into_parts();
    let received = gateway_request_of(Request::from_parts(parts, Bytes::new()), 90_000);
    let received = received.expect("the request is complete");
    assert_eq!(received.arrived, 89_700);
    assert_eq!(received.objective, 90_700);
}

/// Guards against a refusal of a queue whose caller is told the constant of the reason, so that all
/// callers that were refused in a burst return together.
#[test]
fn refusals_of_queues_tell_when_to_return() {
    for reason in [
        Reason::DeadlineBeforeStart,
        Reason::QueueFull,
        Reason::TargetShed,
    ] {
        for expected in [None, Some(1_330)] {
            let refused = AttemptOutcome::NotRun {
                reason,
                offered: reason == Reason::TargetShed,
                retry_ms: expected,
            };
            let (parts, _) = response_of(refused).into_parts();
            let outcome = outcome_of(Response::from_parts(parts, Bytes::new()));
            let AttemptOutcome::NotRun {
                reason: found,
                retry_ms,
                ..
            } = outcome
            else {
                panic!("{outcome:?}");
            };
            assert_eq!((found, retry_ms), (reason, expected));
        }
    }
}
