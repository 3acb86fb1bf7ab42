//! Guards against answers of the platform that make a host panic or use unbounded memory, and
//! against an inconclusive answer to a transaction that is interpreted as applied or rejected.

use std::sync::{Arc, Mutex};

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use proptest::{
    collection::vec,
    prelude::{Strategy, any},
    prop_oneof,
    sample::select,
    test_runner::{Config, TestRunner},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    runtime::Runtime,
};

use super::*;

type Answer = Arc<Mutex<(u16, Bytes)>>;

/// Starts a server that gives the same answer to every request, and returns a client of it.
async fn serve(answer: Answer) -> Platform {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = Arc::clone(&answer);
            let service = service_fn(move |_| {
                let (status, body) = answer.lock().unwrap().clone();
                let mut response = Response::new(Full::new(body));
                *response.status_mut() = StatusCode::from_u16(status).unwrap();
                async move { Ok::<_, std::convert::Infallible>(response) }
            });
            let connection = http1::Builder::new();
            tokio::spawn(connection.serve_connection(TokioIo::new(stream), service));
        }
    });
    Platform::new(address, Duration::from_secs(20))
}

/// Checks that the answer with this status and body permits the result.
fn check_result(status: u16, body: &[u8], result: &CommitResult) {
    let json: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    let field = |name: &str| json.as_ref().and_then(|it| it.get(name));
    let expected = match status {
        200 => field("rev").and_then(serde_json::Value::as_u64).is_some(),
        409 => field("conflicts").is_some_and(serde_json::Value::is_array),
        400 | 413 => true,
        _ => false,
    };
    match result {
        CommitResult::Applied { .. } => assert!(expected && status == 200, "{status} {json:?}"),
        CommitResult::NotApplied { .. } => assert!(expected && status != 200, "{status} {json:?}"),
        CommitResult::Unknown => {}
    }
}

#[test]
fn arbitrary_answers() {
    let runtime = Runtime::new().unwrap();
    let answer = Answer::default();
    let platform = runtime.block_on(serve(Arc::clone(&answer)));
    let texts = [
        r#"{"rev": 7}"#,
        r#"{"rev": -1}"#,
        r#"{"rev": "7"}"#,
        r#"{"conflicts": []}"#,
        r#"{"conflicts": [{"row": "r", "rev": 1, "value": null}]}"#,
        r#"{"conflicts": [{"row": 1}]}"#,
        r#"{"rev": 7, "rows": [], "more": false}"#,
        r#"{"members": [{"name": "h"}]}"#,
        "[[[[[",
        "",
    ];
    let bodies = prop_oneof![
        vec(any::<u8>(), 0..300),
        select(texts.to_vec()).prop_map(|it| it.as_bytes().to_vec()),
        (select(texts.to_vec()), 0..50_usize)
            .prop_map(|(it, cut)| it.as_bytes()[..cut.min(it.len())].to_vec()),
    ];
    let statuses = prop_oneof![select(&[200, 400, 409, 413, 503][..]), 200_u16..600];
    let mut runner = TestRunner::new(Config::with_cases(400));
    let answers = runner.run(&(statuses, bodies), |(status, body)| {
        *answer.lock().unwrap() = (status, body.clone().into());
        runtime.block_on(async {
            check_result(status, &body, &platform.commit(&Commit::default()).await);
            let row = platform.row("r").await;
            assert_eq!(matches!(row, Ok(None)), status == 404);
            assert!(status == 200 || platform.rows_after(0).await.is_err());
            assert!(status == 200 || platform.members().await.is_err());
        });
        Ok(())
    });
    answers.unwrap();
}

#[tokio::test]
async fn oversized_answer_is_refused() {
    let mut body = br#"{"rev": 7, "rows": [], "more": false}"#.to_vec();
    body.resize(ANSWER_LIMIT_BYTES + 1, b' ');
    let answer = Arc::new(Mutex::new((200, body.into())));
    let platform = serve(answer).await;
    assert_eq!(
        platform.commit(&Commit::default()).await,
        CommitResult::Unknown
    );
    let err = platform.rows_after(0).await.unwrap_err();
    assert!(matches!(err, PlatformError::Answer(_)), "{err}");
}

/// Guards against a lost or truncated answer that is interpreted as conclusive.
#[tokio::test]
async fn cut_answer_is_unknown() {
    let whole = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n{\"rev\": 7}";
    for cut in 0..whole.len() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let platform = Platform::new(listener.local_addr().unwrap(), Duration::from_secs(20));
        let server = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            drop(listener);
            let _ = stream.read(&mut [0; 4096]).await;
            stream.write_all(&whole.as_bytes()[..cut]).await.unwrap();
        });
        let result = platform.commit(&Commit::default()).await;
        assert_eq!(result, CommitResult::Unknown, "cut after {cut} bytes");
        server.await.unwrap();
    }
}
