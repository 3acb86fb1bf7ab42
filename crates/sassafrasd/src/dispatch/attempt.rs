//! One attempt to send a request to its target.

use std::{sync::Arc, time::Duration};

use admission::{End, Outcome};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use ownership::Permit;
use pool::{ConnectError, Freshness, Sender};
use refusal::{Ran, Reason, Refusal};

use crate::{
    body::REFUSED,
    claims::ClaimGuard,
    crash,
    exchange::{self, Failure},
    gate::{Gate, Turn},
    host::Host,
    inbound::{DEADLINE, IDEMPOTENCY_KEY, Inbound, REQUEST_ID, Runs, answer_headers},
    load::Origin,
    prefetch::{self, Fetched},
    probe,
};

/// Longest wait for a new connection to a target.
const CONNECT_TIMEOUT_MS: u64 = 250;

/// Time before the deadline at which a target may already end its work.
const DEADLINE_SLACK: Duration = Duration::from_millis(20);

/// Header by which a target says that it is draining.
pub const DRAINING: &str = "sassafras-draining";

/// A target's answer and the connection that it comes on.
pub struct Answer {
    pub parts: http::response::Parts,
    pub body: Fetched,
    pub sender: Sender,
}

/// What a request holds while it is sent.
pub struct Place<'a> {
    pub turn: &'a mut Turn,
    pub claim: &'a mut Option<ClaimGuard>,
}

impl Place<'_> {
    /// Notes for the claim whether the request may have run.
    fn note(&mut self, ran: Ran) {
        if let Some(claim) = self.claim {
            claim.note(ran);
        }
    }
}

/// How far a failed attempt came.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// Nothing was sent.
    Unsent,
    /// It was sent, and the connection made no progress.
    Silent,
    /// Another attempt on a new connection would not help.
    Final,
}

/// Why an attempt failed.
pub struct Failed {
    pub refusal: Refusal,
    pub stage: Stage,
    pub end: End,
}

impl Failed {
    fn new(reason: Reason, stage: Stage, end: End) -> Self {
        Self {
            refusal: reason.into(),
            stage,
            end,
        }
    }
}

/// Sends the request and reads the head of its answer, and the body if it is short. The attempt
/// is given up after `share` without progress.
pub async fn send(
    host: &Arc<Host>,
    gate: &Arc<Gate>,
    inbound: &Inbound,
    place: &mut Place<'_>,
    freshness: Freshness,
    share: Duration,
) -> Result<Answer, Failed> {
    let mut sender = connect(host, gate, freshness, share).await?;
    if sender.ready().await.is_err() {
        return Err(Failed::new(
            Reason::TargetUnreachable,
            Stage::Unsent,
            End::Cancelled,
        ));
    }
    // No await stands between the check of the tenure and the hand-over of the request to the
    // connection.
    let permit = begin(host, gate, inbound, place.turn)?;
    place.note(Ran::Unknown);
    let request = request_of(host, inbound, &permit);
    let sent = tokio::time::timeout(share, sender.try_send_request(request)).await;
    let response = match sent {
        Ok(Ok(response)) => response,
        Ok(Err(mut err)) => {
            if err.take_message().is_some() {
                place.note(Ran::NotRun);
                gate.pool.close_idle();
                return Err(Failed::new(
                    Reason::TargetUnreachable,
                    Stage::Unsent,
                    End::Cancelled,
                ));
            }
            log::debug!(
                "target {} broke a connection: {}",
                gate.id.target,
                err.into_error()
            );
            let failure = classify(host, inbound, Failure::Broken, share);
            return Err(failed(host, gate, place.turn, failure).await);
        }
        Err(_) => {
            let failure = classify(host, inbound, Failure::Silent, share);
            return Err(failed(host, gate, place.turn, failure).await);
        }
    };
    let sign = observe(host, gate, response.headers());
    if sign == Sign::DrainBegan && !inbound.service().checks_grants {
        tokio::spawn(probe::until_drain_ends(Arc::clone(host), Arc::clone(gate)));
    }
    if let Some(failed) = refusal_of(&response) {
        return Err(failed);
    }
    let (mut parts, body) = response.into_parts();
    parts.headers = answer_headers(parts.headers);
    parts.version = http::Version::HTTP_11;
    match prefetch::fetch(&parts.headers, body, share).await {
        Ok(body) => Ok(Answer {
            parts,
            body,
            sender,
        }),
        Err(failure) => {
            let failure = classify(host, inbound, failure, share);
            Err(failed(host, gate, place.turn, failure).await)
        }
    }
}

/// Tells a failure of the target from the end of the caller's deadline.
fn classify(host: &Host, inbound: &Inbound, failure: Failure, share: Duration) -> Failure {
    let enough = Duration::from_millis(inbound.service().deadline_ms) / 2;
    let ended = host.clock.until(inbound.deadline) < DEADLINE_SLACK;
    match failure {
        // A target that ends its work at the deadline closes the connection.
        Failure::Broken if ended => Failure::Late,
        // A caller with a short deadline must not make the target look ill.
        Failure::Silent if share < enough.saturating_sub(DEADLINE_SLACK) => Failure::Late,
        Failure::Broken | Failure::Silent | Failure::Late => failure,
    }
}

/// The outcome of a connection that failed after the request was sent.
async fn failed(host: &Arc<Host>, gate: &Arc<Gate>, turn: &Turn, failure: Failure) -> Failed {
    exchange::fail(host, gate, turn.id(), failure).await;
    match failure {
        Failure::Broken => Failed::new(Reason::TargetLost, Stage::Final, End::Failed),
        Failure::Silent | Failure::Late => {
            Failed::new(Reason::DeadlineAfterStart, Stage::Silent, End::Failed)
        }
    }
}

async fn connect(
    host: &Arc<Host>,
    gate: &Arc<Gate>,
    freshness: Freshness,
    share: Duration,
) -> Result<Sender, Failed> {
    let timeout = share.min(Duration::from_millis(CONNECT_TIMEOUT_MS));
    let err = match gate.pool.checkout(freshness, timeout).await {
        Ok(sender) => return Ok(sender),
        Err(err) => err,
    };
    let now = host.clock.now();
    let reason = match err {
        ConnectError::Exhausted => Reason::QueueFull,
        ConnectError::Refused => {
            gate.lock().health.on_answer(now, Outcome::Failed);
            crash::crashed(host, gate);
            Reason::TargetUnreachable
        }
        ConnectError::Unreachable => {
            gate.lock().health.on_answer(now, Outcome::Failed);
            Reason::TargetUnreachable
        }
    };
    Err(Failed::new(reason, Stage::Final, End::Failed))
}

fn begin(host: &Host, gate: &Gate, inbound: &Inbound, turn: &mut Turn) -> Result<Permit, Failed> {
    let now = host.clock.now();
    let mut inner = gate.lock();
    let permit = inner
        .permit(now, inbound.hash)
        .map_err(|reason| Failed::new(reason, Stage::Final, End::Cancelled))?;
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
    inner.sent(now, turn.id(), inbound.fingerprint);
    turn.begin(&mut inner, now, permit);
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
    if let Runs::Once(key) = &inbound.runs {
        put(IDEMPOTENCY_KEY, key);
    }
    if !headers.contains_key(header::HOST) {
        headers.insert(header::HOST, HeaderValue::from_static("target"));
    }
    request
}

/// What an answer says of the target's state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Sign {
    /// The target drains, which was not known.
    DrainBegan,
    /// Nothing new.
    None,
}

/// Notes what the headers of an answer say of the target.
fn observe(host: &Host, gate: &Gate, headers: &HeaderMap) -> Sign {
    if headers.get(DRAINING).is_none_or(|it| it != "true") {
        return Sign::None;
    }
    let mut inner = gate.lock();
    if inner.draining {
        return Sign::None;
    }
    inner.draining = true;
    inner.gateway.drain_by_target(host.clock.now());
    host.wake.notify_one();
    Sign::DrainBegan
}

/// The refusal that a target's answer carries, if any.
fn refusal_of(response: &Response<Incoming>) -> Option<Failed> {
    let label = response.headers().get(REFUSED)?;
    if response.status() == StatusCode::CONFLICT && label == "fenced" {
        return Some(Failed::new(Reason::Fenced, Stage::Final, End::Cancelled));
    }
    if response.status() == StatusCode::SERVICE_UNAVAILABLE && label == "shed" {
        return Some(Failed::new(Reason::TargetShed, Stage::Final, End::Shed));
    }
    None
}

impl From<Failed> for Refusal {
    fn from(failed: Failed) -> Self {
        debug_assert!(failed.stage != Stage::Unsent || failed.refusal.ran == Ran::NotRun);
        failed.refusal
    }
}

#[cfg(test)]
mod tests;
