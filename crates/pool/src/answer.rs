//! Reads bodies into memory, within limits.

use std::{
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use http::StatusCode;
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
    /// {0} is not the status of a final answer
    Status(StatusCode),
}

/// Whether an answer with this status is one, from 200 to 599. Informational ones are followed by
/// another; 101 ends the protocol on a connection, which no request here asks for.
#[must_use]
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Limits of bodies that are read into memory.
#[derive(Debug)]
pub struct AnswerLimits {
    /// Longest body in bytes.
    each: usize,
    /// The total of the bodies that are being read or kept, in bytes.
    total: usize,
    /// What is left of the total of the bodies that are being read or kept, in bytes.
    left: Arc<AtomicUsize>,
}

impl AnswerLimits {
    /// Creates limits for `each` body and for the `total` of those that are being read or kept at the
    /// same time, in bytes.
    #[must_use]
    pub fn new(each: usize, total: usize) -> Self {
        Self {
            each,
            total,
            left: Arc::new(AtomicUsize::new(total)),
        }
    }

    /// Whether a quarter of the total is left, so that a further long body can be expected to fit.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.left.load(Ordering::Relaxed) >= self.total / 4
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
        let (bytes, _) = self.read_frames(body, self.each, None).await?;
        Ok(bytes.freeze())
    }

    /// Reads a body of at most `each` bytes to its end. It counts towards the total until its bytes
    /// are dropped.
    ///
    /// # Errors
    ///
    /// Fails as [`AnswerLimits::read`] does.
    pub async fn read_kept<B>(&self, body: B, each: usize) -> Result<Bytes, AnswerError>
    where
        B: Body<Data = Bytes, Error = hyper::Error>,
    {
        let (bytes, reserved) = self.read_frames(body, each.min(self.each), None).await?;
        if reserved.bytes == 0 {
            return Ok(bytes.freeze());
        }
        Ok(Bytes::from_owner(KeptBytes {
            bytes,
            _reserved: reserved,
        }))
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
        let (bytes, _) = self.read_frames(body, self.each, Some(pause)).await?;
        Ok(bytes.freeze())
    }

    async fn read_frames<B>(
        &self,
        body: B,
        each: usize,
        pause: Option<Duration>,
    ) -> Result<(BytesMut, Reservation), AnswerError>
    where
        B: Body<Data = Bytes, Error = hyper::Error>,
    {
        if body.size_hint().lower() > each as u64 {
            return Err(AnswerError::TooLong(each));
        }
        let mut body = pin!(Limited::new(body, each));
        let mut reserved = Reservation::new(Arc::clone(&self.left));
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
            let frame = frame.map_err(|err| error_of(err, each))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if !reserved.grow_to(bytes.len() + data.len()) {
                return Err(AnswerError::TooManyBytes);
            }
            bytes.extend_from_slice(&data);
        }
        Ok((bytes, reserved))
    }
}

fn error_of(err: Box<dyn std::error::Error + Send + Sync>, each: usize) -> AnswerError {
    match err.downcast::<hyper::Error>() {
        Ok(err) => AnswerError::Connection(*err),
        Err(err) => {
            debug_assert!(err.is::<LengthLimitError>());
            AnswerError::TooLong(each)
        }
    }
}

/// A body with its part of the total.
struct KeptBytes {
    bytes: BytesMut,
    _reserved: Reservation,
}

impl AsRef<[u8]> for KeptBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The part of the total that one body uses while it is being read or kept.
struct Reservation {
    left: Arc<AtomicUsize>,
    bytes: usize,
}

impl Reservation {
    fn new(left: Arc<AtomicUsize>) -> Self {
        Self { left, bytes: 0 }
    }

    /// Extends the reservation to a body of `length` bytes; returns whether the total allows it.
    fn grow_to(&mut self, length: usize) -> bool {
        let counted = length.saturating_sub(UNCOUNTED_BYTES);
        let more = counted - self.bytes;
        let taken = |left: usize| left.checked_sub(more);
        let grown = self
            .left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, taken);
        if grown.is_ok() {
            self.bytes = counted;
        }
        grown.is_ok()
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.left.fetch_add(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
