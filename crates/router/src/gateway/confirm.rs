//! Asks a target whether it serves, when neither the store nor an answer has shown it recently.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, header};
use http_body_util::Full;
use pool::Sender;

use super::{GatewayRequest, admission_queue::SlotGuard};
use crate::{node::Node, observe};

/// Longest wait for the answer to a health check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// Sends the target a health check on a connection to it, within `limit`. Afterwards the target is
/// known to serve, or is left alone for a while.
pub(super) async fn confirm(
    node: &Node,
    slot: &SlotGuard,
    request: &GatewayRequest,
    mut sender: Sender,
    limit: Duration,
) {
    let catalog = node.catalog.load();
    let service = catalog.as_ref().and_then(|it| it.service(&request.service));
    let Some(service) = service else {
        slot.doubt();
        return;
    };
    let target = &slot.incarnation.target;
    let sent = node.clock.now();
    let check = health_check(node, slot, &service.health, target);
    let answer = sender.fetch(check, &node.answer_limits);
    let serves = match tokio::time::timeout(limit.min(CHECK_TIMEOUT), answer).await {
        Ok(Ok(answer)) => {
            slot.pool.put_back(sender);
            (node.profile.healthy)(answer.status(), answer.headers(), target)
        }
        Ok(Err(_)) | Err(_) => false,
    };
    if serves {
        slot.on_serving(sent);
    } else {
        slot.doubt();
    }
    observe::target_checked(node, &slot.incarnation, serves);
}

fn health_check(node: &Node, slot: &SlotGuard, path: &str, target: &str) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    match path.parse() {
        Ok(uri) => *request.uri_mut() = uri,
        Err(err) => log::error!("the path of a health check cannot be used: {path:?}: {err}"),
    }
    let headers = request.headers_mut();
    headers.insert(header::HOST, slot.pool.authority());
    if let Ok(target) = HeaderValue::from_str(target) {
        headers.insert(&node.profile.target, target);
    }
    request
}
