//! The operators' port: health, readiness, metrics, status and owner lookups.

use std::{collections::HashMap, convert::Infallible, sync::Arc};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use ownership::{GatewayState, TargetId, hash_key};
use serde::Serialize;
use serde_json::json;
use tokio::net::TcpListener;

use crate::{clock::Millis, host::Host, server::ACCEPT_PAUSE};

/// Serves the operators' port until the process ends.
pub async fn run(host: Arc<Host>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let host = Arc::clone(&host);
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let response = respond(&host, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service);
            if let Err(err) = connection.await {
                log::debug!("connection of an operator ended: {err}");
            }
        });
    }
}

fn respond(host: &Host, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    match request.uri().path() {
        "/healthz" => text_response(StatusCode::OK, "ok\n"),
        "/readyz" => readiness(host),
        "/metrics" => text_response(StatusCode::OK, host.metrics.render()),
        "/status" => json_response(StatusCode::OK, &status(host)),
        "/owner" => owner(host, request.uri().query().unwrap_or_default()),
        _ => text_response(StatusCode::NOT_FOUND, "not found\n"),
    }
}

fn readiness(host: &Host) -> Response<Full<Bytes>> {
    if host.is_stopping() {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "stopping\n");
    }
    if !host.is_ready() {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "unconfirmed\n");
    }
    if host.view.load().is_none() {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "no document\n");
    }
    text_response(StatusCode::OK, "ready\n")
}

/// The answer to `/status`.
#[derive(Serialize)]
struct Status {
    host: Arc<str>,
    data_centre: Arc<str>,
    version: u64,
    rev: u64,
    ready: bool,
    confirmed: bool,
    targets: Vec<TargetStatus>,
    quarantine: Vec<Quarantined>,
    refusals: std::collections::BTreeMap<&'static str, u64>,
    retries: std::collections::BTreeMap<&'static str, u64>,
}

#[derive(Serialize)]
struct TargetStatus {
    service: Arc<str>,
    target: Arc<str>,
    gateway: Arc<str>,
    epoch: Option<u64>,
    state: GatewayState,
    held: usize,
    draining: bool,
}

#[derive(Serialize)]
struct Quarantined {
    service: Arc<str>,
    /// 16 hexadecimal digits, as in the document's `pardons`.
    fingerprint: String,
    age_s: u64,
}

fn status(host: &Host) -> Status {
    let now = host.clock.now();
    let mut targets = Vec::new();
    for gateway_target in host.gateway_targets() {
        let status = gateway_target.lock().gateway.status(now);
        if !status.tenure {
            continue;
        }
        targets.push(TargetStatus {
            service: Arc::clone(&gateway_target.id.service),
            target: Arc::clone(&gateway_target.id.target),
            gateway: Arc::clone(&host.settings.host),
            epoch: status.epoch,
            state: status.state,
            held: status.held,
            draining: status.draining,
        });
    }
    targets.sort_by(|a, b| (&a.service, &a.target).cmp(&(&b.service, &b.target)));
    Status {
        host: Arc::clone(&host.settings.host),
        data_centre: Arc::clone(&host.settings.data_centre),
        version: host.view.load().as_ref().map_or(0, |it| it.version),
        rev: host.cursor(),
        ready: host.is_ready() && !host.is_stopping(),
        confirmed: host.is_confirmed(),
        targets,
        quarantine: quarantine(host, now),
        refusals: host.metrics.refusals(),
        retries: host.metrics.retries(),
    }
}

fn quarantine(host: &Host, now: Millis) -> Vec<Quarantined> {
    let mut out = Vec::new();
    for (service, entries) in host.quarantined(now) {
        for it in entries {
            out.push(Quarantined {
                service: Arc::clone(&service),
                fingerprint: format!("{:016x}", it.fingerprint),
                age_s: it.age_ms / 1_000,
            });
        }
    }
    out
}

fn owner(host: &Host, query: &str) -> Response<Full<Bytes>> {
    let mut params = HashMap::new();
    for pair in query.split('&') {
        let Some((name, value)) = pair.split_once('=') else {
            continue;
        };
        params.insert(name, percent_decode(value));
    }
    let (Some(Some(service)), Some(Some(key))) = (params.get("service"), params.get("key")) else {
        let body = json!({"error": "the query needs service and key, percent-encoded"});
        return json_response(StatusCode::BAD_REQUEST, &body);
    };
    let hash = hash_key(service, key);
    let table = host.table();
    let Some(found) = table.lookup(service, hash) else {
        let body = json!({"error": "the service has no slice for this key"});
        return json_response(StatusCode::NOT_FOUND, &body);
    };
    let id = TargetId {
        service: Arc::from(service.as_str()),
        target: Arc::clone(&found.slice.target),
    };
    let gateway = table.route(&id).map(|(host, _)| Arc::clone(host));
    let body = json!({
        "service": service,
        "key": key,
        "hash": format!("{hash:016x}"),
        "target": found.slice.target,
        "generation": found.slice.generation,
        "gateway": gateway,
    });
    json_response(StatusCode::OK, &body)
}

fn percent_decode(text: &str) -> Option<String> {
    let mut out = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            out.push(byte);
            continue;
        }
        let (high, low) = (hex_digit(bytes.next()?)?, hex_digit(bytes.next()?)?);
        out.push(high << 4 | low);
    }
    String::from_utf8(out).ok()
}

/// The value of a hexadecimal digit. Unlike `from_str_radix`, this does not accept a sign.
fn hex_digit(byte: u8) -> Option<u8> {
    let value = char::from(byte).to_digit(16)?;
    u8::try_from(value).ok()
}

fn json_response<T: Serialize>(status: StatusCode, body: &T) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(body).expect("bodies have string keys and are serialisable");
    let mut response = text_response(status, body);
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

fn text_response(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

#[cfg(test)]
mod tests;
