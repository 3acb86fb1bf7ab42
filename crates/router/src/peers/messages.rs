//! Limits the bytes of unfinished control messages on all connections together.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, ReadBuf},
    time::{Sleep, sleep},
};

/// Most bytes of messages that are being read at the same time: an eighth of the 260 MB of a host.
const MAX_TOTAL_BYTES: usize = 32 << 20;

/// Start of each message that does not count towards the total, so that short messages are read even
/// while the total is used up.
const UNCOUNTED_BYTES: usize = 64 << 10;

/// Most bytes that are read at a time, because they are counted afterwards.
const READ_BYTES: usize = 64 << 10;

/// Longest time for a message to arrive.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(3);

/// Length of the number before each message that states its length.
const PREFIX_BYTES: usize = 4;

/// What is left of the total, in bytes.
#[derive(Clone)]
pub(super) struct MessageBudget(Arc<AtomicUsize>);

impl MessageBudget {
    /// Creates a budget that is not in use.
    pub(super) fn new() -> Self {
        Self(Arc::new(AtomicUsize::new(MAX_TOTAL_BYTES)))
    }
}

/// Reads messages with a length before each; fails if one takes too long or the budget is used up.
pub(super) struct MessageReader<R> {
    stream: R,
    budget: MessageBudget,
    prefix: [u8; PREFIX_BYTES],
    /// Bytes of the current message that have arrived, its length included.
    arrived: usize,
    /// Bytes of the budget that the message uses.
    reserved: usize,
    /// When the current message must have arrived.
    end: Option<Pin<Box<Sleep>>>,
}

impl<R> MessageReader<R> {
    /// Creates a reader at the start of a message.
    pub(super) fn new(stream: R, budget: MessageBudget) -> Self {
        Self {
            stream,
            budget,
            prefix: [0; PREFIX_BYTES],
            arrived: 0,
            reserved: 0,
            end: None,
        }
    }

    /// Counts bytes that have arrived.
    fn count(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            if self.arrived < PREFIX_BYTES {
                self.prefix[self.arrived] = bytes[0];
                self.arrived += 1;
                bytes = &bytes[1..];
            } else {
                let length = u32::from_be_bytes(self.prefix) as usize;
                let taken = bytes.len().min(length + PREFIX_BYTES - self.arrived);
                self.arrived += taken;
                bytes = &bytes[taken..];
                self.reserve()?;
            }
            if self.is_complete() {
                self.arrived = 0;
                self.give_back();
            }
        }
        Ok(())
    }

    fn is_complete(&self) -> bool {
        let length = u32::from_be_bytes(self.prefix) as usize;
        self.arrived >= PREFIX_BYTES && self.arrived == length + PREFIX_BYTES
    }

    fn reserve(&mut self) -> io::Result<()> {
        let counted = self.arrived.saturating_sub(UNCOUNTED_BYTES);
        let taken = |left: usize| left.checked_sub(counted - self.reserved);
        let left = &self.budget.0;
        let reserved = left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, taken);
        if reserved.is_err() {
            let text = "the messages that are being read are too long in total";
            return Err(io::Error::new(io::ErrorKind::InvalidData, text));
        }
        self.reserved = counted;
        Ok(())
    }

    fn give_back(&mut self) {
        self.budget.0.fetch_add(self.reserved, Ordering::Relaxed);
        self.reserved = 0;
    }
}

impl<R> Drop for MessageReader<R> {
    fn drop(&mut self) {
        self.give_back();
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for MessageReader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if let Some(end) = &mut this.end
            && end.as_mut().poll(cx).is_ready()
        {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        let room = buf.remaining().min(READ_BYTES);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(room));
        std::task::ready!(Pin::new(&mut this.stream).poll_read(cx, &mut part))?;
        let bytes = part.filled();
        this.count(bytes)?;
        let read = bytes.len();
        buf.advance(read);
        if this.arrived == 0 {
            this.end = None;
        } else if this.end.is_none() {
            this.end = Some(Box::pin(sleep(MESSAGE_TIMEOUT)));
        }
        Poll::Ready(Ok(()))
    }
}

#[cfg(test)]
mod tests;
