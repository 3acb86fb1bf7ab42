//! Bodies of the target stand-in's answers.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::{sync::watch, time::Sleep};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::serve::Closed;

/// Maximum size of one frame of a body in bytes.
const FRAME_BYTES: usize = 16 << 10;

/// Generates the body of the answer to a request: pseudo-random bytes that are the same for equal
/// requests.
#[must_use]
pub fn answer_bytes(method: &str, path: &str, body: &[u8], len: usize) -> Bytes {
    let mut hash = Xxh3::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hash.update(&part.len().to_le_bytes());
        hash.update(part);
    }
    let mut state = hash.digest() | 1;
    let mut bytes = Vec::with_capacity(len + 8);
    while bytes.len() < len {
        // A xorshift step; the state is never 0.
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        bytes.extend_from_slice(&state.to_le_bytes());
    }
    bytes.truncate(len);
    bytes.into()
}

/// The value of the header `sassafras-body-hash`.
#[must_use]
pub fn answer_hash(body: &[u8]) -> String {
    format!("{:016x}", xxh3_64(body))
}

/// How the end of the answer's body is marked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// With `content-length`.
    Length,
    /// With `transfer-encoding: chunked`.
    Chunked,
}

/// A body that is sent in frames, with an optional pause after each. No frame is sent while the
/// target is frozen.
pub struct AnswerBody {
    rest: Bytes,
    pause: Duration,
    framing: Framing,
    sleep: Option<Pin<Box<Sleep>>>,
    frozen: watch::Receiver<bool>,
    thaw: Option<Pin<Box<dyn Future<Output = ()> + Send + Sync>>>,
}

impl AnswerBody {
    /// Creates a body.
    #[must_use]
    pub fn new(
        bytes: Bytes,
        pause: Duration,
        framing: Framing,
        frozen: watch::Receiver<bool>,
    ) -> Self {
        Self {
            rest: bytes,
            pause,
            framing,
            sleep: None,
            frozen,
            thaw: None,
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Closed;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Closed>>> {
        if *self.frozen.borrow() && self.thaw.is_none() {
            let mut frozen = self.frozen.clone();
            self.thaw = Some(Box::pin(async move {
                // The sender is never dropped, so the wait cannot fail.
                let _ = frozen.wait_for(|it| !it).await;
            }));
        }
        if let Some(thaw) = &mut self.thaw {
            ready!(thaw.as_mut().poll(cx));
            self.thaw = None;
        }
        if let Some(sleep) = &mut self.sleep {
            ready!(sleep.as_mut().poll(cx));
            self.sleep = None;
        }
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let len = self.rest.len().min(FRAME_BYTES);
        let frame = self.rest.split_to(len);
        if !self.pause.is_zero() {
            self.sleep = Some(Box::pin(tokio::time::sleep(self.pause)));
        }
        Poll::Ready(Some(Ok(Frame::data(frame))))
    }

    fn size_hint(&self) -> SizeHint {
        match self.framing {
            Framing::Length => SizeHint::with_exact(self.rest.len() as u64),
            Framing::Chunked => SizeHint::default(),
        }
    }
}
