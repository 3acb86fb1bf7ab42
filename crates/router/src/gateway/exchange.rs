//! One request and its answer on a connection to a target.

use std::{sync::Arc, time::Duration};

use admission::End;
use bytes::Bytes;
use coordinator::{FencingToken, Key, Phase};
use http::{HeaderValue, Request, Response, StatusCode, header, response::Parts};
use http_body_util::{BodyExt, Full};
use pool::{ConnectError, Freshness};
use refusal::Reason;

use super::{
    GateId, Task,
    gate::{Gate, Turn},
    poison,
};
use crate::{
    entry::end_to_end,
    node::Node,
    observe::{self, Attempt},
};

/// Longest wait for a new connection to a target.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);

/// Longest wait for a target to be granted a key that is moving to it.
const GRANT_WAIT_MS: u64 = 600;

/// Interval at which a request looks whether its target holds the key.
const GRANT_PAUSE: Duration = Duration::from_millis(40);

/// How an attempt to have a request answered by a target ended.
#[derive(Debug)]
pub enum Outcome {
    /// The target answered.
    Answered(Response<Full<Bytes>>),
    /// The request did not run, and will not.
    NotRun {
        /// Why.
        reason: Reason,
        /// Whether it reached a target.
        offered: bool,
    },
    /// The request may have run.
    Unknown(Reason),
}

impl Outcome {
    /// The request did not reach a target.
    pub fn not_sent(reason: Reason) -> Self {
        Self::NotRun {
            reason,
            offered: false,
        }
    }
}

/// Waits for a slot of a target and sends it the request.
pub async fn run(node: &Arc<Node>, task: &Task) -> Outcome {
    let gate = node.gates.get(&task.gate);
    if let Err(reason) = await_grant(node, &gate, task).await {
        return Outcome::not_sent(reason);
    }
    let entered = node.clock.now();
    let turn = match gate.enter(node, task).await {
        Ok(turn) => turn,
        Err(reason) => {
            observe::turned_away(node, task, reason, gate.load());
            return Outcome::not_sent(reason);
        }
    };
    let slice = match owns(node, task) {
        Owns::Yes(slice) => slice,
        Owns::Soon => return Outcome::not_sent(Reason::NoOwner),
        Owns::No => return Outcome::not_sent(Reason::NotGateway),
    };
    let began = node.clock.now();
    let outcome = exchange(node, &turn, task).await;
    let attempt = Attempt {
        task,
        target: (&turn.life.target, turn.life.started_ms),
        stamp: slice.map_or(0, |it| it.1),
        waited_ms: began.saturating_sub(entered),
        took_ms: node.clock.now().saturating_sub(began),
        outcome: &outcome,
    };
    observe::attempt(node, &attempt);
    if let (Some((first, _)), Some(key)) = (slice, task.key) {
        match &outcome {
            Outcome::NotRun {
                reason: Reason::Fenced,
                ..
            } => {
                gate.on_refused(first, key);
                node.report_soon.notify_one();
            }
            Outcome::Answered(_) => gate.on_held(first),
            Outcome::NotRun { .. } | Outcome::Unknown(_) => {}
        }
    }
    if matches!(outcome, Outcome::Unknown(Reason::TargetLost)) {
        poison::confirm(node, &turn.pool, turn.life.clone(), task).await;
    }
    let (end, health) = end_of(&outcome);
    turn.end(end, health);
    outcome
}

/// What an outcome tells the queue, and what it shows of the target's health.
fn end_of(outcome: &Outcome) -> (End, Option<admission::Outcome>) {
    match outcome {
        Outcome::Answered(answer) if answer.status().is_server_error() => {
            (End::Answered, Some(admission::Outcome::Failed))
        }
        Outcome::Answered(_) => (End::Answered, Some(admission::Outcome::Answered)),
        // The gate never sends more than the target's slots, so a request that is rejected all the
        // same is no reason to send less: slots would stay empty.
        Outcome::NotRun {
            reason: Reason::TargetShed,
            ..
        } => (End::Cancelled, Some(admission::Outcome::Shed)),
        Outcome::NotRun {
            reason: Reason::TargetUnreachable,
            ..
        }
        | Outcome::Unknown(Reason::TargetLost) => (End::Failed, Some(admission::Outcome::Failed)),
        Outcome::NotRun { .. } | Outcome::Unknown(_) => (End::Failed, None),
    }
}

/// Whether the target owns the key of a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Owns {
    /// It does, as part of the slice with this first key and fencing token.
    Yes(Option<(Key, FencingToken)>),
    Soon,
    No,
}

fn owns(node: &Node, task: &Task) -> Owns {
    let (GateId::Target(target), Some(key)) = (&task.gate, task.key) else {
        return Owns::Yes(None);
    };
    let tables = node.tables();
    let Some(slice) = tables.get(&task.service).and_then(|it| it.find(key)) else {
        return Owns::Yes(None);
    };
    if slice.owner.target != *target {
        return Owns::No;
    }
    match slice.phase {
        Phase::Held => Owns::Yes(Some((slice.range.first, slice.token))),
        Phase::Pending => Owns::Soon,
    }
}

/// Waits until the target has been granted the key.
async fn await_grant(node: &Node, gate: &Gate, task: &Task) -> Result<(), Reason> {
    let until = task.end.min(node.clock.now() + GRANT_WAIT_MS);
    loop {
        let changed = node.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        match owns(node, task) {
            Owns::Yes(Some((first, _))) if !gate.may_send(first) => {}
            Owns::Yes(_) => return Ok(()),
            Owns::No => return Err(Reason::NotGateway),
            Owns::Soon => {}
        }
        let left = until.saturating_sub(node.clock.now());
        if left == 0 {
            return Err(Reason::NoOwner);
        }
        let pause = Duration::from_millis(left).min(GRANT_PAUSE);
        // Whether the owners changed or the time is over, the owner is looked up again.
        let _ = tokio::time::timeout(pause, changed).await;
    }
}

async fn exchange(node: &Node, turn: &Turn, task: &Task) -> Outcome {
    let left = Duration::from_millis(task.end.saturating_sub(node.clock.now()));
    let limit = left.min(CONNECT_LIMIT);
    let mut sender = match turn.pool.checkout(Freshness::Any, limit).await {
        Ok(sender) => sender,
        Err(ConnectError::Refused | ConnectError::Unreachable) => {
            return Outcome::not_sent(Reason::TargetUnreachable);
        }
        Err(ConnectError::Exhausted) => return Outcome::not_sent(Reason::TargetShed),
    };
    let request = request_of(node, &turn.life.target, task);
    let exchange = async {
        let answer = sender.send_request(request).await?;
        let (parts, body) = answer.into_parts();
        let body = body.collect().await?.to_bytes();
        Ok::<_, hyper::Error>((parts, body))
    };
    let (parts, body) = match tokio::time::timeout(left, exchange).await {
        Err(_) => return Outcome::Unknown(Reason::DeadlineAfterStart),
        Ok(Err(err)) => {
            log::debug!("a connection to target {} failed: {err}", turn.life.target);
            return Outcome::Unknown(Reason::TargetLost);
        }
        Ok(Ok(answer)) => answer,
    };
    if parts.headers.get(&node.dialect.attempt) != task.headers.get(&node.dialect.attempt) {
        // The answer belongs to another request; nothing on this connection can be trusted.
        return Outcome::Unknown(Reason::TargetLost);
    }
    turn.pool.put_back(sender);
    judge(node, parts, body)
}

fn judge(node: &Node, parts: Parts, body: Bytes) -> Outcome {
    if parts.headers.contains_key(&node.dialect.not_run) {
        return Outcome::NotRun {
            reason: match parts.status {
                StatusCode::MISDIRECTED_REQUEST => Reason::Fenced,
                _ => Reason::TargetShed,
            },
            offered: true,
        };
    }
    let sealed = parts.headers.contains_key(&node.dialect.seal);
    if parts.status.is_success() && !sealed {
        return Outcome::Unknown(Reason::TargetLost);
    }
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = end_to_end(parts.headers);
    response.headers_mut().remove(header::CONTENT_LENGTH);
    Outcome::Answered(response)
}

fn request_of(node: &Node, target: &str, task: &Task) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(task.body.clone()));
    *request.method_mut() = task.method.clone();
    *request.uri_mut() = task.path.clone().into();
    let headers = request.headers_mut();
    headers.clone_from(&task.headers);
    headers.remove(header::CONTENT_LENGTH);
    let left = task.deadline.saturating_sub(node.clock.now());
    headers.insert(&node.dialect.deadline, HeaderValue::from(left));
    match HeaderValue::from_str(target) {
        Ok(target) => {
            headers.insert(&node.dialect.target, target);
        }
        Err(err) => log::error!("the name of target {target:?} cannot be sent: {err}"),
    }
    request
}

#[cfg(test)]
mod tests;
