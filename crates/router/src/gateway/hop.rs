//! Encoding of a request and its answer between hosts, over HTTP/2.
//!
//! The path, method, body and headers of the request are kept. Further parameters for the gateway
//! are sent in headers with short names, which the gateway removes.

use std::sync::Arc;

use bytes::Bytes;
use coordinator::{Incarnation, Millis};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, Uri, header};
use http_body_util::Full;
use refusal::Reason;

use super::{AttemptOutcome, GatewayRequest, QueueId, WaitLimit, exchange::LeavingTarget};

const TARGET: HeaderName = HeaderName::from_static("hop-target");
const PLACE: HeaderName = HeaderName::from_static("hop-place");
const SERVICE: HeaderName = HeaderName::from_static("hop-service");
const ROUTE: HeaderName = HeaderName::from_static("hop-route");
const KEY: HeaderName = HeaderName::from_static("hop-key");
const PRIORITY: HeaderName = HeaderName::from_static("hop-priority");
const WAIT_LIMIT: HeaderName = HeaderName::from_static("hop-patience");
/// Milliseconds left until the objective, end and deadline, and milliseconds since the arrival.
const TIMES_LEFT: HeaderName = HeaderName::from_static("hop-times");
const HOST: HeaderName = HeaderName::from_static("hop-host");
const REFUSED: HeaderName = HeaderName::from_static("hop-refused");
/// Milliseconds after which a refused request can be served.
const RETRY: HeaderName = HeaderName::from_static("hop-retry");
/// Milliseconds that a new request would wait in the queue that the request was sent to.
const WAIT: HeaderName = HeaderName::from_static("hop-wait");
/// Whether the request ran. Each answer of a gateway has it, so that an answer which the HTTP/2 library
/// gives by itself does not pass for that of a target.
const RAN: HeaderName = HeaderName::from_static("hop-ran");
/// Value of [`RAN`] in the answer of a target.
const ANSWERED: HeaderValue = HeaderValue::from_static("answered");
/// Start time and name of the target that answered, if it is about to stop.
const LEAVING: HeaderName = HeaderName::from_static("hop-leaving");

/// Marks a request that only asks whether the host answers.
const CHECK: HeaderName = HeaderName::from_static("hop-check");

/// Returns a request that a host answers at once. A host that does not know it yet refuses it as one
/// that it cannot read, which shows as well that it answers.
pub(super) fn check_request(to: &str) -> Request<Full<Bytes>> {
    let uri = Uri::builder().scheme("http").authority(to);
    let uri = uri.path_and_query("/").build();
    let mut request = Request::new(Full::default());
    *request.uri_mut() = uri.expect("an address and a path form a valid URI");
    let headers = request.headers_mut();
    headers.insert(CHECK, HeaderValue::from_static("1"));
    request
}

/// Whether a request only asks whether the host answers.
pub(super) fn is_check(headers: &HeaderMap) -> bool {
    headers.contains_key(CHECK)
}

/// The answer to such a request.
pub(super) fn check_answer() -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::NO_CONTENT;
    response
}

/// Encodes a request as an HTTP request to the gateway with the authority `to`.
pub(super) fn request_of(
    gateway_request: &GatewayRequest,
    to: &str,
    now: Millis,
) -> Request<Full<Bytes>> {
    let uri = Uri::builder()
        .scheme("http")
        .authority(to)
        .path_and_query(gateway_request.path.clone())
        .build()
        .expect("an address and a parsed path form a valid URI");
    let mut headers = gateway_request.headers.clone();
    for name in [TARGET, PLACE, KEY, WAIT_LIMIT, HOST, CHECK] {
        headers.remove(name);
    }
    if let Some(host) = headers.remove(header::HOST) {
        headers.insert(HOST, host);
    }
    headers.remove(header::CONTENT_LENGTH);
    let mut put = |name: HeaderName, value: &str| match HeaderValue::from_str(value) {
        Ok(value) => {
            headers.insert(name, value);
        }
        Err(err) => log::error!("{name} cannot be sent: {err}"),
    };
    match &gateway_request.queue {
        QueueId::Target(target) => put(TARGET, target),
        QueueId::Pool { place, .. } => put(PLACE, place),
    }
    put(SERVICE, &gateway_request.service);
    put(ROUTE, &gateway_request.route);
    if let Some(key) = gateway_request.key {
        put(KEY, &key.to_string());
    }
    put(PRIORITY, &gateway_request.priority.to_string());
    if gateway_request.wait_limit == WaitLimit::Objective {
        put(WAIT_LIMIT, "objective");
    }
    let left = |it: Millis| it.saturating_sub(now);
    let times = [
        left(gateway_request.objective),
        left(gateway_request.end),
        left(gateway_request.deadline),
    ];
    let age = now.saturating_sub(gateway_request.arrived);
    put(
        TIMES_LEFT,
        &format!("{} {} {} {age}", times[0], times[1], times[2]),
    );
    let mut request = Request::new(Full::new(gateway_request.body.clone()));
    *request.method_mut() = gateway_request.method.clone();
    *request.uri_mut() = uri;
    *request.headers_mut() = headers;
    request
}

/// Decodes an HTTP request that [`request_of`] encoded; `None` if one of its headers is missing or
/// malformed, as in a request that was not sent by a host.
pub(super) fn gateway_request_of(request: Request<Bytes>, now: Millis) -> Option<GatewayRequest> {
    let (parts, body) = request.into_parts();
    let mut headers = parts.headers;
    let mut take = |name: HeaderName| headers.remove(name);
    let text = |value: Option<HeaderValue>| {
        let value = value?;
        value.to_str().ok().map(Arc::<str>::from)
    };
    let service = text(take(SERVICE))?;
    let route = text(take(ROUTE))?;
    let queue = match text(take(TARGET)) {
        Some(target) => QueueId::Target(target),
        None => QueueId::Pool {
            service: Arc::clone(&service),
            place: text(take(PLACE))?,
        },
    };
    let key = text(take(KEY)).and_then(|it| it.parse().ok());
    let priority = text(take(PRIORITY))?.parse().ok()?;
    let wait_limit = match take(WAIT_LIMIT) {
        Some(_) => WaitLimit::Objective,
        None => WaitLimit::Deadline,
    };
    let times = text(take(TIMES_LEFT))?;
    let mut times = times.split(' ').map(|it| it.parse::<Millis>().ok());
    let mut time = || times.next().flatten();
    let (objective, end, deadline) = (now + time()?, now + time()?, now + time()?);
    let arrived = now.saturating_sub(time()?);
    if let Some(host) = take(HOST) {
        headers.insert(header::HOST, host);
    }
    headers.remove(header::CONTENT_LENGTH);
    Some(GatewayRequest {
        queue,
        service,
        route,
        key,
        priority,
        wait_limit,
        arrived,
        objective,
        end,
        deadline,
        method: parts.method,
        path: parts.uri.into_parts().path_and_query?,
        headers,
        body,
    })
}

/// Encodes an outcome as an answer.
pub(super) fn response_of(outcome: AttemptOutcome) -> Response<Full<Bytes>> {
    let (reason, ran, retry_ms) = match outcome {
        AttemptOutcome::Answered(mut response) => {
            let leaving = response.extensions_mut().remove::<LeavingTarget>();
            let headers = response.headers_mut();
            for name in [REFUSED, RETRY, LEAVING, WAIT] {
                headers.remove(name);
            }
            headers.insert(RAN, ANSWERED);
            if let Some(LeavingTarget(it)) = leaving {
                let text = format!("{} {}", it.started_ms, it.target);
                match HeaderValue::from_str(&text) {
                    Ok(value) => {
                        headers.insert(LEAVING, value);
                    }
                    Err(err) => log::error!("{LEAVING} cannot be sent: {err}"),
                }
            }
            return response;
        }
        AttemptOutcome::NotRun {
            reason,
            offered,
            retry_ms,
        } => (reason, if offered { "offered" } else { "no" }, retry_ms),
        AttemptOutcome::Unknown(reason) => (reason, "unknown", None),
    };
    let mut response = Response::new(Full::default());
    let headers = response.headers_mut();
    headers.insert(REFUSED, HeaderValue::from_static(reason.label()));
    headers.insert(RAN, HeaderValue::from_static(ran));
    if let Some(retry_ms) = retry_ms {
        headers.insert(RETRY, HeaderValue::from(retry_ms));
    }
    response
}

/// Adds the expected wait in a queue to an answer.
pub(super) fn put_wait(response: &mut Response<Full<Bytes>>, wait_ms: u64) {
    response
        .headers_mut()
        .insert(WAIT, HeaderValue::from(wait_ms));
}

/// Reads the expected wait from an answer, if it states one.
pub(super) fn wait_of(headers: &HeaderMap) -> Option<u64> {
    headers.get(WAIT)?.to_str().ok()?.parse().ok()
}

/// Decodes the outcome of an answer.
pub(super) fn outcome_of(response: Response<Bytes>) -> AttemptOutcome {
    let (mut parts, body) = response.into_parts();
    let Some(reason) = refused(&parts.headers) else {
        if parts.headers.remove(RAN) != Some(ANSWERED) {
            log::warn!(status = parts.status.as_u16(); "an answer between hosts is not of a gateway");
            return AttemptOutcome::Unknown(Reason::GatewayLost);
        }
        parts.headers.remove(WAIT);
        let leaving = parts.headers.remove(LEAVING);
        if let Some(it) = leaving.as_ref().and_then(incarnation_of) {
            parts.extensions.insert(LeavingTarget(it));
        }
        return AttemptOutcome::Answered(Response::from_parts(parts, Full::new(body)));
    };
    let retry_ms = parts.headers.get(RETRY).and_then(|it| it.to_str().ok());
    let retry_ms = retry_ms.and_then(|it| it.parse().ok());
    match parts.headers.get(RAN).map(HeaderValue::as_bytes) {
        Some(b"no") => AttemptOutcome::NotRun {
            reason,
            offered: false,
            retry_ms,
        },
        Some(b"offered") => AttemptOutcome::NotRun {
            reason,
            offered: true,
            retry_ms,
        },
        _ => AttemptOutcome::Unknown(reason),
    }
}

fn incarnation_of(value: &HeaderValue) -> Option<Incarnation> {
    let (started_ms, target) = value.to_str().ok()?.split_once(' ')?;
    Some(Incarnation {
        target: target.into(),
        started_ms: started_ms.parse().ok()?,
    })
}

fn refused(headers: &HeaderMap) -> Option<Reason> {
    let label = headers.get(REFUSED)?.to_str().ok()?;
    Some(Reason::from_label(label).unwrap_or(Reason::GatewayLost))
}

#[cfg(test)]
mod tests;
