//! One attempt to send a request to its target.

use std::{sync::Arc, time::Duration};

use admission::{HealthOutcome, RequestEnd};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use ownership::Permit;
use pool::{ConnectError, Freshness, Sender, is_final};
use refusal::{Ran, Reason, Refusal};

use crate::{
    answer_buffer::{self, AnswerBody},
    body::REFUSED,
    claims::ClaimGuard,
    crash,
    exchange::{self, Failure},
    gateway_target::{GatewayTarget, SlotGuard},
    host::Host,
    inbound::{DEADLINE, Execution, IDEMPOTENCY_KEY, Inbound, REQUEST_ID, answer_headers},
    load::Origin,
    probe,
};

/// Longest wait for a new connection to a target.
const CONNECT_TIMEOUT_MS: u64 = 250;

/// Time before the deadline at which a target may already end its work.
const DEADLINE_SLACK: Duration = Duration::from_millis(20);

/// Header by which a target says that it is draining.
pub const DRAINING: &str = "sassafras-draining";

/// A target's answer and the connection on which it arrives.
pub struct Answer {
    pub parts: http::response::Parts,
    pub body: AnswerBody,
    pub sender: Sender,
}

/// The guards that a request holds while it is sent.
pub struct HeldGuards<'a> {
    pub slot: &'a mut SlotGuard,
    pub claim: &'a mut Option<ClaimGuard>,
}

impl HeldGuards<'_> {
    /// Records in the claim, if there is one, whether the request may have run.
    fn set_ran(&mut self, ran: Ran) {
        if let Some(claim) = self.claim {
            claim.set_ran(ran);
        }
    }
}

/// How far a failed attempt got, which decides whether another one is made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// Nothing was sent.
    Unsent,
    /// The request was sent, and the connection made no progress.
    Silent,
    /// Another attempt on a new connection would not help.
    Final,
}

/// Why an attempt failed.
pub struct AttemptError {
    pub refusal: Refusal,
    pub stage: Stage,
    pub end: RequestEnd,
}

impl AttemptError {
    fn new(reason: Reason, stage: Stage, end: RequestEnd) -> Self {
        Self {
            refusal: reason.into(),
            stage,
            end,
        }
    }
}

/// Sends the request and reads the head of its answer, and the body if it is short. The attempt
/// fails after `limit` without progress.
pub async fn send(
    host: &Arc<Host>,
    target: &Arc<GatewayTarget>,
    inbound: &Inbound,
    guards: &mut HeldGuards<'_>,
    freshness: Freshness,
    limit: Duration,
) -> Result<Answer, AttemptError> {
    let mut sender = connect(host, target, freshness, limit).await?;
    if sender.ready().await.is_err() {
        return Err(AttemptError::new(
            Reason::TargetUnreachable,
            Stage::Unsent,
            RequestEnd::Cancelled,
        ));
    }
    // There must be no await between the check of the tenure and the hand-over of the request to
    // the connection.
    let permit = begin(host, target, inbound, guards.slot)?;
    guards.set_ran(Ran::Unknown);
    let request = request_of(host, inbound, &permit);
    let sent = tokio::time::timeout(limit, sender.try_send_request(request)).await;
    let response = match sent {
        Ok(Ok(response)) => response,
        Ok(Err(mut err)) => {
            if err.take_message().is_some() {
                guards.set_ran(Ran::NotRun);
                target.pool.close_idle();
                return Err(AttemptError::new(
                    Reason::TargetUnreachable,
                    Stage::Unsent,
                    RequestEnd::Cancelled,
                ));
            }
            log::debug!(
                "connection to target {} broke: {}",
                target.id.target,
                err.into_error()
            );
            let failure = classify(host, inbound, Failure::Broken, limit);
            return Err(attempt_error(host, target, guards.slot, failure).await);
        }
        Err(_) => {
            let failure = classify(host, inbound, Failure::Silent, limit);
            return Err(attempt_error(host, target, guards.slot, failure).await);
        }
    };
    if !is_final(response.status()) {
        log::debug!(
            "target {} answered with status {}",
            target.id.target,
            response.status()
        );
        let failure = classify(host, inbound, Failure::Broken, limit);
        return Err(attempt_error(host, target, guards.slot, failure).await);
    }
    let update = apply_headers(host, target, response.headers());
    if update == TargetUpdate::DrainBegan && !inbound.service().checks_grants {
        tokio::spawn(probe::poll_until_drain_ends(
            Arc::clone(host),
            Arc::clone(target),
        ));
    }
    if let Some(err) = refusal_of(&response) {
        return Err(err);
    }
    let (mut parts, body) = response.into_parts();
    parts.headers = answer_headers(parts.headers);
    parts.version = http::Version::HTTP_11;
    match answer_buffer::buffer_if_short(&parts.headers, body, limit).await {
        Ok(body) => Ok(Answer {
            parts,
            body,
            sender,
        }),
        Err(failure) => {
            let failure = classify(host, inbound, failure, limit);
            Err(attempt_error(host, target, guards.slot, failure).await)
        }
    }
}

/// Distinguishes a failure of the target from the expiry of the caller's deadline.
fn classify(host: &Host, inbound: &Inbound, failure: Failure, limit: Duration) -> Failure {
    let min_limit = Duration::from_millis(inbound.service().deadline_ms) / 2;
    let expired = host.clock.until(inbound.deadline) < DEADLINE_SLACK;
    match failure {
        // A target that ends its work at the deadline closes the connection.
        Failure::Broken if expired => Failure::Late,
        // A caller with a short deadline must not make the target count as unhealthy.
        Failure::Silent if limit < min_limit.saturating_sub(DEADLINE_SLACK) => Failure::Late,
        Failure::Broken | Failure::Silent | Failure::Late => failure,
    }
}

/// Records that the connection failed after the request was sent, and returns the error of the
/// attempt.
async fn attempt_error(
    host: &Arc<Host>,
    target: &Arc<GatewayTarget>,
    slot: &SlotGuard,
    failure: Failure,
) -> AttemptError {
    exchange::record_failure(host, target, slot.id(), failure).await;
    match failure {
        Failure::Broken => AttemptError::new(Reason::TargetLost, Stage::Final, RequestEnd::Failed),
        Failure::Silent | Failure::Late => AttemptError::new(
            Reason::DeadlineAfterStart,
            Stage::Silent,
            RequestEnd::Failed,
        ),
    }
}

async fn connect(
    host: &Arc<Host>,
    target: &Arc<GatewayTarget>,
    freshness: Freshness,
    limit: Duration,
) -> Result<Sender, AttemptError> {
    let timeout = limit.min(Duration::from_millis(CONNECT_TIMEOUT_MS));
    let err = match target.pool.checkout(freshness, timeout).await {
        Ok(sender) => return Ok(sender),
        Err(err) => err,
    };
    let now = host.clock.now();
    let reason = match err {
        ConnectError::Exhausted => Reason::QueueFull,
        ConnectError::Refused => {
            target.lock().health.on_outcome(now, HealthOutcome::Failed);
            crash::record_crash(host, target);
            Reason::TargetUnreachable
        }
        ConnectError::Unreachable => {
            target.lock().health.on_outcome(now, HealthOutcome::Failed);
            Reason::TargetUnreachable
        }
    };
    Err(AttemptError::new(reason, Stage::Final, RequestEnd::Failed))
}

/// Checks the tenure and records that the request is sent.
fn begin(
    host: &Host,
    target: &GatewayTarget,
    inbound: &Inbound,
    slot: &mut SlotGuard,
) -> Result<Permit, AttemptError> {
    let now = host.clock.now();
    let mut inner = target.lock();
    let permit = inner
        .permit(now, inbound.hash)
        .map_err(|reason| AttemptError::new(reason, Stage::Final, RequestEnd::Cancelled))?;
    let own = &host.settings.data_centre;
    let remote = inbound
        .region
        .as_ref()
        .is_some_and(|it| *it != inbound.view.region_name(own));
    let origin = if remote {
        Origin::Remote
    } else {
        Origin::Local
    };
    inner.load.count(permit.low, inbound.hash, origin);
    inner.record_sent(now, slot.id(), inbound.fingerprint);
    slot.begin(&mut inner, now, permit);
    Ok(permit)
}

fn request_of(host: &Host, inbound: &Inbound, permit: &Permit) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(inbound.body.clone()));
    *request.method_mut() = inbound.method.clone();
    *request.uri_mut() = http::Uri::from(inbound.path.clone());
    let headers = request.headers_mut();
    *headers = inbound.headers.clone();
    let mut put = |name: &'static str, value: &str| {
        let value = HeaderValue::from_str(value).expect("identifiers and numbers are header text");
        headers.insert(name, value);
    };
    put("sassafras-service", &inbound.service().name);
    put("sassafras-key-hash", &format!("{:016x}", inbound.hash));
    put("sassafras-epoch", &permit.fence.epoch.to_string());
    put("sassafras-generation", &permit.fence.generation.to_string());
    put(
        "sassafras-incarnation",
        &permit.fence.incarnation.to_string(),
    );
    put(REQUEST_ID, &inbound.id);
    put(
        DEADLINE,
        &host.clock.until(inbound.deadline).as_millis().to_string(),
    );
    if let Execution::AtMostOnce(key) = &inbound.execution {
        put(IDEMPOTENCY_KEY, key);
    }
    if !headers.contains_key(header::HOST) {
        headers.insert(header::HOST, HeaderValue::from_static("target"));
    }
    request
}

/// What the headers of an answer change in the known state of the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TargetUpdate {
    /// The target has begun to drain.
    DrainBegan,
    /// Nothing new.
    None,
}

/// Updates the known state of the target from the headers of an answer.
fn apply_headers(host: &Host, target: &GatewayTarget, headers: &HeaderMap) -> TargetUpdate {
    if headers.get(DRAINING).is_none_or(|it| it != "true") {
        return TargetUpdate::None;
    }
    let mut inner = target.lock();
    if inner.draining {
        return TargetUpdate::None;
    }
    inner.draining = true;
    inner.gateway.drain_by_target(host.clock.now());
    host.wake.notify_one();
    TargetUpdate::DrainBegan
}

/// The refusal that a target's answer carries, if any.
fn refusal_of(response: &Response<Incoming>) -> Option<AttemptError> {
    let label = response.headers().get(REFUSED)?;
    if response.status() == StatusCode::CONFLICT && label == "fenced" {
        return Some(AttemptError::new(
            Reason::Fenced,
            Stage::Final,
            RequestEnd::Cancelled,
        ));
    }
    if response.status() == StatusCode::SERVICE_UNAVAILABLE && label == "shed" {
        return Some(AttemptError::new(
            Reason::TargetShed,
            Stage::Final,
            RequestEnd::Shed,
        ));
    }
    None
}

impl From<AttemptError> for Refusal {
    fn from(err: AttemptError) -> Self {
        debug_assert!(err.stage != Stage::Unsent || err.refusal.ran == Ran::NotRun);
        err.refusal
    }
}

#[cfg(test)]
mod tests;
