use super::*;

/// A writer that blocks in each write until the test permits it.
struct BlockedWriter {
    permits: Receiver<()>,
    written: SyncSender<Vec<u8>>,
}

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.permits.recv().expect("the test permits the write");
        self.written
            .send(bytes.to_vec())
            .expect("the test receives the bytes");
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against requests that are blocked because nobody reads the log, and against lines that
/// are dropped without being counted.
#[test]
fn unread_lines_are_dropped_and_counted() {
    let (lines, queue) = sync_channel(BUFFERED_LINES);
    let (permits, permitted) = sync_channel(8);
    let (written, read) = sync_channel(8);
    let dropped = Arc::new(AtomicU64::new(0));
    let mut output = Output {
        lines,
        dropped: Arc::clone(&dropped),
    };
    let mut blocked = BlockedWriter {
        permits: permitted,
        written,
    };
    let writer = thread::spawn(move || write_all(&queue, &dropped, &mut blocked));
    let sent = 3 * BUFFERED_LINES;
    for _ in 0..sent {
        output.write_all(b"line\n").expect("writing never fails");
    }
    drop(output);
    let mut all = String::new();
    while permits.send(()).is_ok() {
        let Ok(bytes) = read.recv() else { break };
        all.push_str(&String::from_utf8(bytes).expect("lines are text"));
    }
    writer.join().expect("the writer ends");
    let kept = all.lines().filter(|it| *it == "line").count();
    let counted: usize = all
        .lines()
        .filter_map(|it| serde_json::from_str::<serde_json::Value>(it).ok())
        .filter_map(|it| it["fields"]["count"].as_u64())
        .map(|it| usize::try_from(it).expect("a count of lines"))
        .sum();
    assert!(kept >= BUFFERED_LINES, "{kept} lines were kept");
    assert_eq!(kept + counted, sent);
}
