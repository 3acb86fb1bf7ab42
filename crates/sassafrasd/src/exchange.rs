//! A request whose answer has begun, and how it ends.

use std::sync::Arc;

use admission::{HealthOutcome, RequestEnd};
use http::{HeaderValue, StatusCode};
use pool::Sender;

use crate::{
    claims::ClaimGuard,
    crash,
    gateway_target::{GatewayTarget, SlotGuard},
    host::Host,
};

/// A request whose answer has begun, with the slot and the claim that it holds.
pub struct Exchange {
    pub host: Arc<Host>,
    pub target: Arc<GatewayTarget>,
    /// The slot of the target.
    pub slot: SlotGuard,
    /// The claim; `None` for an idempotent request.
    pub claim: Option<ClaimGuard>,
    /// The connection to the target.
    pub sender: Sender,
    pub status: StatusCode,
    /// Content type of the answer, if it has one.
    pub content_type: Option<HeaderValue>,
    /// Size of the request's body in bytes.
    pub request_bytes: u64,
    pub fingerprint: u64,
}

/// How a connection failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// It was closed or reset before the answer was complete.
    Broken,
    /// It made no progress.
    Silent,
    /// The caller's deadline has expired, or left too little time to judge the target.
    Late,
}

impl Exchange {
    /// Ends the exchange after the whole answer has arrived. `answer` is its start, which is
    /// recorded for the claim; `received_bytes` is its full size.
    pub fn complete(self, answer: &[u8], received_bytes: u64) {
        let now = self.host.clock.now();
        let service = &self.target.id.service;
        self.host
            .with_quarantine(service, |it| it.on_answer(self.fingerprint));
        {
            let mut inner = self.target.lock();
            inner.health.on_outcome(now, HealthOutcome::Answered);
            if let Some(low) = self.slot.low() {
                inner
                    .load
                    .count_bytes(low, self.request_bytes + received_bytes);
            }
        }
        self.target.pool.put_back(self.sender);
        self.slot.end(RequestEnd::Answered);
        if let Some(claim) = self.claim {
            claim.record(self.status, self.content_type.as_ref(), answer);
        }
    }

    /// Ends the exchange because the caller has disconnected. Closing the connection cancels the
    /// request on the target.
    pub fn cancel(self) {
        drop(self.sender);
        self.slot.end(RequestEnd::Cancelled);
    }

    /// Ends the exchange because the connection failed before the answer was complete.
    pub async fn fail(self, failure: Failure) {
        drop(self.sender);
        record_failure(&self.host, &self.target, self.slot.id(), failure).await;
        self.slot.end(RequestEnd::Failed);
    }
}

/// Records that the connection of the request `id` failed, and tests whether the target crashed.
pub async fn record_failure(
    host: &Arc<Host>,
    target: &Arc<GatewayTarget>,
    id: u64,
    failure: Failure,
) {
    let now = host.clock.now();
    match failure {
        Failure::Broken => {
            target.lock().record_broken(now, id);
            crash::confirm_crash(host, target).await;
        }
        Failure::Silent => {
            // Idle connections of the same age may be silent, too.
            target.pool.close_idle();
            target.lock().health.on_outcome(now, HealthOutcome::Failed);
        }
        Failure::Late => {}
    }
}
