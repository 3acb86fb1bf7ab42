//! A streamed body with a timeout between frames.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::time::Sleep;

use crate::{body::BodyError, host::Host};

/// Wraps a body and fails it if no frame arrives within a time limit, because a broken connection
/// may never report an error.
pub struct ProgressBody<B> {
    inner: B,
    limit: Duration,
    timer: Pin<Box<Sleep>>,
    link: Option<(Arc<Host>, Arc<str>)>,
}

impl<B> ProgressBody<B> {
    /// Creates a body that fails after `limit` without a frame.
    pub fn new(inner: B, limit: Duration) -> Self {
        Self {
            inner,
            limit,
            timer: Box::pin(tokio::time::sleep(limit)),
            link: None,
        }
    }

    /// Counts the received bytes as traffic of `service` on the link between regions.
    pub fn with_link(mut self, host: Arc<Host>, service: Arc<str>) -> Self {
        self.link = Some((host, service));
        self
    }
}

impl<B> Body for ProgressBody<B>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<BodyError>,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match Pin::new(&mut self.inner).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                let deadline = tokio::time::Instant::now() + self.limit;
                self.timer.as_mut().reset(deadline);
                if let (Some((host, service)), Some(data)) = (&self.link, frame.data_ref()) {
                    host.count_link_bytes(service, "in", data.len() as u64);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(err))) => Poll::Ready(Some(Err(err.into()))),
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Pending => {
                if self.timer.as_mut().poll(cx).is_ready() {
                    return Poll::Ready(Some(Err(
                        "no frame of the answer arrived within the time limit".into(),
                    )));
                }
                Poll::Pending
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
