//! Standard output behind a bounded buffer, so that no task is blocked by its reader.

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

/// Maximum number of buffered lines: at about 500 bytes a line, half a megabyte.
const BUFFERED_LINES: usize = 1_024;

/// Maximum time that [`flush`] waits for the reader of standard output when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

static SENDER: OnceLock<SyncSender<Message>> = OnceLock::new();

enum Message {
    Line(Vec<u8>),
    /// Acknowledged when all messages before it are written.
    Flush(SyncSender<()>),
}

/// Accepts lines without blocking; a thread writes them. Lines are dropped and counted while the
/// buffer is full.
pub(crate) struct Output {
    lines: SyncSender<Message>,
    dropped: Arc<AtomicU64>,
}

impl Output {
    /// Starts the writer thread.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub(crate) fn start() -> io::Result<Self> {
        let (lines, queue) = sync_channel(BUFFERED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_lines = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(&queue, &dropped_lines, &mut io::stdout()))?;
        // Only the first output of a process is flushed.
        let _ = SENDER.set(lines.clone());
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

/// Waits until the lines so far are written, for at most [`FLUSH_TIMEOUT`].
pub(crate) fn flush() {
    let Some(lines) = SENDER.get() else { return };
    let (done, written) = sync_channel(1);
    if lines.try_send(Message::Flush(done)).is_ok() {
        // If the reader is blocked, the last lines are lost.
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
    }
}

fn write_all(lines: &Receiver<Message>, dropped: &AtomicU64, out: &mut impl Write) {
    while let Ok(first) = lines.recv() {
        let mut flushed = Vec::new();
        let mut batch = Vec::new();
        for message in std::iter::once(first).chain(lines.try_iter().take(BUFFERED_LINES)) {
            match message {
                Message::Line(line) => batch.extend_from_slice(&line),
                Message::Flush(done) => flushed.push(done),
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
        // If standard output is closed, the error cannot be reported anywhere.
        let _ = out.write_all(&batch).and_then(|()| out.flush());
        for done in flushed {
            let _ = done.try_send(());
        }
    }
}

#[cfg(test)]
mod tests;
