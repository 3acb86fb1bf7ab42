//! Guards against a truncated answer that the caller takes for a complete one.

use http_body_util::BodyExt;

use super::*;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Last {
    End,
    Failed,
    Nothing,
}

async fn check(last: Last, frames: usize) {
    let (sender, body) = channel();
    for _ in 0..frames {
        let frame = Frame::data(Bytes::from_static(b"part"));
        sender.send(BodyMessage::Frame(frame)).await.unwrap();
    }
    match last {
        Last::End => sender.send(BodyMessage::End).await.unwrap(),
        Last::Failed => sender.send(BodyMessage::Failed("io".into())).await.unwrap(),
        Last::Nothing => {}
    }
    drop(sender);
    let collected = body.collect().await;
    assert_eq!(collected.is_ok(), last == Last::End, "{last:?}");
    if let Ok(it) = collected {
        assert_eq!(it.to_bytes().len(), 4 * frames);
    }
}

#[tokio::test]
async fn only_the_end_marker_completes_a_body() {
    for last in [Last::End, Last::Failed, Last::Nothing] {
        for frames in [0, 3] {
            check(last, frames).await;
        }
    }
}
