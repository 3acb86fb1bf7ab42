//! Guards against a refusal that says `not_run` because of the last attempt although an earlier one
//! may have run (G4), and against a refusal for a key that has just moved to this region.

use std::net::SocketAddr;

use hyper::service::service_fn;
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto,
};
use ownership::TableRow;
use platform::{Member, MemberKind, MemberState, Members};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    sync::mpsc,
};

use super::*;
use crate::{body::refuse, fake};

/// How the target fails on its first request; after that it refuses connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    /// It reads the request and does not answer.
    Silent,
    /// It reads the request and closes the connection.
    Breaks,
    /// It reads the request and answers that it sheds it.
    Sheds,
    /// It refuses the first connection, too.
    Refuses,
}

async fn start(fault: Fault) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    if fault == Fault::Refuses {
        return address;
    }
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        drop(listener);
        assert!(stream.read(&mut [0; 4096]).await.unwrap() > 0);
        let shed = b"HTTP/1.1 503 .\r\nsassafras-refused: shed\r\ncontent-length: 0\r\n\r\n";
        match fault {
            Fault::Silent => tokio::time::sleep(Duration::from_mins(1)).await,
            Fault::Sheds => stream.write_all(shed).await.unwrap(),
            Fault::Breaks | Fault::Refuses => {}
        }
    });
    address
}

/// Makes the target the owner of all keys and `gateway` its gateway.
fn set_gateway(host: &Host, id: &TargetId, rev: u64, gateway: &str) {
    let name = &id.target;
    let slice = json!({"high": u64::MAX, "target": name, "generation": 1});
    let voters = ["h1", "h2", "h3"];
    let row = json!({"gateway": gateway, "epoch": 1, "sponsors": voters, "change": "settled"});
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

async fn check(fault: Fault, ran: Ran) {
    let host = fake::host(SocketAddr::from(([127, 0, 0, 1], 1)));
    let target = fake::gateway_target(&host, start(fault).await);
    set_gateway(&host, &target.id, 1, "h1");
    host.gateway_targets_mut().insert(target.id.clone(), target);
    // Half of the deadline is within the tenure, so that the first attempt is sent.
    let refusal = run(&host, &fake::inbound(&host, 600)).await.err().unwrap();
    assert_eq!(refusal.ran, ran, "{fault:?}: {refusal:?}");
}

#[tokio::test]
async fn refusal_covers_all_attempts() {
    check(Fault::Silent, Ran::Unknown).await;
    check(Fault::Breaks, Ran::Unknown).await;
    check(Fault::Sheds, Ran::NotRun).await;
    check(Fault::Refuses, Ran::NotRun).await;
}

/// A host in another region that is not the gateway. It refuses each request and sends a message to
/// `seen`.
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
        kind: MemberKind::Host,
        state: MemberState::Live,
        place: Arc::from("palermo"),
        data: Some(address),
        peer: None,
        operators: None,
    }
}

// Guards against a refusal `not_gateway` while this host's table is outdated, and against a request
// that crosses the link between regions twice.
#[tokio::test]
async fn key_that_moved_to_this_region_is_served_here() {
    for moves in [true, false] {
        let host = fake::host(SocketAddr::from(([127, 0, 0, 1], 1)));
        let target = fake::gateway_target(&host, start(Fault::Sheds).await);
        let (seen, mut refused) = mpsc::channel(9);
        let members = vec![other_region(seen).await];
        host.members.store(Arc::new(Members { members }));
        set_gateway(&host, &target.id, 1, "h9");
        host.gateway_targets_mut()
            .insert(target.id.clone(), Arc::clone(&target));
        let inbound = fake::inbound(&host, 390);
        let end = {
            let host = Arc::clone(&host);
            tokio::spawn(async move { run(&host, &inbound).await })
        };
        refused.recv().await.unwrap();
        if moves {
            set_gateway(&host, &target.id, 2, "h1");
        }
        let refusal = end.await.unwrap().err().unwrap();
        // After the move, the request was sent to the target, which sheds it.
        assert_eq!(refusal.reason != Reason::NotGateway, moves, "{refusal:?}");
        assert!(
            refused.try_recv().is_err(),
            "the request crossed the link twice"
        );
    }
}

/// A host that the table names as the gateway of a target, but that has no tenure yet.
fn without_tenure() -> Arc<Host> {
    let host = fake::host(SocketAddr::from(([127, 0, 0, 1], 1)));
    let id = TargetId {
        service: Arc::from("workshop"),
        target: Arc::from("w1"),
    };
    set_gateway(&host, &id, 1, "h1");
    host
}

// Guards against a refusal that attributes a take-over to an outdated table.
#[tokio::test]
async fn unfinished_take_over_is_refused_as_no_owner() {
    let host = without_tenure();
    let refusal = run(&host, &fake::inbound(&host, 390)).await.err().unwrap();
    assert_eq!(refusal, Reason::NoOwner.into());
}

// Guards against a refusal that names the expiry of the deadline instead of the reason for the wait
// when the host wakes up late.
#[tokio::test]
async fn late_wake_up_keeps_the_reason_for_the_wait() {
    let host = without_tenure();
    let inbound = fake::inbound(&host, 390);
    let busy = async { std::thread::sleep(Duration::from_millis(500)) };
    let (end, ()) = tokio::join!(run(&host, &inbound), busy);
    assert_eq!(end.err().unwrap(), Reason::NoOwner.into());
}
