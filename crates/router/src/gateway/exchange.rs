//! One request and its answer on a connection to a target.

use std::{sync::Arc, time::Duration};

use admission::End;
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use pool::{ConnectError, Freshness};
use refusal::Reason;

use super::Gate;
use crate::{
    entry::{Call, end_to_end},
    node::Node,
    state::TargetEntry,
};

/// Longest wait for a new connection to a target.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);

/// How an attempt to have a request answered by a target ended.
#[derive(Debug)]
pub enum Outcome {
    /// The target answered.
    Answered(Response<Full<Bytes>>),
    /// The request did not run, and will not.
    NotRun(Reason),
    /// The request may have run.
    Unknown(Reason),
}

/// Waits for a slot of the target and sends it the request.
pub async fn run(node: &Arc<Node>, name: &Arc<str>, entry: &TargetEntry, call: &Call) -> Outcome {
    let gate = gate_of(node, name, entry, call);
    let key = call.key.map_or(0, u64::from);
    let turn = match gate.enter(call.route.priority, key, call.end()).await {
        Ok(turn) => turn,
        Err(reason) => return Outcome::NotRun(reason),
    };
    let outcome = exchange(node, &gate, name, call).await;
    turn.end(match &outcome {
        Outcome::Answered(_) => End::Answered,
        Outcome::NotRun(Reason::TargetShed) => End::Shed,
        Outcome::NotRun(_) | Outcome::Unknown(_) => End::Failed,
    });
    outcome
}

fn gate_of(node: &Node, name: &Arc<str>, entry: &TargetEntry, call: &Call) -> Arc<Gate> {
    let mut gates = node.gates();
    let gate = gates.entry(Arc::clone(name)).or_insert_with(|| {
        let connections = usize::try_from(call.service.connections).unwrap_or(usize::MAX);
        Arc::new(Gate::new(entry, connections, node.clock))
    });
    Arc::clone(gate)
}

async fn exchange(node: &Node, gate: &Gate, name: &Arc<str>, call: &Call) -> Outcome {
    let now = node.clock.now();
    let left = Duration::from_millis(call.end().saturating_sub(now));
    let sender = gate
        .pool
        .checkout(Freshness::Any, left.min(CONNECT_LIMIT))
        .await;
    let mut sender = match sender {
        Ok(sender) => sender,
        Err(ConnectError::Refused | ConnectError::Unreachable) => {
            return Outcome::NotRun(Reason::TargetUnreachable);
        }
        Err(ConnectError::Exhausted) => return Outcome::NotRun(Reason::TargetShed),
    };
    let request = request_of(node, name, call);
    let exchange = async {
        let answer = sender.send_request(request).await?;
        let (parts, body) = answer.into_parts();
        let body = body.collect().await?.to_bytes();
        Ok::<_, hyper::Error>((parts, body))
    };
    let (parts, body) = match tokio::time::timeout(left, exchange).await {
        Err(_) => return Outcome::Unknown(Reason::DeadlineAfterStart),
        Ok(Err(err)) => {
            log::debug!("a connection to target {name} failed: {err}");
            return Outcome::Unknown(Reason::TargetLost);
        }
        Ok(Ok(answer)) => answer,
    };
    let attempt = call.headers.get(&node.dialect.attempt);
    if parts.headers.get(&node.dialect.attempt) != attempt {
        // The answer belongs to another request; nothing on this connection can be trusted.
        return Outcome::Unknown(Reason::TargetLost);
    }
    gate.pool.put_back(sender);
    if parts.headers.contains_key(&node.dialect.not_run) {
        return Outcome::NotRun(match parts.status {
            StatusCode::MISDIRECTED_REQUEST => Reason::NotGateway,
            _ => Reason::TargetShed,
        });
    }
    let sealed = parts.headers.contains_key(&node.dialect.seal);
    if parts.status.is_success() && !sealed {
        return Outcome::Unknown(Reason::TargetLost);
    }
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = end_to_end(parts.headers);
    response.headers_mut().remove(http::header::CONTENT_LENGTH);
    Outcome::Answered(response)
}

fn request_of(node: &Node, name: &Arc<str>, call: &Call) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.path.clone().into();
    let headers = request.headers_mut();
    headers.clone_from(&call.headers);
    headers.remove(http::header::CONTENT_LENGTH);
    let left = call.deadline.saturating_sub(node.clock.now());
    headers.insert(&node.dialect.deadline, HeaderValue::from(left));
    if let Ok(name) = HeaderValue::from_str(name) {
        headers.insert(&node.dialect.target, name);
    }
    request
}
