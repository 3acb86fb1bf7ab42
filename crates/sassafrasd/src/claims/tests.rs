//! Guards against a claim whose commit took effect, but whose answer was lost, that is taken for
//! the claim of another request or for no claim at all (G4, G5).

use std::net::SocketAddr;

use refusal::Ran;
use serde_json::json;
use testkit::{
    serve::{accept_all, bind},
    store::PlatformServer,
};

use super::*;
use crate::fake::{Answering, host};

const HASH: u64 = 7;
const ATTEMPT: u64 = 11;
const NAME: &str = "claim/workshop/0000000000000007";
const CLOSED: u64 = 12;
const OTHER: &str = "claim/workshop/0000000000000008";

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
        last: Value::Null,
        done: None,
    }
}

fn conflict(name: &str, value: &impl Serialize) -> Value {
    json!({"conflicts": [{"row": name, "rev": 5, "value": value}]})
}

async fn check(case: &Case) {
    let server = Answering::start().await;
    server.set(case.status, case.body.to_string());
    let host = host(server.address);
    let claim = Claim {
        hash: HASH,
        attempt: ATTEMPT,
        fingerprint: 1,
        deadline: 60_000,
    };
    let closing = FinalWrite {
        hash: HASH + 1,
        attempt: CLOSED,
        rev: 4,
        due: 0,
        deadline: 60_000,
    };
    let batch = {
        let mut book = host.claims.book();
        book.claims.add(claim);
        book.claims.add_final_write(closing);
        book.entries.insert(ATTEMPT, entry(ATTEMPT, NAME));
        book.entries.insert(CLOSED, entry(CLOSED, OTHER));
        book.claims.next_batch(BATCH_WAIT_MS).unwrap()
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
        case("lost", 503, json!({"rev": 5}), BatchResult::Unknown),
        case(
            "own claim, whose answer was lost",
            409,
            conflict(NAME, &row(ATTEMPT)),
            conflicting(&[], &[(ATTEMPT, 5)]),
        ),
        case(
            "own claim with an outcome, which nobody can have written",
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
            "a row to close has changed",
            409,
            conflict(OTHER, &row(CLOSED)),
            conflicting(&[CLOSED], &[]),
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

/// How far the request is when it goes away.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Gone {
    BeforeTheVerdict,
    WithTheVerdictUnread,
    BeforeItWasSent,
    AfterItWasSent,
    AfterItWasRefused,
}

/// Guards against the row of a request that went away before it was sent, which would keep a later
/// send from running, and against the deletion of one that may have run (G5).
#[tokio::test]
async fn claims_of_gone_requests_are_deleted() {
    for (verdict, gone, deleted) in [
        (CLAIMED, Gone::BeforeTheVerdict, true),
        (CLAIMED, Gone::WithTheVerdictUnread, true),
        (CLAIMED, Gone::BeforeItWasSent, true),
        (CLAIMED, Gone::AfterItWasSent, false),
        (CLAIMED, Gone::AfterItWasRefused, true),
        (ClaimVerdict::Taken, Gone::WithTheVerdictUnread, false),
        (ClaimVerdict::Unavailable, Gone::BeforeTheVerdict, false),
    ] {
        let host = host(SocketAddr::from(([127, 0, 0, 1], 1)));
        let (waiting, mut request) = oneshot::channel();
        if gone == Gone::BeforeTheVerdict {
            request.close();
        }
        {
            let mut book = host.claims.book();
            book.entries.insert(ATTEMPT, entry(ATTEMPT, NAME));
            book.waiting.insert(ATTEMPT, waiting);
        }
        host.claims.answer(&host.clock, &[(ATTEMPT, verdict)]);
        let sent = match gone {
            Gone::BeforeTheVerdict | Gone::WithTheVerdictUnread => &[][..],
            Gone::BeforeItWasSent => &[Ran::NotRun],
            Gone::AfterItWasSent => &[Ran::Unknown],
            Gone::AfterItWasRefused => &[Ran::Unknown, Ran::NotRun],
        };
        if !sent.is_empty() {
            let mut guard = request.try_recv().unwrap().ok().unwrap();
            for it in sent {
                guard.note(*it);
            }
        }
        drop(request);
        let mut book = host.claims.book();
        let batch = book.claims.next_batch(host.clock.now());
        let closings = batch.iter().flat_map(|it| &it.final_writes);
        let closings: Vec<_> = closings.map(|it| (it.attempt, it.rev)).collect();
        let expected = deleted.then_some((ATTEMPT, 5));
        assert_eq!(closings, Vec::from_iter(expected), "{verdict:?} {gone:?}");
        let last = book.entries.get(&ATTEMPT).map(|it| &it.last);
        assert_eq!(
            last,
            deleted.then_some(&Value::Null),
            "{verdict:?} {gone:?}"
        );
    }
}

/// Guards against a refusal whose caller sends the request again through another gateway before the
/// claim is deleted, and against the deletion of a claim whose request may have run.
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
