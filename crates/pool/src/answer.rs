//! Reads bodies of answers into memory, within limits.

use std::{
    pin::pin,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Body;
use thiserror::Error;

/// Start of each body that does not count towards the total, so that short answers are read even
/// while the total is used up.
const UNCOUNTED_BYTES: usize = 64 << 10;

/// Why an answer was not read.
#[derive(Debug, Display, Error)]
pub enum AnswerError {
    /// the connection failed: {0}
    Connection(#[from] hyper::Error),
    /// the body is longer than {0} bytes
    TooLong(usize),
    /// the bodies that are being read are longer in total than allowed
    TooManyBytes,
    /// no byte of the body arrived for {0:?}
    Stalled(Duration),
}

/// Limits of bodies that are read into memory.
#[derive(Debug)]
pub struct AnswerLimits {
    /// Longest body in bytes.
    each: usize,
    /// What is left of the total of the bodies that are being read, in bytes.
    left: AtomicUsize,
}

impl AnswerLimits {
    /// Creates limits for `each` body and for the `total` of those that are being read at the same
    /// time, in bytes.
    #[must_use]
    pub fn new(each: usize, total: usize) -> Self {
        Self {
            each,
            left: AtomicUsize::new(total),
        }
    }

    /// The longest body in bytes.
    #[must_use]
    pub fn each(&self) -> usize {
        self.each
    }

    /// Reads a body to its end.
    ///
    /// # Errors
    ///
    /// Fails if the body exceeds a limit or its connection fails. The connection must be closed
    /// then, because the rest of the body was not read.
    pub async fn read<B>(&self, body: B) -> Result<Bytes, AnswerError>
    where
        B: Body<Data = Bytes, Error = hyper::Error>,
    {
        self.read_frames(body, None).await
    }

    /// Reads a body to its end, as long as a part of it arrives in each `pause`. A long body can take
    /// long on a slow link, while a connection that went silent is noticed early.
    ///
    /// # Errors
    ///
    /// Fails as [`AnswerLimits::read`] does, or if nothing arrives in a `pause`.
    pub async fn read_steadily<B>(&self, body: B, pause: Duration) -> Result<Bytes, AnswerError>
    where
        B: Body<Data = Bytes, Error = hyper::Error>,
    {
        self.read_frames(body, Some(pause)).await
    }

    async fn read_frames<B>(&self, body: B, pause: Option<Duration>) -> Result<Bytes, AnswerError>
    where
        B: Body<Data = Bytes, Error = hyper::Error>,
    {
        if body.size_hint().lower() > self.each as u64 {
            return Err(AnswerError::TooLong(self.each));
        }
        let mut body = pin!(Limited::new(body, self.each));
        let mut reserved = Reservation::new(self);
        let mut bytes = BytesMut::new();
        loop {
            let frame = match pause {
                None => body.frame().await,
                Some(pause) => match tokio::time::timeout(pause, body.frame()).await {
                    Ok(frame) => frame,
                    Err(_) => return Err(AnswerError::Stalled(pause)),
                },
            };
            let Some(frame) = frame else { break };
            let frame = frame.map_err(|err| self.error_of(err))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if !reserved.grow_to(bytes.len() + data.len()) {
                return Err(AnswerError::TooManyBytes);
            }
            bytes.extend_from_slice(&data);
        }
        Ok(bytes.freeze())
    }

    fn error_of(&self, err: Box<dyn std::error::Error + Send + Sync>) -> AnswerError {
        match err.downcast::<hyper::Error>() {
            Ok(err) => AnswerError::Connection(*err),
            Err(err) => {
                debug_assert!(err.is::<LengthLimitError>());
                AnswerError::TooLong(self.each)
            }
        }
    }
}

/// The part of the total that one body uses while it is being read.
struct Reservation<'a> {
    limits: &'a AnswerLimits,
    bytes: usize,
}

impl<'a> Reservation<'a> {
    fn new(limits: &'a AnswerLimits) -> Self {
        Self { limits, bytes: 0 }
    }

    /// Extends the reservation to a body of `length` bytes; returns whether the total allows it.
    fn grow_to(&mut self, length: usize) -> bool {
        let counted = length.saturating_sub(UNCOUNTED_BYTES);
        let more = counted - self.bytes;
        let taken = |left: usize| left.checked_sub(more);
        let left = &self.limits.left;
        let grown = left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, taken);
        if grown.is_ok() {
            self.bytes = counted;
        }
        grown.is_ok()
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.limits.left.fetch_add(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
