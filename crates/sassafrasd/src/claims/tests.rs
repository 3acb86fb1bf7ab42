//! Guards against the loss of the answer to a commit that wrote a claim: the claim must not be
//! mistaken for that of another request or for no claim at all (G4, G5).

use std::net::SocketAddr;

use refusal::Ran;
use serde_json::json;
use testkit::{
    serve::{accept_all, bind},
    store::PlatformServer,
};

use super::*;
use crate::fake::{FixedServer, host};

const HASH: u64 = 7;
const ATTEMPT: u64 = 11;
const NAME: &str = "claim/workshop/0000000000000007";
const FINISHED_ATTEMPT: u64 = 12;
const FINISHED_NAME: &str = "claim/workshop/0000000000000008";

struct Case {
    name: &'static str,
    status: u16,
    body: Value,
    result: BatchResult,
}

fn row(attempt: u64) -> ClaimRow {
    ClaimRow {
        attempt,
        key: String::from("k"),
        body: 1,
        state: ClaimState::Claimed,
    }
}

fn entry(attempt: u64, name: &str) -> Entry {
    Entry {
        hash: HASH,
        name: name.to_owned(),
        row: row(attempt),
        final_value: Value::Null,
        done: None,
    }
}

fn conflict(name: &str, value: &impl Serialize) -> Value {
    json!({"conflicts": [{"row": name, "rev": 5, "value": value}]})
}

async fn check(case: &Case) {
    let server = FixedServer::start().await;
    server.set(case.status, case.body.to_string());
    let host = host(server.address);
    let claim = Claim {
        hash: HASH,
        attempt: ATTEMPT,
        fingerprint: 1,
        deadline: 60_000,
    };
    let final_write = FinalWrite {
        hash: HASH + 1,
        attempt: FINISHED_ATTEMPT,
        rev: 4,
        due: 0,
        deadline: 60_000,
    };
    let batch = {
        let mut state = host.claims.lock();
        state.claims.add(claim);
        state.claims.add_final_write(final_write);
        state.entries.insert(ATTEMPT, entry(ATTEMPT, NAME));
        state
            .entries
            .insert(FINISHED_ATTEMPT, entry(FINISHED_ATTEMPT, FINISHED_NAME));
        state.claims.next_batch(MIN_BATCH_INTERVAL_MS).unwrap()
    };
    let result = host.claims.write(&batch).await;
    assert_eq!(result, case.result, "{}", case.name);
}

#[tokio::test]
async fn outcome_of_a_batch() {
    let conflicting = |lost: &[u64], own: &[(u64, u64)]| BatchResult::Conflict {
        lost: lost.iter().copied().collect(),
        own: own.iter().copied().collect(),
    };
    let case = |name, status, body, result| Case {
        name,
        status,
        body,
        result,
    };
    let mut done = row(ATTEMPT);
    done.state = ClaimState::Done {
        status: 200,
        content: None,
        answer: None,
    };
    for it in [
        case(
            "applied",
            200,
            json!({"rev": 5}),
            BatchResult::Applied { rev: 5 },
        ),
        case("no result", 503, json!({"rev": 5}), BatchResult::Unknown),
        case(
            "own claim, whose answer was lost",
            409,
            conflict(NAME, &row(ATTEMPT)),
            conflicting(&[], &[(ATTEMPT, 5)]),
        ),
        case(
            "own claim with an outcome that no host has written",
            409,
            conflict(NAME, &done),
            conflicting(&[ATTEMPT], &[]),
        ),
        case(
            "claim of another request",
            409,
            conflict(NAME, &row(ATTEMPT + 1)),
            conflicting(&[ATTEMPT], &[]),
        ),
        case(
            "unreadable claim",
            409,
            conflict(NAME, &"x"),
            conflicting(&[ATTEMPT], &[]),
        ),
        case(
            "row of a final write has changed",
            409,
            conflict(FINISHED_NAME, &row(FINISHED_ATTEMPT)),
            conflicting(&[FINISHED_ATTEMPT], &[]),
        ),
        case(
            "another row",
            409,
            conflict("other", &row(ATTEMPT)),
            conflicting(&[], &[]),
        ),
    ] {
        check(&it).await;
    }
}

const CLAIMED: ClaimVerdict = ClaimVerdict::Claimed { rev: 5 };

/// When the request is cancelled.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CancelledAt {
    BeforeVerdict,
    VerdictUnread,
    BeforeSend,
    AfterSend,
    AfterRefusal,
}

/// Guards against a row that stays although its request was cancelled before it was sent, which
/// would prevent a later send from running, and against the deletion of the row of a request that
/// may have run (G5).
#[tokio::test]
async fn claims_of_cancelled_requests_are_deleted() {
    for (verdict, cancelled_at, deleted) in [
        (CLAIMED, CancelledAt::BeforeVerdict, true),
        (CLAIMED, CancelledAt::VerdictUnread, true),
        (CLAIMED, CancelledAt::BeforeSend, true),
        (CLAIMED, CancelledAt::AfterSend, false),
        (CLAIMED, CancelledAt::AfterRefusal, true),
        (ClaimVerdict::Taken, CancelledAt::VerdictUnread, false),
        (ClaimVerdict::Unavailable, CancelledAt::BeforeVerdict, false),
    ] {
        let host = host(SocketAddr::from(([127, 0, 0, 1], 1)));
        let (waiting, mut request) = oneshot::channel();
        if cancelled_at == CancelledAt::BeforeVerdict {
            request.close();
        }
        {
            let mut state = host.claims.lock();
            state.entries.insert(ATTEMPT, entry(ATTEMPT, NAME));
            state.waiting.insert(ATTEMPT, waiting);
        }
        host.claims
            .send_verdicts(&host.clock, &[(ATTEMPT, verdict)]);
        let ran_updates = match cancelled_at {
            CancelledAt::BeforeVerdict | CancelledAt::VerdictUnread => &[][..],
            CancelledAt::BeforeSend => &[Ran::NotRun],
            CancelledAt::AfterSend => &[Ran::Unknown],
            CancelledAt::AfterRefusal => &[Ran::Unknown, Ran::NotRun],
        };
        if !ran_updates.is_empty() {
            let mut guard = request.try_recv().unwrap().ok().unwrap();
            for it in ran_updates {
                guard.set_ran(*it);
            }
        }
        drop(request);
        let mut state = host.claims.lock();
        let batch = state.claims.next_batch(host.clock.now());
        let final_writes = batch.iter().flat_map(|it| &it.final_writes);
        let final_writes: Vec<_> = final_writes.map(|it| (it.attempt, it.rev)).collect();
        let expected = deleted.then_some((ATTEMPT, 5));
        assert_eq!(
            final_writes,
            Vec::from_iter(expected),
            "{verdict:?} {cancelled_at:?}"
        );
        let final_value = state.entries.get(&ATTEMPT).map(|it| &it.final_value);
        assert_eq!(
            final_value,
            deleted.then_some(&Value::Null),
            "{verdict:?} {cancelled_at:?}"
        );
    }
}

/// Guards against a refusal that is sent before the claim is deleted, so that a retry through
/// another gateway conflicts with it, and against the deletion of a claim whose request may have
/// run.
#[tokio::test]
async fn refusal_follows_the_deletion() {
    let listener = bind("127.0.0.1:0").await;
    let host = host(listener.local_addr().unwrap());
    let server = PlatformServer::default();
    tokio::spawn(accept_all(listener, move |it| server.clone().answer(it)));
    let (claims, clock) = (Arc::clone(&host.claims), host.clock);
    tokio::spawn(async move { claims.run(&clock).await });
    for (ran, stays) in [(Ran::NotRun, false), (Ran::Unknown, true)] {
        let claim = Claim {
            hash: HASH,
            attempt: ATTEMPT,
            fingerprint: 1,
            deadline: 60_000,
        };
        let verdict = host.claims.add(claim, NAME.to_owned(), row(ATTEMPT));
        let guard = verdict.unwrap().await.unwrap().ok().unwrap();
        guard.refused(ran).await;
        let row = host.platform.row(NAME).await.unwrap();
        assert_eq!(row.is_some(), stays, "{ran:?}");
    }
}
