//! Guards against a refusal that says `not_run` of the last attempt although an earlier one may
//! have run (G4), and against a refusal of a key that has just moved to this region.

use std::net::SocketAddr;

use hyper::service::service_fn;
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto,
};
use ownership::TableRow;
use platform::{Kind, Member, MemberState, Members};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    sync::mpsc,
};

use super::*;
use crate::{body::refuse, fake};

/// What the target does with the request; then it refuses connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Target {
    /// It reads the request and does not answer.
    Silent,
    /// It reads the request and breaks the connection.
    Breaks,
    /// It reads the request and says that it did not accept it.
    Sheds,
    /// It refuses the first connection, too.
    Refuses,
}

async fn start(target: Target) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    if target == Target::Refuses {
        return address;
    }
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        drop(listener);
        assert!(stream.read(&mut [0; 4096]).await.unwrap() > 0);
        let shed = b"HTTP/1.1 503 .\r\nsassafras-refused: shed\r\ncontent-length: 0\r\n\r\n";
        match target {
            Target::Silent => tokio::time::sleep(Duration::from_mins(1)).await,
            Target::Sheds => stream.write_all(shed).await.unwrap(),
            Target::Breaks | Target::Refuses => {}
        }
    });
    address
}

/// Makes the target the owner of all keys and `gateway` its gateway.
fn set_gateway(host: &Host, id: &TargetId, rev: u64, gateway: &str) {
    let name = &id.target;
    let slice = json!({"high": u64::MAX, "target": name, "generation": 1});
    let sponsors = ["h1", "h2", "h3"];
    let row = json!({"gateway": gateway, "epoch": 1, "sponsors": sponsors, "change": "settled"});
    for (name, value) in [
        ("slice/workshop/0000000000000000".to_owned(), slice),
        (format!("target/workshop/{name}"), row),
    ] {
        let (name, value) = (Arc::from(name), Some(Arc::from(value.to_string())));
        host.table_mut()
            .merge(&TableRow { name, rev, value })
            .unwrap();
    }
}

async fn check(target: Target, ran: Ran) {
    let host = fake::host(SocketAddr::from(([127, 0, 0, 1], 1)));
    let gate = fake::gate(&host, start(target).await);
    set_gateway(&host, &gate.id, 1, "h1");
    host.gates_mut().insert(gate.id.clone(), gate);
    // Half of the deadline is within the tenure, so that the first attempt is sent.
    let refusal = run(&host, &fake::inbound(&host, 600)).await.err().unwrap();
    assert_eq!(refusal.ran, ran, "{target:?}: {refusal:?}");
}

#[tokio::test]
async fn refusal_covers_all_attempts() {
    check(Target::Silent, Ran::Unknown).await;
    check(Target::Breaks, Ran::Unknown).await;
    check(Target::Sheds, Ran::NotRun).await;
    check(Target::Refuses, Ran::NotRun).await;
}

/// A host in another region that is not the gateway: each request has its refusal sent to `seen`.
async fn other_region(seen: mpsc::Sender<()>) -> Member {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let service = service_fn(move |_| {
            let seen = seen.clone();
            async move {
                seen.send(()).await.unwrap();
                Ok::<_, std::convert::Infallible>(refuse(&Reason::NotGateway.into()))
            }
        });
        let builder = auto::Builder::new(TokioExecutor::new());
        let _ = builder
            .serve_connection(TokioIo::new(stream), service)
            .await;
    });
    Member {
        name: Arc::from("h9"),
        kind: Kind::Host,
        state: MemberState::Live,
        place: Arc::from("palermo"),
        data: Some(address),
        peer: None,
        operators: None,
    }
}

// Guards against a refusal `not_gateway` while this host's table is behind, and against a request
// that crosses the link between regions twice.
#[tokio::test]
async fn key_that_moved_to_this_region_is_served_here() {
    for moves in [true, false] {
        let host = fake::host(SocketAddr::from(([127, 0, 0, 1], 1)));
        let gate = fake::gate(&host, start(Target::Sheds).await);
        let (seen, mut refused) = mpsc::channel(9);
        let members = vec![other_region(seen).await];
        host.members.store(Arc::new(Members { members }));
        set_gateway(&host, &gate.id, 1, "h9");
        host.gates_mut().insert(gate.id.clone(), Arc::clone(&gate));
        let inbound = fake::inbound(&host, 390);
        let end = {
            let host = Arc::clone(&host);
            tokio::spawn(async move { run(&host, &inbound).await })
        };
        refused.recv().await.unwrap();
        if moves {
            set_gateway(&host, &gate.id, 2, "h1");
        }
        let refusal = end.await.unwrap().err().unwrap();
        // After the move, the request has been at the target, which accepts nothing.
        assert_eq!(refusal.reason != Reason::NotGateway, moves, "{refusal:?}");
        assert!(refused.try_recv().is_err(), "the request crossed twice");
    }
}

/// A host whose table names it as the gateway of a target for which it does not act yet.
fn without_tenure() -> Arc<Host> {
    let host = fake::host(SocketAddr::from(([127, 0, 0, 1], 1)));
    let id = TargetId {
        service: Arc::from("workshop"),
        target: Arc::from("w1"),
    };
    set_gateway(&host, &id, 1, "h1");
    host
}

// Guards against a refusal that puts a take-over down to an old table.
#[tokio::test]
async fn take_over_that_has_not_ended_is_no_old_table() {
    let host = without_tenure();
    let refusal = run(&host, &fake::inbound(&host, 390)).await.err().unwrap();
    assert_eq!(refusal, Reason::NoOwner.into());
}

// Guards against a refusal that names the end of the deadline but not what the request waited for,
// when the host wakes up late.
#[tokio::test]
async fn late_wake_up_keeps_the_reason_of_the_wait() {
    let host = without_tenure();
    let inbound = fake::inbound(&host, 390);
    let busy = async { std::thread::sleep(Duration::from_millis(500)) };
    let (end, ()) = tokio::join!(run(&host, &inbound), busy);
    assert_eq!(end.err().unwrap(), Reason::NoOwner.into());
}
