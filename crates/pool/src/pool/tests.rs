use std::sync::atomic::AtomicU32;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use super::*;
use crate::AnswerLimits;

/// Starts a server that keeps its connections open and answers each request with `head` and two
/// bytes; returns its address and the number of its connections.
async fn start(head: &'static str) -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let connections = Arc::new(AtomicU32::new(0));
    let counter = Arc::clone(&connections);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            counter.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(answer(stream, head));
        }
    });
    (address, connections)
}

async fn answer(mut stream: TcpStream, head: &str) {
    let mut request = Vec::new();
    while stream.read_buf(&mut request).await.is_ok_and(|it| it > 0) {
        if !request.ends_with(b"\r\n\r\n") {
            continue;
        }
        request.clear();
        let answer = format!("{head}content-length: 2\r\n\r\nok");
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn fetch(pool: &Pool) {
    let timeout = Duration::from_secs(1);
    let sender = pool.checkout(Freshness::Any, timeout).await;
    let mut sender = sender.expect("the server accepts");
    let mut request = Request::new(Full::new(Bytes::new()));
    let headers = request.headers_mut();
    headers.insert(http::header::HOST, pool.authority());
    let answer = sender.fetch(request, &AnswerLimits::new(64, 64)).await;
    assert_eq!(answer.expect("the server answers").body(), "ok");
    pool.put_back(sender);
}

/// Guards against a request on a connection that its server has said to close, or to keep only for a
/// time that is over: the server may close it while the request is on its way.
#[tokio::test]
async fn connections_are_reused_as_their_server_says() {
    struct Case {
        head: &'static str,
        /// Time between the two requests in milliseconds.
        pause_ms: u64,
        reused: bool,
    }
    let case = |head, pause_ms, reused| Case {
        head,
        pause_ms,
        reused,
    };
    let cases = [
        case("HTTP/1.1 200 OK\r\n", 1_200, true),
        case("HTTP/1.1 200 OK\r\nconnection: close\r\n", 0, false),
        case("HTTP/1.1 200 OK\r\nConnection: Foo, Close\r\n", 50, false),
        case("HTTP/1.0 200 OK\r\n", 50, false),
        case("HTTP/1.1 200 OK\r\nkeep-alive: timeout=1\r\n", 0, true),
        case("HTTP/1.1 200 OK\r\nkeep-alive: timeout=1\r\n", 700, false),
        case("HTTP/1.1 200 OK\r\nkeep-alive: timeout=1\r\n", 1_200, false),
        case(
            "HTTP/1.1 200 OK\r\nKeep-Alive: max=5, Timeout=1\r\n",
            700,
            false,
        ),
        case("HTTP/1.1 200 OK\r\nkeep-alive: timeout=0\r\n", 0, false),
        case("HTTP/1.1 200 OK\r\nkeep-alive: timeout=9\r\n", 1_200, true),
        case("HTTP/1.1 200 OK\r\nkeep-alive: timeout=x\r\n", 1_200, true),
        case(
            "HTTP/1.1 503 Service Unavailable\r\nkeep-alive: timeout=1\r\n",
            700,
            false,
        ),
    ];
    let mut failures = Vec::new();
    for case in cases {
        let (address, connections) = start(case.head).await;
        let pool = Pool::new(address, 4);
        fetch(&pool).await;
        tokio::time::sleep(Duration::from_millis(case.pause_ms)).await;
        fetch(&pool).await;
        let reused = connections.load(Ordering::Relaxed) == 1;
        if reused != case.reused {
            let (head, pause) = (case.head, case.pause_ms);
            failures.push(format!("{head:?} after {pause} ms: reused {reused}"));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against a refusal because a connection that its server has said to close still counts as
/// in use.
#[tokio::test]
async fn closed_connections_make_room() {
    let heads = [
        "HTTP/1.1 200 OK\r\nconnection: close\r\n",
        "HTTP/1.1 200 OK\r\nkeep-alive: timeout=0\r\n",
    ];
    for head in heads {
        let (address, connections) = start(head).await;
        let pool = Pool::new(address, 1);
        for _ in 0..50 {
            fetch(&pool).await;
        }
        assert_eq!(connections.load(Ordering::Relaxed), 50, "{head:?}");
    }
}

/// Guards against a server that restarts unnoticed between two requests, and against one that counts as
/// restarted although it said that it closes its connections.
#[tokio::test]
async fn idle_connections_that_break_are_reported() {
    let cases = [
        ("HTTP/1.1 200 OK\r\n", true),
        ("HTTP/1.1 200 OK\r\nkeep-alive: timeout=0\r\n", false),
    ];
    for (head, expected) in cases {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let server = tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("a client connects");
                // The connection ends soon after the answer.
                let _ = tokio::time::timeout(Duration::from_millis(50), answer(stream, head)).await;
            }
        });
        let pool = Pool::new(address, 4);
        fetch(&pool).await;
        assert!(!pool.take_broken(), "{head:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
        fetch(&pool).await;
        assert_eq!(pool.take_broken(), expected, "{head:?}");
        assert!(!pool.take_broken(), "{head:?}");
        server.abort();
    }
}
