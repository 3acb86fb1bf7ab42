use bytes::Bytes;
use http::{HeaderMap, Method, uri::PathAndQuery};

use super::*;
use crate::gateway::{QueueId, WaitLimit};

fn request(objective: Millis, end: Millis) -> GatewayRequest {
    GatewayRequest {
        queue: QueueId::Target("a".into()),
        service: "archive".into(),
        route: "browse".into(),
        key: None,
        priority: 0,
        wait_limit: WaitLimit::Deadline,
        arrived: 0,
        objective,
        end,
        deadline: end,
        method: Method::GET,
        path: PathAndQuery::from_static("/"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    }
}

/// Guards against a request that is taken although it can outlast the grace period, and against the
/// refusal of one that can be answered.
#[test]
fn requests_are_taken_that_can_be_answered() {
    struct Case {
        name: &'static str,
        now: Millis,
        objective_ms: u64,
        timeout_ms: u64,
        from_caller: bool,
        forwarded: bool,
    }
    let cases = [
        Case {
            name: "ends within the period",
            now: 1_000,
            objective_ms: 1_000,
            timeout_ms: 4_600,
            from_caller: true,
            forwarded: true,
        },
        Case {
            name: "may outlast the period, but is likely to end within it",
            now: 1_000,
            objective_ms: 1_000,
            timeout_ms: 12_000,
            from_caller: true,
            forwarded: false,
        },
        Case {
            name: "is likely to outlast the period",
            now: 1_000,
            objective_ms: 2_400,
            timeout_ms: 12_000,
            from_caller: false,
            forwarded: false,
        },
        Case {
            name: "short, shortly before the end",
            now: 5_500,
            objective_ms: 10,
            timeout_ms: 100,
            from_caller: true,
            forwarded: true,
        },
        Case {
            name: "may outlast the period and arrives late",
            now: 2_500,
            objective_ms: 10,
            timeout_ms: 3_101,
            from_caller: false,
            forwarded: false,
        },
    ];
    let period = GracePeriod::new(0, 6.0);
    for case in cases {
        let name = case.name;
        let request = request(case.now + case.objective_ms, case.now + case.timeout_ms);
        assert_eq!(
            period.admits(case.now, &request),
            case.from_caller,
            "{name}"
        );
        assert_eq!(period.admits_forwarded(&request), case.forwarded, "{name}");
    }
}

/// Guards against a host with a short grace period that accepts connections until it is killed.
#[test]
fn a_short_grace_period_leaves_time_for_answers() {
    let period = GracePeriod::new(1_000, 2.0);
    assert_eq!(period.notice_left(1_000).as_millis(), 950);
    assert_eq!(period.answers_left(1_000).as_millis(), 1_800);
    assert_eq!(period.run_left(1_000).as_millis(), 1_900);
    assert_eq!(period.run_left(9_000), Duration::ZERO);
}
