//! Probes of targets that said in an answer that they are draining and check no grants.
//!
//! Such a target gets no requests while it drains, so no answer to one could say that it has been
//! restarted. What a probe says of the target's health is not read, because it can mislead.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, header};
use http_body_util::{BodyExt, Full};
use pool::{Freshness, Sender};

use crate::{dispatch::DRAINING, driver, gate::Gate, host::Host};

/// Pause between two probes.
const PAUSE: Duration = Duration::from_millis(500);

/// Longest wait for a probe beyond the `probe_ms` of the target.
const TIMEOUT_MS: u64 = 250;

/// Path of a probe.
const HEALTH: &str = "/health";

/// What a probe shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Shown {
    /// The target says that it is draining.
    Draining,
    /// It does not say so.
    Serving,
    /// It did not answer.
    Nothing,
}

/// Probes the target until it no longer drains; then ends the drain. Ends as well when the host no
/// longer serves the target.
pub async fn until_drain_ends(host: Arc<Host>, gate: Arc<Gate>) {
    let mut connection = None;
    let mut watch = Watch::default();
    while is_current(&host, &gate) {
        let shown = probe(&host, &gate, &mut connection).await;
        if watch.is_over(shown) {
            end_drain(&host, &gate);
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// What the probes of one drain have shown so far.
#[derive(Default)]
struct Watch {
    /// Whether a probe has shown the sign of draining, or the end of the connection.
    seen: bool,
}

impl Watch {
    /// Whether a probe shows that the drain is over. An answer without the sign counts only after
    /// one with it or after a probe without an answer, because a probe's path may never show it.
    fn is_over(&mut self, shown: Shown) -> bool {
        match shown {
            Shown::Serving => self.seen,
            Shown::Draining | Shown::Nothing => {
                self.seen = true;
                false
            }
        }
    }
}

fn is_current(host: &Host, gate: &Arc<Gate>) -> bool {
    let current = host.gate(&gate.id);
    current.is_some_and(|it| Arc::ptr_eq(&it, gate)) && gate.lock().draining && !host.is_stopping()
}

async fn probe(host: &Host, gate: &Gate, connection: &mut Option<Sender>) -> Shown {
    let view = host.view.load_full();
    let target = view
        .as_ref()
        .and_then(|it| it.target(&gate.id.service, &gate.id.target));
    let probe_ms = target.map_or(0, |(_, it)| it.probe_ms);
    let timeout = Duration::from_millis(TIMEOUT_MS + probe_ms);
    let headers = async {
        let mut sender = match connection.take() {
            Some(it) => it,
            None => gate.pool.checkout(Freshness::New, timeout).await.ok()?,
        };
        let headers = exchange(&mut sender).await?;
        *connection = Some(sender);
        Some(headers)
    };
    match tokio::time::timeout(timeout, headers).await {
        Ok(Some(headers)) if headers.get(DRAINING).is_some_and(|it| it == "true") => {
            Shown::Draining
        }
        Ok(Some(_)) => Shown::Serving,
        Ok(None) | Err(_) => Shown::Nothing,
    }
}

/// Sends one probe and reads its answer to the end, so that the connection can be used again.
async fn exchange(sender: &mut Sender) -> Option<HeaderMap> {
    sender.ready().await.ok()?;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = http::Uri::from_static(HEALTH);
    let name = HeaderValue::from_static("target");
    request.headers_mut().insert(header::HOST, name);
    let (head, mut body) = sender.send_request(request).await.ok()?.into_parts();
    while let Some(frame) = body.frame().await {
        frame.ok()?;
    }
    Some(head.headers)
}

fn end_drain(host: &Host, gate: &Gate) {
    log::info!(service = &*gate.id.service, target = &*gate.id.target; "target no longer drains");
    let view = host.view.load_full();
    let wanted = view.is_some_and(|it| it.target(&gate.id.service, &gate.id.target).is_some());
    let leaving = driver::is_leaving(host, &gate.id);
    let mut inner = gate.lock();
    inner.draining = false;
    if wanted && !leaving {
        inner.gateway.end_drain(host.clock.now());
    }
    host.wake.notify_one();
}

#[cfg(test)]
mod tests;
