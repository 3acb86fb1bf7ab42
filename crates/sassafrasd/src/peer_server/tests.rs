//! Guards against bytes on the port for control messages that stop the server, and against a
//! length field that makes it allocate the announced size.

use std::{net::SocketAddr, time::Duration};

use peer::PeerClient;
use proptest::{
    collection::vec,
    prelude::{Strategy, any},
    prop_oneof,
    sample::{Index, select},
    test_runner::{Config, TestRunner},
};
use tarpc::context;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::Runtime,
};

use super::*;
use crate::fake;

async fn start() -> Arc<Host> {
    let host = fake::host(SocketAddr::from(([127, 0, 0, 1], 1)));
    tokio::spawn(bind(Arc::clone(&host)).await.unwrap());
    host
}

async fn connect(host: &Host) -> PeerClient {
    let address = host.settings.peer;
    peer::connect(address, Duration::from_secs(5))
        .await
        .unwrap()
}

async fn assert_serves(host: &Host) {
    let client = connect(host).await;
    let copy = client.rows_after(context::current(), 0).await.unwrap();
    assert_eq!(copy.rev, host.cursor());
    // A handler that panics while it holds a lock poisons it.
    drop((
        host.table(),
        host.voters(),
        host.with_quarantine(&Arc::from("archive"), |it| it.entries(0)),
    ));
}

fn frame(payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).unwrap();
    [&length.to_be_bytes()[..], payload].concat()
}

/// The frames that a peer sends for three calls.
async fn frames() -> Vec<Vec<u8>> {
    let target = TargetId::new("archive", "a01");
    let mut out = Vec::new();
    for call in 0..3 {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let target = target.clone();
        tokio::spawn(async move {
            let client = peer::connect(address, Duration::from_secs(5))
                .await
                .unwrap();
            let now = context::current();
            let _ = match call {
                0 => client.rows_after(now, 0).await.map(drop),
                1 => client
                    .split_slice(now, target, 0, vec![1, 2])
                    .await
                    .map(drop),
                _ => client.resign(now, vec![target], Arc::from("h2"), 1).await,
            };
        });
        let (mut stream, _) = listener.accept().await.unwrap();
        let length = stream.read_u32().await.unwrap();
        let mut payload = vec![0; length as usize];
        stream.read_exact(&mut payload).await.unwrap();
        out.push(frame(&payload));
    }
    out
}

/// Resident memory of this process in bytes.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages = text.split(' ').nth(1).unwrap().parse::<usize>().unwrap();
    pages * 4096
}

#[test]
fn arbitrary_bytes() {
    let runtime = Runtime::new().unwrap();
    let host = runtime.block_on(start());
    let sent = runtime.block_on(frames());
    let bytes = prop_oneof![
        vec(any::<u8>(), 0..400),
        vec(any::<u8>(), 0..400).prop_map(|it| frame(&it)),
        (select(sent), vec((any::<Index>(), any::<u8>()), 0..4)).prop_map(|(mut it, edits)| {
            for (at, byte) in edits {
                let at = at.index(it.len());
                it[at] = byte;
            }
            it
        }),
    ];
    let mut runner = TestRunner::new(Config::with_cases(150));
    let served = runner.run(&bytes, |bytes| {
        runtime.block_on(async {
            let mut stream = TcpStream::connect(host.settings.peer).await.unwrap();
            // The server may close the connection in the middle.
            let _ = stream.write_all(&bytes).await;
        });
        Ok(())
    });
    served.unwrap();
    runtime.block_on(assert_serves(&host));
}

#[tokio::test]
async fn announced_size_is_not_allocated() {
    let host = start().await;
    let before = resident_bytes();
    // The last argument of this call is a sequence of two small numbers. Its length is changed to
    // 2^40 elements.
    let mut oversized = frames().await.remove(1);
    assert_eq!(oversized[oversized.len() - 3..], [2, 1, 2]);
    oversized.truncate(oversized.len() - 3);
    oversized.push(253);
    oversized.extend((1_u64 << 40).to_le_bytes());
    let oversized = frame(&oversized[4..]);
    let mut open = Vec::new();
    for announced in [u32::MAX, 64 << 20, (64 << 20) + 1] {
        for _ in 0..16 {
            for bytes in [&announced.to_be_bytes()[..], &oversized] {
                let mut stream = TcpStream::connect(host.settings.peer).await.unwrap();
                stream.write_all(bytes).await.unwrap();
                open.push(stream);
            }
        }
    }
    assert_serves(&host).await;
    // The limit leaves room for other tests of this process. The announced sizes add up to 66 GiB.
    let growth = resident_bytes().saturating_sub(before);
    assert!(growth < 8 * MESSAGE_LIMIT_BYTES, "grew by {growth} bytes");
}

/// Guards against well-formed messages with values that no correct host sends and that make the
/// server panic.
#[tokio::test]
async fn extreme_values() {
    let host = start().await;
    host.confirm(0);
    let client = connect(&host).await;
    let target = TargetId::new("archive", "a01");
    let now = context::current;
    let row = |name: &str, value: &str| TableRow {
        name: Arc::from(name),
        rev: u64::MAX,
        value: Some(Arc::from(value)),
    };
    let rows = vec![
        row("slice/archive/zzzzzzzzzzzzzzzz", "{}"),
        row("slice//0", "null"),
        row("target/", "[]"),
        row("document/current", "\"text\""),
        row(
            "document/current",
            r#"{"version": 1, "change": "", "text": "{"}"#,
        ),
        row("unknown", "{"),
    ];
    client.push_rows(now(), rows).await.unwrap();
    let entries =
        [QuarantineState::Suspect, QuarantineState::Quarantined].map(|state| QuarantineEntry {
            service: Arc::from("archive"),
            fingerprint: u64::MAX,
            age_ms: u64::MAX,
            state,
        });
    client
        .push_quarantine(now(), entries.to_vec())
        .await
        .unwrap();
    let adoption = Adoption {
        target: target.clone(),
        epoch: u64::MAX,
        host: Arc::from(""),
    };
    client.push_adoptions(now(), vec![adoption]).await.unwrap();
    let request = VoteRequest {
        target: target.clone(),
        rev: u64::MAX,
        host: Arc::from(""),
        incarnation: u64::MAX,
    };
    let renewal = VoteRenewal {
        host: Arc::from(""),
        count: u32::MAX,
        digest: u64::MAX,
    };
    let requests = vec![request; 100];
    let votes = client.vote(now(), Some(renewal), requests).await.unwrap();
    assert_eq!(votes.renewed, RenewalResult::None);
    let resigned = vec![target.clone()];
    let none = Arc::from("");
    client.resign(now(), resigned, none, 0).await.unwrap();
    let split = client.split_slice(now(), target.clone(), 5, vec![u64::MAX, 0]);
    assert_eq!(split.await.unwrap(), MoveResult::NotGateway);
    let merged = client.merge_slice(now(), target, u64::MAX, 0);
    assert_eq!(merged.await.unwrap(), MoveResult::NotGateway);
    client.loads(now()).await.unwrap();
    assert_serves(&host).await;
}

// Guards against a busy loop while no connection can be accepted.
#[tokio::test]
async fn failed_accepts_are_followed_by_a_pause() {
    let results = [
        Err(io::Error::other("no file descriptor")),
        Err(io::Error::other("none")),
        Ok(1),
    ];
    let started = std::time::Instant::now();
    let accepted: Vec<i32> = futures::stream::iter(results)
        .filter_map(connection_or_pause)
        .collect()
        .await;
    assert_eq!(accepted, [1]);
    assert!(started.elapsed() >= ACCEPT_PAUSE * 2);
}
