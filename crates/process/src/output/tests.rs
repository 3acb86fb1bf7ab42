use super::*;

/// Blocks at the first write until it is told to go on.
struct Stuck {
    go_on: Receiver<()>,
    written: SyncSender<Vec<u8>>,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.go_on.recv().expect("the test goes on");
        self.written.send(bytes.to_vec()).expect("the test reads");
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against requests that wait because nobody reads the log, and against lines that are lost
/// without a trace.
#[test]
fn unread_lines_are_dropped_and_counted() {
    let (lines, taken) = sync_channel(BUFFERED);
    let (go_on, gate) = sync_channel(8);
    let (written, read) = sync_channel(8);
    let dropped = Arc::new(AtomicU64::new(0));
    let mut output = Output {
        lines,
        dropped: Arc::clone(&dropped),
    };
    let mut stuck = Stuck {
        go_on: gate,
        written,
    };
    let writer = thread::spawn(move || write_all(&taken, &dropped, &mut stuck));
    let sent = 3 * BUFFERED;
    for _ in 0..sent {
        output.write_all(b"line\n").expect("lines are taken");
    }
    drop(output);
    let mut all = String::new();
    while go_on.send(()).is_ok() {
        let Ok(bytes) = read.recv() else { break };
        all.push_str(&String::from_utf8(bytes).expect("lines are text"));
    }
    writer.join().expect("the writer ends");
    let kept = all.lines().filter(|it| *it == "line").count();
    let noted: usize = all
        .lines()
        .filter_map(|it| serde_json::from_str::<serde_json::Value>(it).ok())
        .filter_map(|it| it["fields"]["count"].as_u64())
        .map(|it| usize::try_from(it).expect("a count of lines"))
        .sum();
    assert!(kept >= BUFFERED, "{kept} lines were kept");
    assert_eq!(kept + noted, sent);
}
