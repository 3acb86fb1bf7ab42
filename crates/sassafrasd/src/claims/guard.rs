//! The claim of one request.

use std::{sync::Arc, time::Duration};

use admission::{AddOutcome, Claim, ClaimVerdict};
use base64::{Engine, prelude::BASE64_STANDARD};
use http::{HeaderValue, Response, StatusCode, header};
use refusal::{Ran, Reason, Refusal};
use serde_json::Value;
use tokio::sync::oneshot;
use xxhash_rust::xxh3::Xxh3;

use super::{ClaimRow, ClaimState, Claims, Entry};
use crate::{
    body::{Body, REPLAYED, full},
    clock::Clock,
    host::Host,
    inbound::Inbound,
};

/// A claim is given up this long before the request's deadline.
const CLAIM_MARGIN_MS: u64 = 10;

/// Longest time for which a refusal waits until its claim is deleted: two batches and a slow
/// commit.
const DELETE_TIMEOUT: Duration = Duration::from_millis(100);

/// Maximum size of an answer that is recorded in order to replay it for a second send of the
/// request.
pub const OUTCOME_LIMIT_BYTES: usize = 4 * 1024;

/// Outcome of [`ClaimGuard::take`].
pub enum TakeOutcome {
    /// The request may be sent.
    Claimed(Box<ClaimGuard>),
    /// The request has already run; this is its recorded answer.
    Replay(Response<Body>),
}

/// Guard of a written claim. If it is dropped without an outcome, the claim is deleted if the
/// request did not run, and kept otherwise, because the request may have run.
pub struct ClaimGuard {
    claims: Arc<Claims>,
    clock: Clock,
    rev: u64,
    /// What the final write stores; `None` once that is queued.
    entry: Option<Entry>,
    ran: Ran,
}

impl ClaimGuard {
    /// Creates the guard of a row that was written at revision `rev`.
    pub(super) fn new(claims: Arc<Claims>, clock: Clock, entry: Entry, rev: u64) -> Self {
        Self {
            claims,
            clock,
            rev,
            entry: Some(entry),
            ran: Ran::NotRun,
        }
    }

    /// Claims the request's idempotency key, or returns the recorded answer of an earlier send.
    pub async fn take(
        host: &Arc<Host>,
        inbound: &Inbound,
        key: &str,
    ) -> Result<TakeOutcome, Refusal> {
        let hash = claim_hash(inbound, key);
        let name = format!("claim/{}/{hash:016x}", inbound.service().name);
        let attempt = rand::random();
        let row = ClaimRow {
            attempt,
            key: key.to_owned(),
            body: inbound.fingerprint,
            state: ClaimState::Claimed,
        };
        let claim = Claim {
            hash,
            attempt,
            fingerprint: inbound.fingerprint,
            // A claim that is confirmed at the deadline is useless.
            deadline: inbound.deadline.saturating_sub(CLAIM_MARGIN_MS),
        };
        let verdict = match host.claims.add(claim, name.clone(), row.clone()) {
            Ok(verdict) => verdict,
            Err(AddOutcome::Duplicate) => return Err(Reason::OutcomeUnknown.into()),
            Err(AddOutcome::Reused) => return Err(Reason::IdempotencyKeyReused.into()),
            Err(AddOutcome::Full | AddOutcome::Queued) => {
                return Err(Reason::ClaimUnavailable.into());
            }
        };
        match verdict.await {
            Ok(Ok(guard)) => Ok(TakeOutcome::Claimed(Box::new(guard))),
            Ok(Err(ClaimVerdict::Taken)) => recorded_answer(host, &name, &row)
                .await
                .map(TakeOutcome::Replay),
            Ok(Err(_)) | Err(_) => Err(Reason::ClaimUnavailable.into()),
        }
    }

    /// Sets whether the request may have run. Must be called with `Unknown` before the request is
    /// handed to a connection. `NotRun` requires proof that the request was not sent or that the
    /// target refused it.
    pub fn set_ran(&mut self, ran: Ran) {
        self.ran = ran;
    }

    /// Ends the claim of a refused request. If the request did not run, this waits up to
    /// [`DELETE_TIMEOUT`] until the claim is deleted. A retry through another gateway, for example
    /// after this host has resigned, would otherwise conflict with it.
    pub async fn refused(mut self, ran: Ran) {
        self.ran = ran;
        if ran != Ran::NotRun {
            return;
        }
        let (sender, deleted) = oneshot::channel();
        if let Some(entry) = &mut self.entry {
            entry.done = Some(sender);
        }
        drop(self);
        let _ = tokio::time::timeout(DELETE_TIMEOUT, deleted).await;
    }

    /// Records the answer, which is replayed for later sends of the request.
    pub fn record(mut self, status: StatusCode, content_type: Option<&HeaderValue>, answer: &[u8]) {
        let answer = if answer.len() > OUTCOME_LIMIT_BYTES {
            None
        } else {
            Some(BASE64_STANDARD.encode(answer))
        };
        let content = content_type.and_then(|it| it.to_str().map(str::to_owned).ok());
        let Some(mut entry) = self.entry.take() else {
            return;
        };
        entry.row.state = ClaimState::Done {
            status: status.as_u16(),
            content,
            answer,
        };
        entry.final_value = serde_json::to_value(&entry.row).expect("a claim is serialisable");
        self.claims.queue_final_write(&self.clock, entry, self.rev);
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if self.ran != Ran::NotRun {
            return;
        }
        if let Some(mut entry) = self.entry.take() {
            entry.final_value = Value::Null;
            self.claims.queue_final_write(&self.clock, entry, self.rev);
        }
    }
}

/// Reads the answer to a request whose idempotency key was claimed by an earlier send.
async fn recorded_answer(
    host: &Host,
    name: &str,
    own: &ClaimRow,
) -> Result<Response<Body>, Refusal> {
    let row = match host.platform.row(name).await {
        Ok(Some(row)) => row,
        // The earlier claim was deleted because its request did not run.
        Ok(None) => return Err(Refusal::new(Reason::ClaimUnavailable).with_retry(100)),
        Err(_) => return Err(Reason::OutcomeUnknown.into()),
    };
    let Ok(row) = serde_json::from_value::<ClaimRow>(row.value) else {
        return Err(Reason::OutcomeUnknown.into());
    };
    if row.key != own.key || row.body != own.body {
        return Err(Reason::IdempotencyKeyReused.into());
    }
    let ClaimState::Done {
        status,
        content,
        answer: Some(answer),
    } = row.state
    else {
        return Err(Reason::OutcomeUnknown.into());
    };
    let answer = BASE64_STANDARD
        .decode(answer)
        .map_err(|_| Reason::OutcomeUnknown)?;
    let mut response = Response::new(full(answer));
    *response.status_mut() = StatusCode::from_u16(status).map_err(|_| Reason::OutcomeUnknown)?;
    let headers = response.headers_mut();
    headers.insert(REPLAYED, HeaderValue::from_static("true"));
    if let Some(content) = content.and_then(|it| HeaderValue::from_str(&it).ok()) {
        headers.insert(header::CONTENT_TYPE, content);
    }
    Ok(response)
}

fn claim_hash(inbound: &Inbound, key: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(&inbound.hash.to_le_bytes());
    hasher.update(key.as_bytes());
    hasher.digest()
}
