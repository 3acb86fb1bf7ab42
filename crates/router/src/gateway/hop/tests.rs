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

/// Guards against a forwarded request that counts as new at its gateway.
#[test]
fn a_forwarded_request_keeps_its_age() {
    let request = GatewayRequest {
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
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    let (parts, _) = request_of(&request, "127.0.0.1:9", 4_300).into_parts();
    let received = gateway_request_of(Request::from_parts(parts, Bytes::new()), 90_000);
    let received = received.expect("the request is complete");
    assert_eq!(received.arrived, 89_700);
    assert_eq!(received.objective, 90_700);
}
