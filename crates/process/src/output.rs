//! Standard output behind a bounded buffer, so that no task ever waits for whoever reads it.

use std::{
    io::{self, Write},
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::Duration,
};

/// Lines that wait for the reader of standard output: at about 500 bytes a line, half a megabyte.
const BUFFERED: usize = 1_024;

/// Longest wait for the reader when the process ends.
const LAST_LINES: Duration = Duration::from_millis(200);

static LINES: OnceLock<SyncSender<Message>> = OnceLock::new();

enum Message {
    Line(Vec<u8>),
    /// Answered when everything before it is written.
    Mark(SyncSender<()>),
}

/// Takes lines without blocking; a thread writes them. Lines that find the buffer full are dropped
/// and counted.
pub(crate) struct Output {
    lines: SyncSender<Message>,
    dropped: Arc<AtomicU64>,
}

impl Output {
    /// Starts the thread that writes.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub(crate) fn start() -> io::Result<Self> {
        let (lines, taken) = sync_channel(BUFFERED);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(&taken, &counted, &mut io::stdout()))?;
        // Only the first output of a process is finished at its end.
        let _ = LINES.set(lines.clone());
        Ok(Self { lines, dropped })
    }
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self.lines.try_send(Message::Line(bytes.to_vec())) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Waits until the lines so far are written, but only for a short time.
pub(crate) fn flush() {
    let Some(lines) = LINES.get() else { return };
    let (done, written) = sync_channel(1);
    if lines.try_send(Message::Mark(done)).is_ok() {
        // A reader that has stopped reading loses the last lines.
        let _ = written.recv_timeout(LAST_LINES);
    }
}

fn write_all(lines: &Receiver<Message>, dropped: &AtomicU64, out: &mut impl Write) {
    while let Ok(first) = lines.recv() {
        let mut marks = Vec::new();
        let mut batch = Vec::new();
        for message in std::iter::once(first).chain(lines.try_iter().take(BUFFERED)) {
            match message {
                Message::Line(line) => batch.extend_from_slice(&line),
                Message::Mark(done) => marks.push(done),
            }
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            let line = serde_json::json!({
                "level": "WARN",
                "target": "log",
                "message": "lines were dropped because standard output is not read",
                "fields": { "count": count },
            });
            batch.extend_from_slice(format!("{line}\n").as_bytes());
        }
        // Without a reader there is nobody to tell.
        let _ = out.write_all(&batch).and_then(|()| out.flush());
        for done in marks {
            let _ = done.try_send(());
        }
    }
}

#[cfg(test)]
mod tests;
