//! A body that another task writes through a channel.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame};
use tokio::sync::mpsc;

use crate::body::BodyError;

/// Maximum number of frames that wait for a slow reader. They hold about 1 MiB, so that a target's
/// slot is freed as soon as the target has sent a photograph.
const CHANNEL_FRAMES: usize = 64;

/// A message from the writer of a body.
pub enum BodyMessage {
    /// A frame.
    Frame(Frame<Bytes>),
    /// The body is complete.
    End,
    /// The body is incomplete and fails with this error.
    Failed(BodyError),
}

/// The reading half of the body. The body fails if the writer is dropped without
/// [`BodyMessage::End`], so that a truncated answer never looks complete.
pub struct ChannelBody {
    messages: mpsc::Receiver<BodyMessage>,
    ended: bool,
}

/// Creates a connected pair.
pub fn channel() -> (mpsc::Sender<BodyMessage>, ChannelBody) {
    let (sender, messages) = mpsc::channel(CHANNEL_FRAMES);
    (
        sender,
        ChannelBody {
            messages,
            ended: false,
        },
    )
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let Poll::Ready(message) = self.messages.poll_recv(cx) else {
            return Poll::Pending;
        };
        match message {
            Some(BodyMessage::Frame(frame)) => Poll::Ready(Some(Ok(frame))),
            Some(BodyMessage::End) => {
                self.ended = true;
                Poll::Ready(None)
            }
            Some(BodyMessage::Failed(err)) => {
                self.ended = true;
                Poll::Ready(Some(Err(err)))
            }
            None => {
                self.ended = true;
                Poll::Ready(Some(Err("the answer was truncated".into())))
            }
        }
    }
}

#[cfg(test)]
mod tests;
