//! Attempts to gain tenure.

use std::sync::Arc;

use ownership::{
    Action, Checks, DataCentreState, Gateway, ListChange, Policy, TargetId, TargetRow, Verdict,
    VoteReply,
};

/// Guards against a delayed resignation that releases a vote which was granted after it: a new
/// attempt follows a resignation, and answers to the old attempt don't count for the new one.
#[test]
fn resignation_ends_the_attempt() {
    let hosts = ["h0", "h1", "h2"].map(Arc::from);
    let policy = Policy {
        checks: Checks::Grants,
        deadline_ms: 300,
        hold_ms: 10_000,
        data_centre: DataCentreState::Live,
    };
    let mut gateway = Gateway::new(
        Arc::clone(&hosts[1]),
        7,
        TargetId::new("archive", "a0"),
        policy,
    );
    let row = TargetRow {
        gateway: Arc::clone(&hosts[0]),
        epoch: 3,
        voters: hosts.into_iter().collect(),
        change: ListChange::Settled,
    };
    gateway.on_row(1_000, 5, &row);
    gateway.on_contact(1_000);
    let mut seen = Vec::new();
    for now in (1_000..1_500).step_by(10) {
        for action in gateway.tick(now) {
            match action {
                Action::Vote(request) => seen.push(("vote", now, request.incarnation)),
                Action::Resign { incarnation } => seen.push(("resign", now, incarnation)),
                other => panic!("unexpected {other:?}"),
            }
        }
        if now == 1_150 {
            let reply = |verdict| VoteReply {
                verdict,
                contact: None,
            };
            let held = Verdict::Held { by: "h0".into() };
            gateway.on_vote(now, "h1", 1_100, &reply(Verdict::Granted));
            gateway.on_vote(now, "h2", 1_100, &reply(held));
        }
        if now == 1_250 {
            // Late answers to the first attempt.
            for voter in ["h1", "h2"] {
                let granted = VoteReply {
                    verdict: Verdict::Granted,
                    contact: Some(0),
                };
                gateway.on_vote(now, voter, 1_100, &granted);
            }
            assert!(!gateway.status(now).tenure);
        }
    }
    let expected = [
        ("vote", 1_100, 7),
        ("resign", 1_200, 7),
        ("vote", 1_300, 8),
        ("vote", 1_400, 8),
    ];
    assert_eq!(seen, expected);
}
