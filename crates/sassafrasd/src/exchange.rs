//! A request that a target is answering, and the ways in which that ends.

use std::sync::Arc;

use admission::{End, Outcome};
use http::{HeaderValue, StatusCode};
use pool::Sender;

use crate::{
    claims::ClaimGuard,
    crash,
    gate::{Gate, Turn},
    host::Host,
};

/// A request whose answer has begun. It holds the target's slot and its claim.
pub struct Exchange {
    /// The host.
    pub host: Arc<Host>,
    /// The gate of the target.
    pub gate: Arc<Gate>,
    /// The place in the queue.
    pub turn: Turn,
    /// The claim of a non-idempotent request.
    pub claim: Option<ClaimGuard>,
    /// The connection to the target.
    pub sender: Sender,
    /// Status of the answer.
    pub status: StatusCode,
    /// Content type of the answer.
    pub kind: Option<HeaderValue>,
    /// Bytes of the request's body.
    pub sent: u64,
    /// Fingerprint of the request.
    pub fingerprint: u64,
}

/// How a connection failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// It broke.
    Broken,
    /// It made no progress.
    Silent,
    /// The caller's deadline ended.
    Late,
}

impl Exchange {
    /// The target has sent its whole answer of `received` bytes, which starts with `answer`.
    pub fn complete(self, answer: &[u8], received: u64) {
        let now = self.host.clock.now();
        let service = &self.gate.id.service;
        self.host
            .with_quarantine(service, |it| it.on_answer(self.fingerprint));
        {
            let mut inner = self.gate.lock();
            inner.health.on_answer(now, Outcome::Answered);
            if let Some(low) = self.turn.low() {
                inner.load.count_bytes(low, self.sent + received);
            }
        }
        self.gate.pool.put_back(self.sender);
        self.turn.end(End::Answered);
        if let Some(claim) = self.claim {
            claim.record(self.status, self.kind.as_ref(), answer);
        }
    }

    /// The caller is gone. Closing the connection cancels the request on the target.
    pub fn cancel(self) {
        drop(self.sender);
        self.turn.end(End::Cancelled);
    }

    /// The connection failed before the answer was whole.
    pub async fn fail(self, failure: Failure) {
        drop(self.sender);
        fail(&self.host, &self.gate, self.turn.id(), failure).await;
        self.turn.end(End::Failed);
    }
}

/// Notes that the connection of the request `id` failed, and finds out whether the target crashed.
pub async fn fail(host: &Arc<Host>, gate: &Arc<Gate>, id: u64, failure: Failure) {
    let now = host.clock.now();
    match failure {
        Failure::Broken => {
            gate.lock().broke(now, id);
            crash::confirm(host, gate).await;
        }
        Failure::Silent => {
            // Connections of the same age may have gone silent with this one.
            gate.pool.close_idle();
            gate.lock().health.on_answer(now, Outcome::Failed);
        }
        Failure::Late => {}
    }
}
