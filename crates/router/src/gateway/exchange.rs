//! Sends one request to a target and reads the answer.

use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

use admission::RequestEnd;
use bytes::Bytes;
use coordinator::{FencingToken, Incarnation, Key, Millis, Phase};
use http::{HeaderValue, Request, Response, StatusCode, header, response::Parts};
use http_body_util::Full;
use pool::{ConnectError, Freshness, Sender};
use refusal::Reason;

use super::{
    GatewayRequest, QueueId, WaitLimit,
    admission_queue::{AdmissionQueue, SlotGuard},
    confirm::{confirm, verify},
    poison,
    retry_after::retry_after,
    standing::Standing,
};
use crate::{
    entry::end_to_end,
    node::{LeavingSource, Node},
    observe::{self, Attempt},
};

/// Longest wait for a new connection to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time without an answer after which a target may have ended, because a machine that loses power does
/// not close its connections.
const SILENT_MS: Millis = 1_000;

/// Longest wait for a target to be granted a key that is moving to it.
const GRANT_WAIT_MS: u64 = 600;

/// Longest pause between two checks whether the target has been granted the key.
const GRANT_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// How an attempt to have a request answered by a target ended.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The target answered.
    Answered(Response<Full<Bytes>>),
    /// The request did not run, and will not.
    NotRun {
        /// Why.
        reason: Reason,
        /// Whether it was sent to a target.
        offered: bool,
        /// For refusals of an admission queue, milliseconds after which it can be served.
        retry_ms: Option<Millis>,
    },
    /// The request may have run.
    Unknown(Reason),
}

/// Extension of the answer of a target that is about to stop.
#[derive(Clone, Debug)]
pub struct LeavingTarget(pub Incarnation);

impl AttemptOutcome {
    /// The outcome of a request that was not sent to a target.
    pub fn not_sent(reason: Reason) -> Self {
        Self::NotRun {
            reason,
            offered: false,
            retry_ms: None,
        }
    }
}

/// Decides whether a request can be expected to be answered within its objective, before its body is
/// read.
///
/// Answers a burst of uploads, whose bodies fill the link between regions although their targets have
/// no room for them.
pub(super) fn check_room(node: &Node, request: &GatewayRequest) -> Result<(), Reason> {
    match key_state(node, request) {
        KeyState::NotOwned => return Err(Reason::NotGateway),
        KeyState::Owned(_) | KeyState::Pending => {}
    }
    node.queues.get(&request.queue).check_room(node, request)
}

/// Waits for a slot of a target, then sends it the request.
pub async fn run(node: &Arc<Node>, request: &GatewayRequest) -> AttemptOutcome {
    let queue = node.queues.get(&request.queue);
    if let Err(reason) = wait_for_grant(node, &queue, request).await {
        return AttemptOutcome::not_sent(reason);
    }
    loop {
        if let Some(outcome) = attempt(node, &queue, request).await {
            return outcome;
        }
    }
}

/// Waits for a slot and sends the request. Returns `None` if the target asked for a pause or left
/// before the request was sent, so that it has to wait again.
async fn attempt(
    node: &Arc<Node>,
    queue: &Arc<AdmissionQueue>,
    request: &GatewayRequest,
) -> Option<AttemptOutcome> {
    let entered = node.clock.now();
    let slot = match queue.acquire_slot(node, request).await {
        Ok(slot) => slot,
        Err(rejection) => {
            observe::queue_rejected(node, request, rejection, queue.load());
            let reason = rejection.reason;
            return Some(AttemptOutcome::NotRun {
                reason,
                offered: false,
                retry_ms: return_ms(queue, request, reason),
            });
        }
    };
    let slice = match key_state(node, request) {
        KeyState::Owned(slice) => slice,
        KeyState::Pending => return Some(AttemptOutcome::not_sent(Reason::NoOwner)),
        KeyState::NotOwned => return Some(AttemptOutcome::not_sent(Reason::NotGateway)),
    };
    let began = node.clock.now();
    if let Some(check) = slot.take_check() {
        // The check does not delay the request, which the pace of cold targets allows in any case.
        let service = Arc::clone(&request.service);
        tokio::spawn(verify(Arc::clone(node), check, service));
    }
    let mut outcome = exchange(node, &slot, request).await;
    if let AttemptOutcome::NotRun {
        reason: Reason::TargetPaused | Reason::TargetDraining,
        offered: false,
        ..
    } = outcome
    {
        return None;
    }
    let attempt = Attempt {
        request,
        target: (&slot.incarnation.target, slot.incarnation.started_ms),
        token: slice.map_or(0, |it| it.1),
        waited_ms: began.saturating_sub(entered),
        took_ms: node.clock.now().saturating_sub(began),
        outcome: &outcome,
    };
    observe::attempt(node, &attempt);
    if let (Some((first, _)), Some(key)) = (slice, request.key) {
        match &outcome {
            AttemptOutcome::NotRun {
                reason: Reason::Fenced,
                ..
            } => {
                queue.on_refused(first, key);
                node.report_soon.notify_one();
            }
            AttemptOutcome::Answered(_) => queue.on_held(first),
            AttemptOutcome::NotRun { .. } | AttemptOutcome::Unknown(_) => {}
        }
    }
    if is_connection_failure(&outcome, node.clock.now().saturating_sub(began)) {
        slot.on_connection_failure(node);
    }
    if matches!(outcome, AttemptOutcome::Unknown(Reason::TargetLost)) {
        poison::confirm_crash(node, &slot.pool, slot.incarnation.clone(), request).await;
    }
    let (end, health) = effects_of(&outcome);
    if let AttemptOutcome::NotRun {
        reason: reason @ Reason::TargetPaused,
        retry_ms,
        ..
    } = &mut outcome
    {
        let pause_ms = retry_ms.unwrap_or_default();
        if slot.on_pause(pause_ms) {
            observe::pause_started(node, request, &slot.incarnation, pause_ms);
        }
        *retry_ms = return_ms(queue, request, *reason);
    }
    if let AttemptOutcome::NotRun {
        reason: reason @ Reason::TargetShed,
        retry_ms,
        ..
    } = &mut outcome
    {
        *retry_ms = return_ms(queue, request, *reason);
    }
    slot.end(end, health);
    Some(outcome)
}

/// Whether an attempt that took `took_ms` may have failed because the target has ended or cannot be
/// reached.
fn is_connection_failure(outcome: &AttemptOutcome, took_ms: Millis) -> bool {
    match outcome {
        AttemptOutcome::NotRun {
            reason: Reason::TargetUnreachable,
            ..
        }
        | AttemptOutcome::Unknown(Reason::TargetLost) => true,
        AttemptOutcome::Unknown(Reason::DeadlineAfterStart) => took_ms >= SILENT_MS,
        AttemptOutcome::Answered(_)
        | AttemptOutcome::NotRun { .. }
        | AttemptOutcome::Unknown(_) => false,
    }
}

/// When a caller whose request was refused for `reason` should return. A request that is tried at
/// another queue takes no place among the callers that return to this one.
fn return_ms(queue: &AdmissionQueue, request: &GatewayRequest, reason: Reason) -> Option<Millis> {
    match reason {
        Reason::TargetPaused => queue.return_ms(),
        Reason::DeadlineBeforeStart | Reason::QueueFull | Reason::TargetShed
            if request.wait_limit == WaitLimit::Deadline =>
        {
            queue.slot_return_ms(request)
        }
        _ => None,
    }
}

/// Returns how an outcome is counted by the queue and by the target's health.
fn effects_of(outcome: &AttemptOutcome) -> (RequestEnd, Option<admission::HealthOutcome>) {
    match outcome {
        AttemptOutcome::Answered(answer) if answer.status().is_server_error() => {
            (RequestEnd::Answered, Some(admission::HealthOutcome::Failed))
        }
        AttemptOutcome::Answered(_) => (
            RequestEnd::Answered,
            Some(admission::HealthOutcome::Answered),
        ),
        // The queue never sends more requests than the target has slots, so a rejected request does
        // not lower the limit: slots would stay empty.
        AttemptOutcome::NotRun {
            reason: Reason::TargetShed | Reason::TargetPaused,
            ..
        } => (RequestEnd::Cancelled, Some(admission::HealthOutcome::Shed)),
        AttemptOutcome::NotRun {
            reason: Reason::TargetUnreachable,
            ..
        }
        | AttemptOutcome::Unknown(Reason::TargetLost) => {
            (RequestEnd::Failed, Some(admission::HealthOutcome::Failed))
        }
        AttemptOutcome::NotRun { .. } | AttemptOutcome::Unknown(_) => (RequestEnd::Failed, None),
    }
}

/// Whether the target of a request owns its key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum KeyState {
    /// Owned as part of the slice with this first key and fencing token; `None` if the request has
    /// no key or the slice is unknown.
    Owned(Option<(Key, FencingToken)>),
    /// The target is the owner, but has not confirmed yet that it holds the key.
    Pending,
    /// Another target is the owner.
    NotOwned,
}

fn key_state(node: &Node, request: &GatewayRequest) -> KeyState {
    let (QueueId::Target(target), Some(key)) = (&request.queue, request.key) else {
        return KeyState::Owned(None);
    };
    let tables = node.tables();
    let Some(slice) = tables.get(&request.service).and_then(|it| it.find(key)) else {
        return KeyState::Owned(None);
    };
    if slice.owner.target != *target {
        return KeyState::NotOwned;
    }
    match slice.phase {
        Phase::Held => KeyState::Owned(Some((slice.range.first, slice.token))),
        Phase::Pending => KeyState::Pending,
    }
}

/// Waits until the target has been granted the key, for at most `GRANT_WAIT_MS`.
async fn wait_for_grant(
    node: &Node,
    queue: &AdmissionQueue,
    request: &GatewayRequest,
) -> Result<(), Reason> {
    let until = request.end.min(node.clock.now() + GRANT_WAIT_MS);
    loop {
        let changed = node.state_changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        match key_state(node, request) {
            KeyState::Owned(Some((first, _))) if !queue.may_send(first) => {}
            KeyState::Owned(_) => return Ok(()),
            KeyState::NotOwned => return Err(Reason::NotGateway),
            KeyState::Pending => {}
        }
        let left = until.saturating_sub(node.clock.now());
        if left == 0 {
            return Err(Reason::NoOwner);
        }
        let pause = Duration::from_millis(left).min(GRANT_POLL_INTERVAL);
        // The owner is looked up again whether it changed or the timeout passed.
        let _ = tokio::time::timeout(pause, changed).await;
    }
}

async fn exchange(
    node: &Node,
    slot: &SlotGuard,
    gateway_request: &GatewayRequest,
) -> AttemptOutcome {
    let mut sender = match connect(node, slot, gateway_request).await {
        Ok(sender) => sender,
        Err(reason) => return AttemptOutcome::not_sent(reason),
    };
    let sent = node.clock.now();
    let left = Duration::from_millis(gateway_request.end.saturating_sub(sent));
    let request = request_of(node, &slot.incarnation.target, gateway_request);
    let exchange = sender.fetch(request, &node.answer_limits);
    let (parts, body) = match tokio::time::timeout(left, exchange).await {
        Err(_) => return AttemptOutcome::Unknown(Reason::DeadlineAfterStart),
        Ok(Err(err)) => {
            log::debug!("no answer of target {}: {err}", slot.incarnation.target);
            return AttemptOutcome::Unknown(Reason::TargetLost);
        }
        Ok(Ok(answer)) => answer.into_parts(),
    };
    if parts.headers.get(&node.profile.attempt)
        != gateway_request.headers.get(&node.profile.attempt)
    {
        // The answer belongs to another request, so no answer on this connection can be trusted,
        // and the connection is not reused.
        return AttemptOutcome::Unknown(Reason::TargetLost);
    }
    let leaving = (node.profile.leaving)(&parts.headers, &slot.incarnation.target);
    let closing = (node.profile.may_leave)(&parts.headers);
    if !leaving && !closing {
        slot.on_serving(sent);
    }
    if let Some(load) = (node.profile.load)(&parts.headers) {
        slot.on_load(load);
    }
    let mut outcome = outcome_of_answer(node, parts, body);
    if leaving {
        on_leaving(node, &slot.incarnation, sent, &mut outcome);
    }
    if may_reuse(&outcome) && !closing {
        slot.pool.put_back(sender);
    }
    outcome
}

/// Takes a connection to the target of a slot, or returns why the request must not be sent to it. The
/// target is asked whether it serves if nothing has shown that recently.
async fn connect(
    node: &Node,
    slot: &SlotGuard,
    request: &GatewayRequest,
) -> Result<Sender, Reason> {
    let mut asked = false;
    loop {
        let left = Duration::from_millis(request.end.saturating_sub(node.clock.now()));
        let connected = slot
            .pool
            .checkout(Freshness::Any, left.min(CONNECT_TIMEOUT));
        let sender = connected.await.map_err(|err| match err {
            ConnectError::Refused | ConnectError::Unreachable => Reason::TargetUnreachable,
            ConnectError::Exhausted => Reason::TargetShed,
        })?;
        if slot.pool.take_broken() {
            slot.on_connection_failure(node);
        }
        if slot.is_paused() {
            slot.pool.put_back(sender);
            return Err(Reason::TargetPaused);
        }
        match slot.standing(node) {
            Standing::Serving => return Ok(sender),
            Standing::Unknown if !asked => {
                asked = true;
                confirm(node, slot, request, sender, left).await;
            }
            Standing::Unknown => {
                slot.doubt();
                return Err(Reason::TargetDraining);
            }
            Standing::Left => return Err(Reason::TargetDraining),
        }
    }
}

/// Records that a target is about to stop, unless its answer to a request that was sent at `sent`
/// cannot be trusted.
fn on_leaving(node: &Node, incarnation: &Incarnation, sent: Millis, outcome: &mut AttemptOutcome) {
    match outcome {
        AttemptOutcome::Answered(response) => {
            let leaving = LeavingTarget(incarnation.clone());
            response.extensions_mut().insert(leaving);
        }
        AttemptOutcome::NotRun { .. } => {}
        AttemptOutcome::Unknown(_) => return,
    }
    node.on_leaving(incarnation, sent, LeavingSource::Target);
}

/// Whether the connection of an exchange with this outcome may carry another request.
///
/// A faulty target may write a refusal once more. The repeated one cannot be distinguished from the
/// answer to a later send of the same attempt on that connection, which the target runs.
fn may_reuse(outcome: &AttemptOutcome) -> bool {
    match outcome {
        AttemptOutcome::Answered(_) => true,
        AttemptOutcome::NotRun { .. } | AttemptOutcome::Unknown(_) => false,
    }
}

fn outcome_of_answer(node: &Node, parts: Parts, body: Bytes) -> AttemptOutcome {
    if parts.headers.contains_key(&node.profile.not_run) {
        let retry_ms = match parts.status {
            StatusCode::SERVICE_UNAVAILABLE => {
                retry_after(&parts.headers, SystemTime::now(), |value| {
                    observe::retry_after_ignored(node, value);
                })
            }
            _ => None,
        };
        return AttemptOutcome::NotRun {
            reason: match parts.status {
                StatusCode::MISDIRECTED_REQUEST => Reason::Fenced,
                _ if retry_ms.is_some() => Reason::TargetPaused,
                _ => Reason::TargetShed,
            },
            offered: true,
            retry_ms,
        };
    }
    let sealed = parts.headers.contains_key(&node.profile.seal);
    if parts.status.is_success() && !sealed {
        return AttemptOutcome::Unknown(Reason::TargetLost);
    }
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = end_to_end(parts.headers);
    response.headers_mut().remove(header::CONTENT_LENGTH);
    AttemptOutcome::Answered(response)
}

fn request_of(node: &Node, target: &str, gateway_request: &GatewayRequest) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(gateway_request.body.clone()));
    *request.method_mut() = gateway_request.method.clone();
    *request.uri_mut() = gateway_request.path.clone().into();
    let headers = request.headers_mut();
    headers.clone_from(&gateway_request.headers);
    headers.remove(header::CONTENT_LENGTH);
    let left = gateway_request.deadline.saturating_sub(node.clock.now());
    headers.insert(&node.profile.deadline, HeaderValue::from(left));
    match HeaderValue::from_str(target) {
        Ok(target) => {
            headers.insert(&node.profile.target, target);
        }
        Err(err) => log::error!("the name of target {target:?} cannot be sent: {err}"),
    }
    request
}

#[cfg(test)]
mod tests;
