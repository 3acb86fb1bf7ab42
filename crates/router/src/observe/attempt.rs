//! Log lines about requests at a gateway.

use admission::Warmth;
use coordinator::{Incarnation, Millis};
use http::HeaderValue;
use refusal::Reason;

use super::{LineKind, id_of, key_of};
use crate::{
    gateway::{AttemptOutcome, GatewayRequest, QueueLoad, Rejection},
    node::Node,
};

/// An attempt to have a target answer a request.
pub struct Attempt<'a> {
    /// The request.
    pub request: &'a GatewayRequest,
    /// Name of the target, and start time of its process in milliseconds of its wall clock.
    pub target: (&'a str, u64),
    /// Fencing token of the owner that the request was sent to; 0 if its service has no keys.
    pub token: u64,
    /// Milliseconds that the request waited in the queue.
    pub waited_ms: u64,
    /// Milliseconds that the target took.
    pub took_ms: u64,
    /// How it ended.
    pub outcome: &'a AttemptOutcome,
}

/// Records an attempt at a target.
pub fn attempt(node: &Node, it: &Attempt<'_>) {
    let request = it.request;
    node.metrics.attempt(request, it.waited_ms, it.took_ms);
    let began = node.clock.now().saturating_sub(it.took_ms);
    if began > request.objective {
        node.metrics.late_start(request);
    }
    let (reason, status) = match it.outcome {
        AttemptOutcome::Answered(answer) if answer.status().is_success() => return,
        AttemptOutcome::Answered(answer) => ("", answer.status().as_u16()),
        AttemptOutcome::NotRun { reason, .. } | AttemptOutcome::Unknown(reason) => {
            (reason.label(), 0)
        }
    };
    let Some(left_out) = node.may_log(LineKind::Attempt) else {
        return;
    };
    log::warn!(
        target: "attempt",
        request = id_of(node, request),
        reason,
        status,
        target_name = it.target.0,
        born = it.target.1,
        stamp = it.token,
        service = &*request.service,
        key = key_of(request),
        knowledge_ms = node.age_ms(),
        waited_ms = it.waited_ms,
        took_ms = it.took_ms,
        left_ms = request.end.saturating_sub(node.clock.now()),
        left_out;
        "a target did not serve a request"
    );
}

/// Records that a target asked for a pause in its answer to `request`.
pub fn pause_started(
    node: &Node,
    request: &GatewayRequest,
    incarnation: &Incarnation,
    pause_ms: Millis,
) {
    node.metrics.pause(&request.service);
    let Some(left_out) = node.may_log(LineKind::StateChange) else {
        return;
    };
    log::warn!(
        target: "attempt",
        request = id_of(node, request),
        target_name = &*incarnation.target,
        born = incarnation.started_ms,
        service = &*request.service,
        pause_ms,
        left_out;
        "a target asked for a pause"
    );
}

/// Records that a target was asked whether it serves, because it may have left.
pub fn target_checked(node: &Node, incarnation: &Incarnation, serves: bool) {
    node.metrics.target_check(serves);
    if serves {
        return;
    }
    let Some(left_out) = node.may_log(LineKind::StateChange) else {
        return;
    };
    log::warn!(
        target: "attempt",
        target_name = &*incarnation.target,
        born = incarnation.started_ms,
        unheard_ms = node.targets_age_ms(),
        left_out;
        "a target that may have left does not say that it serves"
    );
}

/// A change of what this gateway knows of the caches of a target.
#[derive(Clone, Copy, Debug)]
pub struct WarmthChange {
    /// What it knew.
    pub before: Warmth,
    /// What it knows now.
    pub after: Warmth,
    /// How it learned: `store`, `check` or `connection`.
    pub cause: &'static str,
}

/// Records at `now` what this gateway has learned of the caches of a target.
pub fn warmth_changed(node: &Node, incarnation: &Incarnation, it: WarmthChange, now: Millis) {
    if it.before == it.after {
        return;
    }
    let Some(left_out) = node.may_log(LineKind::StateChange) else {
        return;
    };
    let (state, cold_ms) = match it.after {
        Warmth::Warm => ("warm", 0),
        Warmth::Cold { until } => ("cold", until.saturating_sub(now)),
        Warmth::Unverified => ("unverified", 0),
    };
    log::info!(
        target: "attempt",
        target_name = &*incarnation.target,
        born = incarnation.started_ms,
        state,
        cold_ms,
        cause = it.cause,
        left_out;
        "the pace of requests to a target changed"
    );
}

/// Records that a target refused a request with an unusable `Retry-After`.
pub fn retry_after_ignored(node: &Node, value: &HeaderValue) {
    let Some(left_out) = node.may_log(LineKind::Attempt) else {
        return;
    };
    log::warn!(
        target: "attempt",
        value:?,
        left_out;
        "Retry-After is neither seconds nor an HTTP date and is ignored"
    );
}

/// Records that an admission queue rejected a request.
pub fn queue_rejected(
    node: &Node,
    request: &GatewayRequest,
    rejection: Rejection,
    load: QueueLoad,
) {
    node.metrics.queue_refusal(request, rejection);
    let Some(left_out) = node.may_log(LineKind::Attempt) else {
        return;
    };
    log::warn!(
        target: "attempt",
        request = id_of(node, request),
        reason = rejection.reason.label(),
        gate = request.queue.to_string(),
        key = key_of(request),
        priority = request.priority,
        waiting = load.waiting,
        running = load.running,
        slots = load.slots,
        wait_ms = load.wait_ms,
        knowledge_ms = node.age_ms(),
        left_ms = request.end.saturating_sub(node.clock.now()),
        left_out;
        "an admission queue rejected a request"
    );
}

/// Records a request that was refused before its route was known or its body was read.
pub fn refused_unread(node: &Node, id: Option<&HeaderValue>, reason: Reason) {
    node.metrics.refusal(reason);
    let Some(left_out) = node.may_log(LineKind::Refused) else {
        return;
    };
    let version = node.catalog.load().as_ref().map_or(0, |it| it.version());
    log::warn!(
        target: "request",
        request = id.and_then(|it| it.to_str().ok()).unwrap_or_default(),
        outcome = LineKind::Refused.label(),
        reason = reason.label(),
        version,
        knowledge_ms = node.age_ms(),
        left_out;
        "a request was refused before it was read"
    );
}
