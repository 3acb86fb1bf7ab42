//! Streams a long answer of a target into the body that the caller reads.

use std::time::Duration;

use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;

use crate::{
    channel::BodyMessage,
    claims::OUTCOME_LIMIT_BYTES,
    exchange::{Exchange, Failure},
};

/// Copies one answer. It holds the target's slot until the target has sent the whole answer, the
/// caller has disconnected, or the connection fails or makes no progress.
pub struct Pump {
    /// The exchange with the target.
    pub exchange: Exchange,
    /// Longest time without a frame.
    pub frame_timeout: Duration,
    /// The writing half of the body.
    pub messages: mpsc::Sender<BodyMessage>,
}

/// How the copy ended.
enum CopyResult {
    Complete,
    Disconnected,
    Failed(Failure),
}

impl Pump {
    /// Copies the body and ends the exchange.
    pub async fn run(self, mut body: Incoming) {
        let mut record = BytesMut::new();
        let mut received_bytes = 0;
        let result = self.copy(&mut body, &mut record, &mut received_bytes).await;
        drop(body);
        match result {
            CopyResult::Complete => {
                self.exchange.complete(&record, received_bytes);
                // The caller may have disconnected by now.
                let _ = self.messages.send(BodyMessage::End).await;
            }
            CopyResult::Disconnected => self.exchange.cancel(),
            CopyResult::Failed(failure) => {
                self.exchange.fail(failure).await;
                let _ = self
                    .messages
                    .send(BodyMessage::Failed(
                        "the answer of the target was truncated".into(),
                    ))
                    .await;
            }
        }
    }

    async fn copy(
        &self,
        body: &mut Incoming,
        record: &mut BytesMut,
        received_bytes: &mut u64,
    ) -> CopyResult {
        loop {
            let frame = tokio::select! {
                biased;
                () = self.messages.closed() => return CopyResult::Disconnected,
                frame = tokio::time::timeout(self.frame_timeout, body.frame()) => frame,
            };
            let frame = match frame {
                Err(_) => return CopyResult::Failed(Failure::Silent),
                Ok(None) => return CopyResult::Complete,
                Ok(Some(Err(err))) => {
                    let target = &self.exchange.target.id.target;
                    log::debug!("answer of target {target} was truncated: {err}");
                    return CopyResult::Failed(Failure::Broken);
                }
                Ok(Some(Ok(frame))) => frame,
            };
            if let Some(data) = frame.data_ref() {
                *received_bytes += data.len() as u64;
                if self.exchange.claim.is_some() && record.len() <= OUTCOME_LIMIT_BYTES {
                    record.extend_from_slice(data);
                }
            }
            if self.messages.send(BodyMessage::Frame(frame)).await.is_err() {
                return CopyResult::Disconnected;
            }
        }
    }
}
