//! Guards against an answer of a target that makes the gateway panic, use memory without bound, or
//! take a failed order for an accepted one.

use proptest::{
    collection::vec,
    prelude::{Strategy, any},
    prop_oneof,
    sample::select,
    test_runner::{Config, TestRunner},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::Runtime,
};

use super::*;
use crate::fake::FixedServer;

const COUNTERS: [u64; 5] = [0, 1, COUNTER_LIMIT - 1, COUNTER_LIMIT, u64::MAX];

fn state(clock: u64, epoch: u64, generation: u64) -> String {
    format!(
        r#"{{"incarnation": 1, "clock": {clock}, "epoch": {epoch}, "gateway": "h1", "held":
        [{{"service": "s", "low": 0, "high": 9, "generation": {generation}}}], "draining": false}}"#
    )
}

#[test]
fn arbitrary_answers() {
    let runtime = Runtime::new().unwrap();
    let server = runtime.block_on(FixedServer::start());
    let client = GrantClient::new();
    let counter = || select(&COUNTERS[..]);
    let bodies = prop_oneof![
        vec(any::<u8>(), 0..200),
        (counter(), any::<u64>(), any::<bool>()).prop_map(|(clock, tag, draining)| {
            let renewed = RenewalReply {
                tag,
                clock,
                draining,
            };
            renewed.to_bytes()
        }),
        (counter(), counter(), counter()).prop_map(|(a, b, c)| state(a, b, c).into_bytes()),
        (0..140_usize).prop_map(|length| state(1, 1, 1).into_bytes()[..length].to_vec()),
    ];
    let statuses = prop_oneof![select(&[200, 409][..]), 200_u16..600];
    let mut runner = TestRunner::new(Config::with_cases(300));
    let answers = runner.run(&(statuses, bodies), |(status, body)| {
        server.set(status, body.clone());
        let outcome = runtime.block_on(client.read(server.address));
        let sent = serde_json::from_slice::<GrantState>(&body).ok();
        let valid = sent.filter(is_in_range);
        match outcome {
            GrantOutcome::Accepted(it) => assert_eq!((status, Some(it)), (200, valid.clone())),
            GrantOutcome::Fenced(it) => assert_eq!((status, Some(it)), (409, valid.clone())),
            GrantOutcome::Renewed(_) => panic!("a read is not answered with a renewal"),
            GrantOutcome::Lost => {}
        }
        let renewal = Renewal { tag: 1, until: 1 };
        match runtime.block_on(client.renew(server.address, renewal)) {
            GrantOutcome::Renewed(it) => assert_eq!((status, it.to_bytes()), (200, body)),
            GrantOutcome::Fenced(it) => assert_eq!((status, Some(it)), (409, valid)),
            GrantOutcome::Accepted(_) => {
                panic!("a renewal is not answered with a grant state of status 200")
            }
            GrantOutcome::Lost => {}
        }
        Ok(())
    });
    answers.unwrap();
}

/// Guards against a target that reports counters so high that those of the gateway would overflow.
#[tokio::test]
async fn counters_out_of_range() {
    let server = FixedServer::start().await;
    let client = GrantClient::new();
    let renewed = RenewalReply {
        tag: 1,
        clock: COUNTER_LIMIT,
        draining: false,
    };
    server.set(200, renewed.to_bytes());
    let renewal = Renewal { tag: 1, until: 1 };
    let outcome = client.renew(server.address, renewal).await;
    assert_eq!(outcome, GrantOutcome::Lost);
    for (clock, epoch, generation) in [(u64::MAX, 1, 1), (1, u64::MAX, 1), (1, 1, u64::MAX)] {
        server.set(200, state(clock, epoch, generation));
        let outcome = client.read(server.address).await;
        assert_eq!(outcome, GrantOutcome::Lost, "{clock} {epoch} {generation}");
    }
}

#[tokio::test]
async fn oversized_answer_is_refused() {
    let server = FixedServer::start().await;
    let mut body = state(1, 1, 1).into_bytes();
    body.resize(ANSWER_LIMIT_BYTES + 1, b' ');
    server.set(200, body);
    let outcome = GrantClient::new().read(server.address).await;
    assert_eq!(outcome, GrantOutcome::Lost);
}

/// Answers each request on a connection with what it answered the first one: 409 on the first
/// connection, 200 on all others.
async fn repeat_first_answers(listener: TcpListener) {
    let mut status = "409 Conflict";
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(answer_all(stream, status));
        status = "200 OK";
    }
}

async fn answer_all(mut stream: TcpStream, status: &str) {
    let body = state(1, 1, 1);
    let length = body.len();
    let answer = format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}");
    let mut received = Vec::new();
    while let Ok(byte) = stream.read_u8().await {
        received.push(byte);
        if received.ends_with(b"\r\n\r\n") && stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Guards against an earlier refusal of a faulty target that is taken for the answer to a later
/// message, so that the gateway counts keys as not granted that the target holds.
#[tokio::test]
async fn repeated_refusal_answers_no_later_message() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(repeat_first_answers(listener));
    let client = GrantClient::new();
    let refused = client.read(address).await;
    assert!(matches!(refused, GrantOutcome::Fenced(_)), "{refused:?}");
    for message in 0..3 {
        let outcome = client.read(address).await;
        let accepted = matches!(outcome, GrantOutcome::Accepted(_));
        assert!(accepted, "message {message}: {outcome:?}");
    }
}
