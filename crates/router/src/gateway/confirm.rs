//! Health checks: whether a target serves, when neither the store nor an answer has shown it recently,
//! and whether it is cold.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use coordinator::{Incarnation, Millis};
use http::{HeaderValue, Request, header};
use http_body_util::Full;
use pool::{Freshness, Pool, Sender};

use super::{
    GatewayRequest,
    admission_queue::{AdmissionQueue, SlotGuard},
};
use crate::{node::Node, observe};

/// Longest wait for the answer to a health check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// A target that a health check has to verify.
pub(super) struct TargetToVerify {
    /// The queue that learns the result.
    pub(super) queue: Arc<AdmissionQueue>,
    /// The target.
    pub(super) incarnation: Incarnation,
    /// Connections to it.
    pub(super) pool: Arc<Pool>,
}

/// What a healthy target says in the answer to a health check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Healthy {
    /// For how long it stays cold; `None` if that cannot be read.
    cold_ms: Option<Millis>,
}

/// Sends the target a health check on a connection to it, within `limit`. Afterwards the target is
/// known to serve, or is left alone for a while.
pub(super) async fn confirm(
    node: &Node,
    slot: &SlotGuard,
    request: &GatewayRequest,
    sender: Sender,
    limit: Duration,
) {
    let Some(path) = health_path(node, &request.service) else {
        slot.doubt();
        return;
    };
    let sent = node.clock.now();
    let limit = limit.min(CHECK_TIMEOUT);
    let healthy = ask(node, &slot.pool, &slot.incarnation, &path, sender, limit).await;
    if let Some(healthy) = healthy {
        slot.on_serving(sent);
        slot.on_check(node, sent, healthy.cold_ms);
    } else {
        slot.doubt();
        slot.on_connection_failure(node);
    }
    observe::target_checked(node, &slot.incarnation, healthy.is_some());
}

/// Sends a target a health check on a connection of its own, and records whether the target is cold.
pub(super) async fn verify(node: Arc<Node>, target: TargetToVerify, service: Arc<str>) {
    let sent = node.clock.now();
    let (pool, incarnation) = (&target.pool, &target.incarnation);
    let connected = pool.checkout(Freshness::Any, CHECK_TIMEOUT).await;
    let healthy = match (health_path(&node, &service), connected) {
        (Some(path), Ok(sender)) => {
            ask(&node, pool, incarnation, &path, sender, CHECK_TIMEOUT).await
        }
        _ => None,
    };
    let cold_ms = healthy.and_then(|it| it.cold_ms);
    node.metrics.cold_check(match (healthy, cold_ms) {
        (None, _) => "failed",
        (Some(_), None) => "unreadable",
        (Some(_), Some(0)) => "warm",
        (Some(_), Some(_)) => "cold",
    });
    target.queue.on_check(&node, incarnation, sent, cold_ms);
}

/// Sends a health check and returns what the target says; `None` if it does not say that it serves.
async fn ask(
    node: &Node,
    pool: &Pool,
    incarnation: &Incarnation,
    path: &str,
    mut sender: Sender,
    limit: Duration,
) -> Option<Healthy> {
    let target = &incarnation.target;
    let check = health_check(node, pool, path, target);
    let answer = sender.fetch(check, &node.answer_limits);
    let answer = tokio::time::timeout(limit, answer).await.ok()?.ok()?;
    if !(node.profile.may_leave)(answer.headers()) {
        pool.put_back(sender);
    }
    let healthy = (node.profile.healthy)(answer.status(), answer.headers(), target);
    healthy.then(|| Healthy {
        cold_ms: (node.profile.cold_time)(answer.headers()),
    })
}

/// The path of the health check of a service; `None` if the service is not in the configuration.
fn health_path(node: &Node, service: &str) -> Option<Arc<str>> {
    let catalog = node.catalog.load();
    let service = catalog.as_ref()?.service(service)?;
    Some(Arc::clone(&service.health))
}

fn health_check(node: &Node, pool: &Pool, path: &str, target: &str) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    match path.parse() {
        Ok(uri) => *request.uri_mut() = uri,
        Err(err) => log::error!("the path of a health check cannot be used: {path:?}: {err}"),
    }
    let headers = request.headers_mut();
    headers.insert(header::HOST, pool.authority());
    if let Ok(target) = HeaderValue::from_str(target) {
        headers.insert(&node.profile.target, target);
    }
    request
}
