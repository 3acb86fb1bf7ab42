//! HTTP interface of the platform stand-in.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, header, request::Parts};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use platform::{Member, Members};
use serde_json::{Value, json};
use xxhash_rust::xxh3::xxh3_64;

use super::{Counts, Table};
use crate::{
    faults::{Fault, FaultMode},
    serve::{Body, Closed, empty, full, json_answer, read_body},
};

/// Maximum number of rows in a page if the request has no `limit`.
const DEFAULT_PAGE_ROWS: usize = 1_000;

#[derive(Debug, Default)]
struct State {
    table: Table,
    objects: HashMap<String, Bytes>,
    members: BTreeMap<String, Member>,
    fault: Fault,
    counts: Counts,
    views: HashMap<String, View>,
}

/// Addresses to replace in answers, with their replacements. Each address at which the platform is
/// called can have a view.
type View = BTreeMap<String, String>;

/// The platform stand-in; clones share one state.
#[derive(Clone, Debug, Default)]
pub struct PlatformServer {
    state: Arc<Mutex<State>>,
}

impl PlatformServer {
    /// Answers one call.
    ///
    /// # Errors
    ///
    /// Fails if the current fault closes the connection.
    pub async fn answer(self, request: Request<Incoming>) -> Result<Response<Body>, Closed> {
        let (head, body) = request.into_parts();
        let body = read_body(body).await?;
        let path = head.uri.path().to_owned();
        if let Some(rest) = path.strip_prefix("/control/") {
            return Ok(self.control(&head.method, rest, &body));
        }
        let fault = self.lock().fault.take();
        if fault.mode == FaultMode::Down {
            self.lock().counts.add_refused();
            return Err(Closed);
        }
        let address = head.headers.get(header::HOST);
        let view = address.and_then(|it| self.lock().views.get(it.to_str().ok()?).cloned());
        // Runs in a separate task, because a call takes effect even if its caller disconnects.
        let query = head.uri.query().unwrap_or_default().to_owned();
        let task = tokio::spawn(async move {
            if fault.mode == FaultMode::Slow {
                tokio::time::sleep(Duration::from_millis(fault.delay_ms)).await;
            }
            self.execute(&head, &path, &query, &body)
        });
        let answer = task.await.map_err(|_| Closed)?;
        if fault.mode == FaultMode::LoseAnswer {
            return Err(Closed);
        }
        match view {
            Some(it) => apply_view(answer, &it).await,
            None => Ok(answer),
        }
    }

    fn execute(&self, head: &Parts, path: &str, query: &str, body: &Bytes) -> Response<Body> {
        let method = &head.method;
        let mut state = self.lock();
        if *method == Method::GET {
            state.counts.add_read();
        } else {
            state.counts.add_write();
        }
        if let Some(name) = path.strip_prefix("/table/row/") {
            return state
                .table
                .row(name)
                .map_or_else(|| empty(StatusCode::NOT_FOUND), |row| ok(&row));
        }
        if let Some(name) = path.strip_prefix("/objects/") {
            if *method == Method::PUT {
                state.objects.insert(name.to_owned(), body.clone());
                return empty(StatusCode::OK);
            }
            return state.objects.get(name).map_or_else(
                || empty(StatusCode::NOT_FOUND),
                |it| Response::new(full(it.clone())),
            );
        }
        match (method, path) {
            (&Method::POST, "/table/commit") => commit(&mut state, body),
            (&Method::GET, "/table/rows") => {
                let after = query_number(query, "after").unwrap_or(0);
                let limit = query_number(query, "limit")
                    .and_then(|it| usize::try_from(it).ok())
                    .unwrap_or(DEFAULT_PAGE_ROWS);
                match query_value(query, "under") {
                    Some(prefix) => ok(&state.table.rows_under(prefix, limit)),
                    None => ok(&state.table.rows_after(after, limit)),
                }
            }
            (&Method::GET, "/members") => members(&state, &head.headers),
            _ => empty(StatusCode::NOT_FOUND),
        }
    }

    fn control(&self, method: &Method, path: &str, body: &Bytes) -> Response<Body> {
        if let Some(name) = path.strip_prefix("members/") {
            return self.change_member(method, name, body);
        }
        if let Some(address) = path.strip_prefix("views/") {
            return match serde_json::from_slice(body) {
                Ok(view) => {
                    self.lock().views.insert(address.to_owned(), view);
                    empty(StatusCode::OK)
                }
                Err(err) => bad_request(&err),
            };
        }
        match (method, path) {
            (&Method::PUT, "fault") => match serde_json::from_slice(body) {
                Ok(fault) => {
                    self.lock().fault = fault;
                    empty(StatusCode::OK)
                }
                Err(err) => bad_request(&err),
            },
            (&Method::GET, "counts") => ok(&self.lock().counts),
            (&Method::DELETE, "counts") => {
                self.lock().counts = Counts::default();
                empty(StatusCode::OK)
            }
            _ => empty(StatusCode::NOT_FOUND),
        }
    }

    fn change_member(&self, method: &Method, name: &str, body: &Bytes) -> Response<Body> {
        let mut fields: Value = match serde_json::from_slice(body) {
            Ok(it) => it,
            Err(_) if body.is_empty() => json!({}),
            Err(err) => return bad_request(&err),
        };
        fields["name"] = json!(name);
        let lag_ms = fields["lag_ms"].as_u64().unwrap_or(0);
        let change: Option<Member> = match *method {
            Method::DELETE => None,
            _ => match serde_json::from_value(fields) {
                Ok(it) => Some(it),
                Err(err) => return bad_request(&err),
            },
        };
        if lag_ms == 0 {
            self.set_member(name, change);
            return empty(StatusCode::OK);
        }
        let (server, name) = (self.clone(), name.to_owned());
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(lag_ms)).await;
            server.set_member(&name, change);
        });
        empty(StatusCode::OK)
    }

    fn set_member(&self, name: &str, member: Option<Member>) {
        let mut state = self.lock();
        match member {
            Some(it) => state.members.insert(name.to_owned(), it),
            None => state.members.remove(name),
        };
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Replaces addresses in an answer. All ports have five digits, so that no address is a prefix of
/// another one.
async fn apply_view(answer: Response<Body>, view: &View) -> Result<Response<Body>, Closed> {
    let (head, body) = answer.into_parts();
    let bytes = body.collect().await?.to_bytes();
    let mut text = String::from_utf8_lossy(&bytes).into_owned();
    for (from, to) in view {
        text = text.replace(from, to);
    }
    Ok(Response::from_parts(head, full(text)))
}

fn commit(state: &mut State, body: &Bytes) -> Response<Body> {
    let commit: platform::Commit = match serde_json::from_slice(body) {
        Ok(it) => it,
        Err(err) => return bad_request(&err),
    };
    let rows = commit.writes.len();
    match state.table.commit(commit) {
        Ok(committed) => {
            state.counts.add_commit(rows);
            ok(&committed)
        }
        Err(conflicts) => json_answer(StatusCode::CONFLICT, &conflicts),
    }
}

/// Answers with the membership list, or with 304 if the caller has sent its current entity tag.
fn members(state: &State, headers: &HeaderMap) -> Response<Body> {
    let list = Members {
        members: state.members.values().cloned().collect(),
    };
    let bytes = serde_json::to_vec(&list).expect("membership list can be serialised as JSON");
    let tag = format!("\"{:016x}\"", xxh3_64(&bytes));
    let cached_tag = headers.get(header::IF_NONE_MATCH);
    let mut answer = if cached_tag.is_some_and(|it| *it == *tag) {
        empty(StatusCode::NOT_MODIFIED)
    } else {
        ok(&list)
    };
    let tag = tag
        .parse()
        .expect("quoted hexadecimal digits are a valid header value");
    answer.headers_mut().insert(header::ETAG, tag);
    answer
}

fn query_number(query: &str, name: &str) -> Option<u64> {
    query_value(query, name)?.parse().ok()
}

fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
    pairs.find(|it| it.0 == name).map(|it| it.1)
}

fn ok<T: serde::Serialize>(value: &T) -> Response<Body> {
    json_answer(StatusCode::OK, value)
}

fn bad_request(err: &serde_json::Error) -> Response<Body> {
    json_answer(StatusCode::BAD_REQUEST, &json!({"error": err.to_string()}))
}
