//! Observability: log lines about decisions, and metrics.
//!
//! Lines of each kind have a rate limit, so that their number stays bounded under load; suppressed
//! lines are counted in the next line of the kind and in a metric.

mod attempt;
mod log_limiter;
mod metrics;
mod request_trace;
mod store;

pub use attempt::{
    Attempt, WarmthChange, attempt, pause_started, queue_rejected, refused_unread,
    retry_after_ignored, target_checked, warmth_changed,
};
pub use log_limiter::{LineKind, LogLimiter};
pub use metrics::{Distance, Metrics};
pub use request_trace::RequestTrace;
pub use store::ObservedStore;

use crate::{gateway::GatewayRequest, node::Node};

/// The attempt id that the caller sent; empty if there is none or it is not text.
pub fn id_of<'a>(node: &Node, request: &'a GatewayRequest) -> &'a str {
    let id = request.headers.get(&node.profile.attempt);
    id.and_then(|it| it.to_str().ok()).unwrap_or_default()
}

/// The key of a request as text; empty if its service has none.
pub fn key_of(request: &GatewayRequest) -> String {
    request.key.map(|it| it.to_string()).unwrap_or_default()
}
