use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

use super::*;
use crate::{
    control::build_report,
    fake::node,
    node::Node,
    peers::{self, Event, Position},
    ports::Revision,
};

/// Longest wait for the beginning of an answer.
const LIMIT: Duration = Duration::from_millis(300);

/// Number of events in the answer, which has more than 10,000 bytes.
const EVENTS: u64 = 500;

/// Bytes that the link carries every 50 ms.
const LINK_BYTES: usize = 256;

/// Starts a host that has many events to send; returns its address.
async fn serve(port: u16) -> (Arc<Node>, SocketAddr) {
    let server = Arc::new(node("h1", port));
    let mut events = Vec::new();
    for number in 1..=EVENTS {
        let rev = Revision {
            generation: 0,
            number,
        };
        events.push(Event::Target(format!("t{number}").into(), rev, None));
    }
    server.feed().restart(Position { term: 3, number: 0 });
    server.announce(events);
    let serving = peers::bind(Arc::clone(&server)).await;
    tokio::spawn(serving.expect("the port is free"));
    let address = server.settings.peer;
    (server, address)
}

/// Starts a slow link to `address`, which carries at most `total` bytes of answers; returns its
/// address.
async fn slow_link(address: SocketAddr, total: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let own = listener.local_addr().expect("bound listener");
    tokio::spawn(async move {
        let (client, _) = listener.accept().await.expect("a connection");
        let server = TcpStream::connect(address).await.expect("the host listens");
        let (mut client_read, mut client_write) = client.into_split();
        let (mut server_read, mut server_write) = server.into_split();
        let up = tokio::io::copy(&mut client_read, &mut server_write);
        let down = async {
            let mut left = total;
            let mut buffer = [0; LINK_BYTES];
            while left > 0 {
                let count = server_read.read(&mut buffer).await.unwrap_or_default();
                let count = count.min(left);
                left -= count;
                tokio::time::sleep(Duration::from_millis(50)).await;
                if count == 0 || client_write.write_all(&buffer[..count]).await.is_err() {
                    return;
                }
            }
            std::future::pending::<()>().await;
        };
        tokio::join!(up, down).0.ok();
    });
    own
}

/// Guards against an answer that is given up and asked for again for as long as a slow link takes
/// longer than a time-out, and against a wait for one that has stopped arriving.
#[tokio::test]
async fn an_answer_is_awaited_as_long_as_it_arrives() {
    struct Case {
        port: u16,
        total: usize,
        arrives: bool,
    }
    let case = |port, total, arrives| Case {
        port,
        total,
        arrives,
    };
    let cases = [
        case(7_700, usize::MAX, true),
        case(7_710, 4 * LINK_BYTES, false),
        case(7_720, 0, false),
    ];
    for case in cases {
        let (server, address) = serve(case.port).await;
        let link = slow_link(address, case.total).await;
        let client = PeerClient::connect(link, LIMIT).await.expect("connects");
        let report = build_report(&node("h2", case.port + 5), None, Duration::ZERO);
        let started = Instant::now();
        let reply = client.sync(report, LIMIT).await;
        let took = started.elapsed();
        assert_eq!(reply.is_ok(), case.arrives, "{} {reply:?}", case.total);
        if let Ok(reply) = reply {
            assert!(took > 2 * LIMIT, "the link is not slow: {took:?}");
            assert_eq!(reply.events.len() as u64, EVENTS + 1);
        } else {
            assert!(took < 4 * ANSWER_PAUSE, "{} {took:?}", case.total);
        }
        drop(server);
    }
}
