//! A stream that notes when bytes arrive.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use process::BootClock;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::liveness::Arrivals;

/// What has arrived on a stream, for other tasks.
pub struct Received {
    clock: BootClock,
    reads: AtomicU64,
    last: AtomicU64,
}

impl Received {
    fn new(clock: BootClock) -> Self {
        Self {
            clock,
            reads: AtomicU64::new(0),
            last: AtomicU64::new(clock.now()),
        }
    }

    /// What has arrived so far.
    pub fn arrivals(&self) -> Arrivals {
        let reads = self.reads.load(Ordering::Acquire);
        Arrivals {
            reads,
            last: self.last.load(Ordering::Acquire),
        }
    }

    fn add(&self) {
        self.last.store(self.clock.now(), Ordering::Release);
        self.reads.fetch_add(1, Ordering::Release);
    }
}

/// A stream that notes when bytes arrive.
pub struct ReceivingStream {
    stream: TcpStream,
    received: Arc<Received>,
}

impl ReceivingStream {
    /// Wraps a stream that has just been connected.
    pub fn new(stream: TcpStream, clock: BootClock) -> (Self, Arc<Received>) {
        let received = Arc::new(Received::new(clock));
        let it = Self {
            stream,
            received: Arc::clone(&received),
        };
        (it, received)
    }
}

impl AsyncRead for ReceivingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.received.add();
        }
        polled
    }
}

impl AsyncWrite for ReceivingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
