//! HTTP interface of the target stand-in.

use std::{
    collections::HashSet,
    path::PathBuf,
    str::FromStr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, request::Parts};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use ownership::{GrantState, Renewal, RenewalReply, RequestFence};
use serde_json::json;
use tokio::{
    net::TcpListener,
    sync::{Notify, Semaphore, watch},
    time::Instant,
};

use super::{
    AnswerBody, Behaviour, Entry, Grants, KeyFence, Record, ReportedHealth,
    answer::{Framing, answer_bytes, answer_hash},
    record::now_us,
    running_request::RunningRequest,
};
use crate::serve::{Body, Closed, empty, full, json_answer, read_body, serve_connection};

/// Deadline of a request without the header `sassafras-deadline-ms`.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// Options of the target stand-in.
#[derive(Clone, Debug)]
pub struct TargetOptions {
    /// The service.
    pub service: String,
    /// Maximum number of concurrent requests.
    pub slots: usize,
    /// Maximum number of open connections; further ones are closed at once.
    pub connections: usize,
    /// Whether the target checks grants.
    pub checks: bool,
    /// Additional processing time of the first request of a newly held slice, in milliseconds.
    pub cold_ms: u64,
    /// Processing time of each request in milliseconds.
    pub work_ms: u64,
    /// Size of the body of each answer in bytes.
    pub body_bytes: usize,
    /// File to which the record is appended; `None` keeps it in memory only.
    pub record: Option<PathBuf>,
}

/// State shared by all connections.
pub(super) struct Shared {
    options: TargetOptions,
    incarnation: u64,
    /// Zero of the target's clock.
    started: Instant,
    /// Lock order: `grants`, then `behaviour`, then `warm_slices`.
    grants: Mutex<Grants>,
    behaviour: Mutex<Behaviour>,
    /// Slices that have served a request: lowest hash and generation.
    warm_slices: Mutex<HashSet<(u64, u64)>>,
    record: Arc<Record>,
    slots: Semaphore,
    connections: Arc<Semaphore>,
    frozen: watch::Sender<bool>,
    /// Wakes running requests after each grant.
    pub(super) granted: Notify,
}

/// The target stand-in; clones share one state.
#[derive(Clone)]
pub struct TargetServer {
    shared: Arc<Shared>,
}

impl TargetServer {
    /// Creates a target with a new incarnation that holds no slices.
    #[must_use]
    pub fn new(options: TargetOptions) -> Self {
        let incarnation = rand::random::<u64>() >> 1;
        let behaviour = Behaviour {
            work_ms: options.work_ms,
            body_bytes: options.body_bytes,
            ..Behaviour::default()
        };
        let shared = Shared {
            incarnation,
            started: Instant::now(),
            grants: Mutex::new(Grants::new(incarnation)),
            behaviour: Mutex::new(behaviour),
            warm_slices: Mutex::default(),
            record: Arc::new(Record::with_file(options.record.as_deref())),
            slots: Semaphore::new(options.slots),
            connections: Arc::new(Semaphore::new(options.connections)),
            frozen: watch::Sender::new(false),
            granted: Notify::new(),
            options,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Accepts connections of gateways until the process ends.
    pub async fn serve(self, listener: TcpListener) {
        loop {
            self.shared.wait_while_frozen().await;
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let Ok(permit) = self.shared.connections.clone().try_acquire_owned() else {
                continue;
            };
            let server = self.clone();
            tokio::spawn(async move {
                let _permit = permit;
                serve_connection(stream, move |request| server.clone().answer(request)).await;
            });
        }
    }

    /// Answers a call on the control port, also while the target is frozen.
    ///
    /// # Errors
    ///
    /// Fails if the caller disconnects.
    pub async fn control(self, request: Request<Incoming>) -> Result<Response<Body>, Closed> {
        let (head, body) = request.into_parts();
        let body = read_body(body).await?;
        match (&head.method, head.uri.path()) {
            (&Method::PUT, "/control/behaviour") => {
                let change = match serde_json::from_slice(&body) {
                    Ok(it) => it,
                    Err(err) => {
                        let error = json!({"error": err.to_string()});
                        return Ok(json_answer(StatusCode::BAD_REQUEST, &error));
                    }
                };
                let mut behaviour = lock(&self.shared.behaviour);
                behaviour.apply(change);
                self.shared.frozen.send_replace(behaviour.frozen);
                Ok(json_answer(StatusCode::OK, &*behaviour))
            }
            (&Method::GET, "/control/record") => {
                Ok(json_answer(StatusCode::OK, &self.shared.record.entries()))
            }
            _ => Ok(empty(StatusCode::NOT_FOUND)),
        }
    }

    async fn answer(self, request: Request<Incoming>) -> Result<Response<Body>, Closed> {
        let shared = &self.shared;
        shared.wait_while_frozen().await;
        if request.uri().path().starts_with("/control/") {
            return self.control(request).await;
        }
        let (head, body) = request.into_parts();
        let body = read_body(body).await?;
        let mut answer = match (&head.method, head.uri.path()) {
            (&Method::GET, "/sassafras/grant") => shared.grant_answer(),
            (&Method::PUT, "/sassafras/grant") => shared.put_grant(&body),
            (&Method::PUT, "/sassafras/renew") => shared.renew(&body),
            (&Method::GET, "/health") => shared.health(),
            (&Method::GET, "/load") => shared.load(),
            _ => shared.run(&head, &body).await?,
        };
        shared.wait_while_frozen().await;
        if lock(&shared.behaviour).draining {
            let value = HeaderValue::from_static("true");
            answer.headers_mut().insert("sassafras-draining", value);
        }
        Ok(answer)
    }
}

impl Shared {
    /// Waits while the target is frozen.
    pub(super) async fn wait_while_frozen(&self) {
        // The sender is a field of `self`, so the wait cannot fail.
        let _ = self.frozen.subscribe().wait_for(|it| !it).await;
    }

    /// Time at which all grants expire unless they are renewed.
    pub(super) fn grant_expiry(&self) -> Instant {
        self.started + Duration::from_millis(lock(&self.grants).expiry())
    }

    /// Whether a running request may continue under the current grants.
    pub(super) fn may_continue(&self, key_fence: &KeyFence) -> bool {
        lock(&self.grants).may_continue(self.clock(), &self.options.service, key_fence)
    }

    /// Milliseconds of the target's clock.
    fn clock(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn grant_answer(&self) -> Response<Body> {
        let state = lock(&self.grants).state(self.clock());
        self.grant_state(StatusCode::OK, state)
    }

    fn put_grant(&self, body: &Bytes) -> Response<Body> {
        let order = match serde_json::from_slice(body) {
            Ok(it) => it,
            Err(err) => {
                let error = json!({"error": err.to_string()});
                return json_answer(StatusCode::BAD_REQUEST, &error);
            }
        };
        let applied = lock(&self.grants).apply(self.clock(), &order);
        match applied {
            Ok(state) => {
                self.granted.notify_waiters();
                self.grant_state(StatusCode::OK, state)
            }
            Err(state) => self.grant_state(StatusCode::CONFLICT, state),
        }
    }

    fn renew(&self, body: &Bytes) -> Response<Body> {
        let Some(renewal) = Renewal::from_bytes(body) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let applied = lock(&self.grants).renew(self.clock(), &renewal);
        match applied {
            Ok(renewed) => {
                self.granted.notify_waiters();
                let draining = lock(&self.behaviour).draining;
                let renewed = RenewalReply {
                    draining,
                    ..renewed
                };
                Response::new(full(renewed.to_bytes()))
            }
            Err(state) => self.grant_state(StatusCode::CONFLICT, state),
        }
    }

    fn grant_state(&self, status: StatusCode, mut state: GrantState) -> Response<Body> {
        state.draining = lock(&self.behaviour).draining;
        json_answer(status, &state)
    }

    fn health(&self) -> Response<Body> {
        match lock(&self.behaviour).health {
            ReportedHealth::Ok => json_answer(StatusCode::OK, &json!({"status": "ok"})),
            ReportedHealth::Failing => json_answer(
                StatusCode::SERVICE_UNAVAILABLE,
                &json!({"status": "failing"}),
            ),
        }
    }

    fn load(&self) -> Response<Body> {
        let available = self.slots.available_permits();
        let running = self.options.slots.saturating_sub(available);
        let load = json!({"running": running, "slots": self.options.slots});
        json_answer(StatusCode::OK, &load)
    }

    async fn run(&self, head: &Parts, body: &Bytes) -> Result<Response<Body>, Closed> {
        let behaviour = lock(&self.behaviour).clone();
        if behaviour.shedding {
            return Ok(refused(StatusCode::SERVICE_UNAVAILABLE, "shed"));
        }
        let headers = &head.headers;
        let deadline_ms =
            parse_header(headers, "sassafras-deadline-ms").unwrap_or(DEFAULT_DEADLINE_MS);
        let deadline = Instant::now() + Duration::from_millis(deadline_ms);
        let Ok(slot) = tokio::time::timeout_at(deadline, self.slots.acquire()).await else {
            return Ok(refused(StatusCode::SERVICE_UNAVAILABLE, "shed"));
        };
        let _slot = slot.map_err(|_| Closed)?;
        self.wait_while_frozen().await;
        if Instant::now() >= deadline {
            return Ok(refused(StatusCode::SERVICE_UNAVAILABLE, "shed"));
        }
        let key_fence = read_key_fence(headers);
        let Some(number_in_record) = self.start(head, key_fence.as_ref()) else {
            return Ok(refused(StatusCode::CONFLICT, "fenced"));
        };
        let path = head.uri.path_and_query().map_or("/", |it| it.as_str());
        let mut running = RunningRequest::new(self.record.clone(), number_in_record, deadline);
        if behaviour.crashes(path, body) {
            self.record.exit();
            // The status that a shell reports for an aborted process: 128 + SIGABRT.
            std::process::exit(134);
        }
        let mut work_ms = parse_header(headers, "x-work-ms").unwrap_or(behaviour.work_ms);
        if self.is_cold(key_fence.as_ref()) {
            work_ms += self.options.cold_ms;
        }
        let checked = key_fence.as_ref().filter(|_| self.options.checks);
        let work = Duration::from_millis(work_ms);
        if !running.process(self, checked, work).await {
            return Err(Closed);
        }
        drop(running);
        Ok(self.build_answer(head, body, behaviour.body_bytes))
    }

    /// Checks the fencing values and records the start under one lock, so that no grant is
    /// applied in between; `None` if the request is fenced.
    ///
    /// The recorded start is read before the check: a process that is suspended behind the check
    /// runs nothing after its grants have expired, and would record a start after that.
    fn start(&self, head: &Parts, key_fence: Option<&KeyFence>) -> Option<u64> {
        let start_us = now_us();
        let grants = lock(&self.grants);
        let service = &self.options.service;
        if self.options.checks {
            let key_fence = key_fence?;
            if header_text(&head.headers, "sassafras-service") != *service
                || !grants.admits(self.clock(), service, key_fence)
            {
                return None;
            }
        }
        let entry = Entry {
            incarnation: self.incarnation,
            service: service.clone(),
            id: header_text(&head.headers, "sassafras-request-id"),
            idempotency_key: header_text(&head.headers, "idempotency-key"),
            key_hash: header_text(&head.headers, "sassafras-key-hash"),
            path: head.uri.path().to_owned(),
            epoch: key_fence.map_or(0, |it| it.fence.epoch),
            generation: key_fence.map_or(0, |it| it.fence.generation),
            start_us,
            ..Entry::default()
        };
        Some(self.record.start(entry))
    }

    /// Whether this is the first request for its slice and generation, which it marks as warm.
    /// Without a grant, the upper 16 bits of the hash stand for the slice.
    fn is_cold(&self, key_fence: Option<&KeyFence>) -> bool {
        let Some(key_fence) = key_fence else {
            return false;
        };
        let low =
            lock(&self.grants).slice_low(self.clock(), &self.options.service, key_fence.key_hash);
        let slice = low.unwrap_or(key_fence.key_hash >> 48);
        lock(&self.warm_slices).insert((slice, key_fence.fence.generation))
    }

    fn build_answer(&self, head: &Parts, body: &Bytes, body_bytes: usize) -> Response<Body> {
        let headers = &head.headers;
        let len = parse_header(headers, "x-body-bytes").unwrap_or(body_bytes);
        let pause = Duration::from_millis(parse_header(headers, "x-frame-ms").unwrap_or(0));
        let framing = match header_text(headers, "x-framing").as_str() {
            "chunked" => Framing::Chunked,
            _ => Framing::Length,
        };
        let path = head.uri.path_and_query().map_or("/", |it| it.as_str());
        let bytes = answer_bytes(head.method.as_str(), path, body, len);
        let hash = HeaderValue::from_str(&answer_hash(&bytes))
            .expect("hexadecimal digits are a valid header value");
        let body = AnswerBody::new(bytes, pause, framing, self.frozen.subscribe());
        let mut answer = Response::new(body.boxed());
        answer.headers_mut().insert("sassafras-body-hash", hash);
        if let Some(id) = headers.get("sassafras-request-id") {
            answer
                .headers_mut()
                .insert("sassafras-request-id", id.clone());
        }
        answer
    }
}

fn refused(status: StatusCode, reason: &'static str) -> Response<Body> {
    let mut answer = empty(status);
    let value = HeaderValue::from_static(reason);
    answer.headers_mut().insert("sassafras-refused", value);
    answer
}

fn read_key_fence(headers: &HeaderMap) -> Option<KeyFence> {
    let hash = headers.get("sassafras-key-hash")?.to_str().ok()?;
    Some(KeyFence {
        fence: RequestFence {
            epoch: parse_header(headers, "sassafras-epoch")?,
            generation: parse_header(headers, "sassafras-generation")?,
            incarnation: parse_header(headers, "sassafras-incarnation")?,
        },
        key_hash: u64::from_str_radix(hash, 16).ok()?,
    })
}

fn parse_header<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|it| it.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[cfg(test)]
mod tests;
