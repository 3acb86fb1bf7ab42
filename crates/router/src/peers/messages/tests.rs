use tokio::io::{copy, sink};

use super::*;

const MESSAGE_BYTES: usize = 10 << 20;

/// Bytes of messages with their lengths; the last one lacks `missing` bytes.
fn messages(number: usize, missing: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    for _ in 0..number {
        let length = u32::try_from(MESSAGE_BYTES).expect("it fits into 32 bits");
        bytes.extend(length.to_be_bytes());
        bytes.resize(bytes.len() + MESSAGE_BYTES, 7);
    }
    bytes.truncate(bytes.len() - missing);
    bytes
}

async fn read(reader: &mut MessageReader<&[u8]>) -> Option<u64> {
    copy(reader, &mut sink()).await.ok()
}

/// Guards against unfinished messages beyond the budget, and against a budget that complete messages
/// or closed connections use up.
#[tokio::test]
async fn unfinished_messages_share_a_budget() {
    let budget = MessageBudget::new();
    let (unfinished, complete) = (messages(1, 1), messages(5, 0));
    let (unfinished, complete): (&[u8], &[u8]) = (&unfinished, &complete);
    let reader = |bytes| MessageReader::new(bytes, budget.clone());
    assert!(read(&mut reader(complete)).await.is_some());
    let mut readers = [(); 3].map(|()| reader(unfinished));
    for it in &mut readers {
        assert!(read(it).await.is_some());
    }
    assert_eq!(read(&mut reader(unfinished)).await, None);
    let short: &[u8] = &[0, 0, 0, 2, 7, 7];
    assert_eq!(read(&mut reader(short)).await, Some(6));
    drop(readers);
    assert!(read(&mut reader(complete)).await.is_some());
}

/// Guards against a message that is not finished and keeps its part of the budget.
#[tokio::test]
async fn a_message_that_takes_too_long_fails() {
    let (mut sender, receiver) = tokio::io::duplex(64);
    let mut reader = MessageReader::new(receiver, MessageBudget::new());
    let sending = async {
        tokio::io::AsyncWriteExt::write_all(&mut sender, &[0, 0, 0, 2, 7]).await?;
        std::future::pending::<io::Result<()>>().await
    };
    let mut sink = sink();
    let read = tokio::select! {
        read = copy(&mut reader, &mut sink) => read,
        _ = sending => unreachable!("it never ends"),
    };
    assert_eq!(read.map_err(|it| it.kind()), Err(io::ErrorKind::TimedOut));
}
