//! Probes targets that check no grants and said in an answer that they are draining.
//!
//! Such a target gets no requests while it drains, so no answer to a request can show that it has
//! restarted. A probe's answer is not used to judge the target's health, because it can mislead.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, header};
use http_body_util::Full;
use pool::{AnswerLimits, Freshness, Sender};

use crate::{dispatch::DRAINING, driver, gateway_target::GatewayTarget, host::Host};

/// Pause between two probes.
const PROBE_PAUSE: Duration = Duration::from_millis(500);

/// Timeout of a probe in addition to the `probe_ms` of the target.
const EXTRA_TIMEOUT_MS: u64 = 250;

/// Longest body of the answer to a probe, which is not used.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Path of a probe.
const HEALTH_PATH: &str = "/health";

/// The result of a probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ProbeResult {
    /// The target says that it is draining.
    Draining,
    /// The target answers and does not say that it is draining.
    Serving,
    /// The target did not answer.
    NoAnswer,
}

/// Probes the target until it no longer drains, and then ends the drain. Returns without doing so
/// when the host stops or no longer serves the target, or when the drain has ended otherwise.
pub async fn poll_until_drain_ends(host: Arc<Host>, gateway_target: Arc<GatewayTarget>) {
    let mut connection = None;
    let mut watch = DrainWatch::default();
    while is_current(&host, &gateway_target) {
        let result = probe(&host, &gateway_target, &mut connection).await;
        if watch.is_drain_over(result) {
            end_drain(&host, &gateway_target);
            return;
        }
        tokio::time::sleep(PROBE_PAUSE).await;
    }
}

/// The state of the probes during one drain.
#[derive(Default)]
struct DrainWatch {
    /// Whether a probe was answered with the draining header, or was not answered.
    drain_seen: bool,
}

impl DrainWatch {
    /// Records a probe and returns whether the drain is over. An answer without the draining header
    /// counts only after one with it or after a probe without an answer, because the target may
    /// never send the header on the path of probes.
    fn is_drain_over(&mut self, result: ProbeResult) -> bool {
        match result {
            ProbeResult::Serving => self.drain_seen,
            ProbeResult::Draining | ProbeResult::NoAnswer => {
                self.drain_seen = true;
                false
            }
        }
    }
}

fn is_current(host: &Host, gateway_target: &Arc<GatewayTarget>) -> bool {
    let current = host.gateway_target(&gateway_target.id);
    current.is_some_and(|it| Arc::ptr_eq(&it, gateway_target))
        && gateway_target.lock().draining
        && !host.is_stopping()
}

async fn probe(
    host: &Host,
    gateway_target: &GatewayTarget,
    connection: &mut Option<Sender>,
) -> ProbeResult {
    let view = host.view.load_full();
    let target = view
        .as_ref()
        .and_then(|it| it.target(&gateway_target.id.service, &gateway_target.id.target));
    let probe_ms = target.map_or(0, |(_, it)| it.probe_ms);
    let timeout = Duration::from_millis(EXTRA_TIMEOUT_MS + probe_ms);
    let headers = async {
        let mut sender = match connection.take().filter(|it| !it.is_expired()) {
            Some(it) => it,
            None => gateway_target
                .pool
                .checkout(Freshness::New, timeout)
                .await
                .ok()?,
        };
        let headers = exchange(&mut sender).await?;
        *connection = Some(sender);
        Some(headers)
    };
    match tokio::time::timeout(timeout, headers).await {
        Ok(Some(headers)) if headers.get(DRAINING).is_some_and(|it| it == "true") => {
            ProbeResult::Draining
        }
        Ok(Some(_)) => ProbeResult::Serving,
        Ok(None) | Err(_) => ProbeResult::NoAnswer,
    }
}

/// Sends one probe and reads its answer to the end, so that the connection can be reused.
async fn exchange(sender: &mut Sender) -> Option<HeaderMap> {
    sender.ready().await.ok()?;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = http::Uri::from_static(HEALTH_PATH);
    let name = HeaderValue::from_static("target");
    request.headers_mut().insert(header::HOST, name);
    let limits = AnswerLimits::new(MAX_ANSWER_BYTES, MAX_ANSWER_BYTES);
    let answer = sender.fetch(request, &limits).await.ok()?;
    Some(answer.into_parts().0.headers)
}

fn end_drain(host: &Host, gateway_target: &GatewayTarget) {
    log::info!(service = &*gateway_target.id.service, target = &*gateway_target.id.target; "target no longer drains");
    let view = host.view.load_full();
    let is_listed = view.is_some_and(|it| {
        it.target(&gateway_target.id.service, &gateway_target.id.target)
            .is_some()
    });
    let leaving = driver::is_leaving(host, &gateway_target.id);
    let mut inner = gateway_target.lock();
    inner.draining = false;
    if is_listed && !leaving {
        inner.gateway.end_drain(host.clock.now());
    }
    host.wake.notify_one();
}

#[cfg(test)]
mod tests;
