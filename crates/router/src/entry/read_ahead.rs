//! A caller's connection that is read ahead to find pipelined requests.
//!
//! Callers may send further requests before the first one has been answered. HTTP/1.1 requires
//! answers in order but does not keep the requests from running concurrently, so the heads of later
//! requests are parsed while an earlier one is being answered. Reading ahead also detects at once
//! that the caller has closed the connection.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll},
};

use bytes::{Buf, BytesMut};
use http::{HeaderName, HeaderValue, Method, Request, Uri, header, request::Parts};
use pool::{MAX_HEAD_BYTES, max_headers};
use tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
    net::TcpStream,
};

/// Maximum number of bytes that are buffered ahead of the HTTP server.
const MAX_AHEAD_BYTES: usize = 64 * 1024;

/// Bytes that are read at a time.
const READ_CHUNK_BYTES: usize = 8 * 1024;

/// Number of headers of most requests; those with more need a second attempt to parse them.
const USUAL_HEADERS: usize = 64;

/// A caller's connection.
#[derive(Clone)]
pub(super) struct ReadAhead {
    stream: Arc<TcpStream>,
    state: Arc<Mutex<State>>,
}

struct State {
    /// Bytes that were read from the socket and not yet passed to the HTTP server.
    buffer: BytesMut,
    scanner: RequestScanner,
    /// Heads of requests without a body, with the number of the request on the connection.
    heads: Vec<(u64, Parts)>,
    ended: bool,
}

/// Incremental parser that splits the bytes of a connection into requests.
struct RequestScanner {
    /// Bytes after the last complete head and its body.
    unparsed: BytesMut,
    /// Bytes of the current body that have not arrived.
    body_left: u64,
    /// Number of complete heads so far.
    number: u64,
    /// Whether parsing has stopped because a request could not be delimited.
    stopped: bool,
}

impl ReadAhead {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream: Arc::new(stream),
            state: Arc::new(Mutex::new(State {
                buffer: BytesMut::new(),
                scanner: RequestScanner {
                    unparsed: BytesMut::new(),
                    body_left: 0,
                    number: 0,
                    stopped: false,
                },
                heads: Vec::new(),
                ended: false,
            })),
        }
    }

    /// Reads ahead while there is room in the buffer. Resolves when the caller has closed the
    /// connection or reading fails.
    pub(super) fn poll_read_ahead(&self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            if self.state().buffer.len() >= MAX_AHEAD_BYTES {
                return Poll::Pending;
            }
            match self.poll_fill(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(0) | Err(_)) => return Poll::Ready(()),
                Poll::Ready(Ok(_)) => {}
            }
        }
    }

    /// Takes the heads that were parsed since the last call, with the number of the request on the
    /// connection, from 0.
    pub(super) fn take_heads(&self) -> Vec<(u64, Parts)> {
        std::mem::take(&mut self.state().heads)
    }

    /// Shuts down the write side, and discards what the caller still sends until it closes the
    /// connection too. Otherwise bytes that arrive after the close would reset the connection, and
    /// the caller would lose the last answer.
    pub(super) async fn linger(mut self) {
        if std::future::poll_fn(|cx| Pin::new(&mut self).poll_shutdown(cx))
            .await
            .is_err()
        {
            return;
        }
        let mut discarded = vec![0; READ_CHUNK_BYTES];
        loop {
            if self.stream.readable().await.is_err() {
                return;
            }
            match self.stream.try_read(&mut discarded) {
                Ok(0) => return,
                Err(err) if err.kind() != io::ErrorKind::WouldBlock => return,
                Ok(_) | Err(_) => {}
            }
        }
    }

    /// Reads from the socket into the buffer.
    fn poll_fill(&self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        loop {
            if self.state().ended {
                return Poll::Ready(Ok(0));
            }
            std::task::ready!(self.stream.poll_read_ready(cx))?;
            let mut state = self.state();
            let mut bytes = [0; READ_CHUNK_BYTES];
            match self.stream.try_read(&mut bytes) {
                Ok(count) => {
                    state.ended = count == 0;
                    state.buffer.extend_from_slice(&bytes[..count]);
                    let heads = state.scanner.feed(&bytes[..count]);
                    state.heads.extend(heads);
                    return Poll::Ready(Ok(count));
                }
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                Err(err) => return Poll::Ready(Err(err)),
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock is not poisoned")
    }
}

impl AsyncRead for ReadAhead {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.state().buffer.is_empty() {
            std::task::ready!(self.poll_fill(cx))?;
        }
        let mut state = self.state();
        let count = state.buffer.len().min(out.remaining());
        out.put_slice(&state.buffer[..count]);
        state.buffer.advance(count);
        if state.buffer.is_empty() {
            state.buffer = BytesMut::new();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ReadAhead {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[io::IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            std::task::ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write_vectored(parts) {
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                done => return Poll::Ready(done),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let shutdown = || rustix::net::shutdown(&*self.stream, rustix::net::Shutdown::Write);
        let done = self.stream.try_io(Interest::WRITABLE, || Ok(shutdown()?));
        match done {
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => Poll::Ready(Ok(())),
            done => Poll::Ready(done),
        }
    }
}

impl RequestScanner {
    /// Parses the next bytes of the connection, which must be passed in order of arrival. Returns
    /// the heads of requests without a body that these bytes complete.
    fn feed(&mut self, bytes: &[u8]) -> Vec<(u64, Parts)> {
        let mut heads = Vec::new();
        if self.stopped {
            return heads;
        }
        self.unparsed.extend_from_slice(bytes);
        loop {
            let skipped = usize::try_from(self.body_left)
                .unwrap_or(usize::MAX)
                .min(self.unparsed.len());
            self.unparsed.advance(skipped);
            self.body_left -= skipped as u64;
            if self.unparsed.is_empty() {
                self.unparsed = BytesMut::new();
                return heads;
            }
            match parse(&self.unparsed) {
                Head::Partial => return heads,
                Head::Unknown => {
                    self.stopped = true;
                    self.unparsed = BytesMut::new();
                    return heads;
                }
                Head::Complete {
                    head_bytes,
                    body_bytes,
                    parts,
                } => {
                    self.unparsed.advance(head_bytes);
                    self.body_left = body_bytes;
                    if body_bytes == 0 {
                        heads.push((self.number, *parts));
                    }
                    self.number += 1;
                }
            }
        }
    }
}

/// Result of parsing bytes as the head of a request.
enum Head {
    /// More bytes are needed.
    Partial,
    /// A request that cannot be delimited: it is malformed, has too many headers, or does not state
    /// the length of its body.
    Unknown,
    Complete {
        head_bytes: usize,
        body_bytes: u64,
        parts: Box<Parts>,
    },
}

fn parse(bytes: &[u8]) -> Head {
    let parsed = parse_with(&mut [httparse::EMPTY_HEADER; USUAL_HEADERS], bytes);
    parsed.unwrap_or_else(|| {
        let headers = max_headers(bytes.len().min(MAX_HEAD_BYTES));
        let parsed = parse_with(&mut vec![httparse::EMPTY_HEADER; headers], bytes);
        parsed.unwrap_or(Head::Unknown)
    })
}

/// Parses bytes as the head of a request; `None` if it has more headers than `headers`.
fn parse_with<'a>(headers: &mut [httparse::Header<'a>], bytes: &'a [u8]) -> Option<Head> {
    let mut head = httparse::Request::new(headers);
    let head_bytes = match head.parse(bytes) {
        Ok(httparse::Status::Complete(head_bytes)) => head_bytes,
        Ok(httparse::Status::Partial) => return Some(Head::Partial),
        Err(httparse::Error::TooManyHeaders) => return None,
        Err(_) => return Some(Head::Unknown),
    };
    Some(match parts_of(&head) {
        Some((parts, body_bytes)) => Head::Complete {
            head_bytes,
            body_bytes,
            parts: Box::new(parts),
        },
        None => Head::Unknown,
    })
}

fn parts_of(head: &httparse::Request<'_, '_>) -> Option<(Parts, u64)> {
    let (mut parts, ()) = Request::new(()).into_parts();
    parts.method = Method::from_bytes(head.method?.as_bytes()).ok()?;
    parts.uri = head.path?.parse::<Uri>().ok()?;
    for it in &*head.headers {
        let name = HeaderName::from_bytes(it.name.as_bytes()).ok()?;
        parts
            .headers
            .append(name, HeaderValue::from_bytes(it.value).ok()?);
    }
    let unsupported = [header::TRANSFER_ENCODING, header::UPGRADE, header::EXPECT];
    if unsupported.iter().any(|it| parts.headers.contains_key(it)) {
        return None;
    }
    let mut lengths = parts.headers.get_all(header::CONTENT_LENGTH).iter();
    let body_bytes = match lengths.next() {
        None => 0,
        Some(length) => length.to_str().ok()?.trim().parse().ok()?,
    };
    lengths.next().is_none().then_some((parts, body_bytes))
}

#[cfg(test)]
mod tests;
