//! A stand-in for the platform, and hosts that answer on their operators' ports.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    process::{Command, Output},
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use platform::{Commit, Condition, Platform, Write};
use serde_json::{Value, json};
use testkit::{
    serve::{Body, Closed, accept_all, bind, empty, json_answer},
    store::PlatformServer,
};

/// A fault that is injected into one commit of the client.
#[derive(Clone, Copy, Debug)]
pub enum CommitFault {
    /// The request is lost before it takes effect.
    LoseRequest,
    /// The request takes effect and its answer is lost.
    LoseAnswer,
    /// The request is cut off and takes effect later.
    Delay,
    /// Another operator commits the version first.
    RivalCommit,
}

/// A running stand-in for the platform; its tasks end with the test's runtime.
#[derive(Clone)]
pub struct TestPlatform {
    pub address: SocketAddr,
    pub client: Platform,
    server: PlatformServer,
    faults: Arc<Mutex<VecDeque<CommitFault>>>,
}

impl TestPlatform {
    pub async fn start(faults: &[CommitFault]) -> Self {
        let listener = bind("127.0.0.1:0").await;
        let address = listener.local_addr().expect("the listener is bound");
        let platform = Self {
            address,
            client: Platform::new(address, Duration::from_secs(5)),
            server: PlatformServer::default(),
            faults: Arc::new(Mutex::new(faults.iter().copied().collect())),
        };
        let it = platform.clone();
        tokio::spawn(accept_all(listener, move |request| {
            it.clone().answer(request)
        }));
        platform
    }

    async fn answer(self, request: Request<Incoming>) -> Result<Response<Body>, Closed> {
        let injected = match request.uri().path() {
            "/table/commit" => self
                .faults
                .lock()
                .expect("lock is not poisoned")
                .pop_front(),
            _ => None,
        };
        match injected {
            None => self.server.answer(request).await,
            Some(CommitFault::LoseRequest) => Err(Closed),
            Some(CommitFault::LoseAnswer) => {
                let _ = self.server.answer(request).await;
                Err(Closed)
            }
            Some(CommitFault::Delay) => {
                let fault = json!({"mode": "slow", "delay_ms": 300, "count": 1});
                self.control("fault", &fault).await;
                let answer = self.server.answer(request);
                let _ = tokio::time::timeout(Duration::from_millis(30), answer).await;
                Err(Closed)
            }
            Some(CommitFault::RivalCommit) => {
                self.commit_as_rival(1).await;
                self.server.answer(request).await
            }
        }
    }

    /// Commits `version` as another operator, with a different `hold_s`.
    pub async fn commit_as_rival(&self, version: u64) {
        let text = super::CAVALLUCCI.replace("hold_s: 7200", "hold_s: 60");
        let current = self
            .client
            .row("document/current")
            .await
            .expect("the platform answers");
        let value = json!({"version": version, "change": "rival", "text": text});
        let row = format!("document/v/{version}");
        let commit = Commit {
            change: "rival".to_owned(),
            conditions: vec![Condition {
                row: row.clone(),
                rev: 0,
            }],
            writes: vec![
                Write {
                    row: "document/current".to_owned(),
                    value: value.clone(),
                },
                Write { row, value },
            ],
        };
        assert!(current.is_none() || version > 1);
        self.client.commit(&commit).await;
    }

    /// The stored versions, as pairs of version number and change identifier.
    pub async fn versions(&self) -> Vec<(u64, String)> {
        let mut versions = Vec::new();
        for version in 1.. {
            let row = self.client.row(&format!("document/v/{version}")).await;
            let Some(row) = row.expect("the platform answers") else {
                break;
            };
            let change = row.value["change"]
                .as_str()
                .expect("the version has a change");
            versions.push((version, change.to_owned()));
        }
        versions
    }

    /// Adds a host to the membership list; `operators` is the address of its operators' port.
    pub async fn add_member(&self, name: &str, state: &str, operators: SocketAddr) {
        let body = json!({
            "kind": "host", "state": state, "place": "catania", "operators": operators,
        });
        self.control(&format!("members/{name}"), &body).await;
    }

    async fn control(&self, path: &str, body: &Value) {
        let path = format!("http://{}/control/{path}", self.address);
        let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
        let request = Request::put(path).body(body.to_string().into());
        let answer = client.request(request.expect("the request is valid")).await;
        assert_eq!(
            answer.expect("the platform answers").status(),
            StatusCode::OK
        );
    }

    /// Starts a host that reports `version`, or the version in the store if that is `None`.
    pub async fn start_host(&self, name: &'static str, version: Option<u64>) -> SocketAddr {
        let listener = bind("127.0.0.1:0").await;
        let address = listener.local_addr().expect("the listener is bound");
        let client = self.client.clone();
        tokio::spawn(accept_all(listener, move |request: Request<Incoming>| {
            let client = client.clone();
            async move {
                let stored = client.row("document/current").await;
                let stored = stored
                    .ok()
                    .flatten()
                    .and_then(|it| it.value["version"].as_u64());
                let version = version.or(stored).unwrap_or(0);
                let path = request
                    .uri()
                    .path_and_query()
                    .expect("the request has a path")
                    .as_str();
                Ok(match path {
                    "/status" => json_answer(StatusCode::OK, &status(name, version)),
                    "/owner?service=archive&key=a%20b%26%C3%A9" => {
                        json_answer(StatusCode::OK, &owner())
                    }
                    _ => empty(StatusCode::NOT_FOUND),
                })
            }
        }));
        self.add_member(name, "live", address).await;
        address
    }

    /// Runs the client with `arguments` and the address of this platform.
    pub async fn run(&self, arguments: &[&str]) -> CliOutput {
        let platform = self.address.to_string();
        let mut arguments: Vec<_> = arguments.iter().map(ToString::to_string).collect();
        arguments.extend(["--platform".to_owned(), platform]);
        run(arguments).await
    }
}

/// The exit code and output of a run of the client.
#[derive(Debug)]
pub struct CliOutput {
    pub code: Option<i32>,
    pub out: String,
    pub err: String,
}

/// Runs the client.
pub async fn run(arguments: Vec<String>) -> CliOutput {
    let start = move || {
        Command::new(env!("CARGO_BIN_EXE_sassafrasctl"))
            .args(arguments)
            .output()
            .expect("the client starts")
    };
    let output: Output = tokio::task::spawn_blocking(start)
        .await
        .expect("the task does not panic");
    CliOutput {
        code: output.status.code(),
        out: String::from_utf8(output.stdout).expect("the output is UTF-8"),
        err: String::from_utf8(output.stderr).expect("the output is UTF-8"),
    }
}

/// An address on which nothing listens.
pub async fn unused_address() -> SocketAddr {
    let listener = bind("127.0.0.1:0").await;
    listener.local_addr().expect("the listener is bound")
}

fn status(name: &str, version: u64) -> Value {
    let targets = match name {
        "h1" => json!([{
            "service": "archive", "target": "a01", "gateway": "h1", "epoch": 3,
            "state": "serving", "held": 5, "draining": false,
        }, {
            "service": "archive", "target": "a02", "gateway": "h1", "epoch": null,
            "state": "claiming", "held": 0, "draining": true,
        }]),
        _ => json!([]),
    };
    json!({
        "host": name, "data_centre": "catania", "version": version, "rev": 12, "ready": true,
        "confirmed": name == "h1", "targets": targets,
        "quarantine": [{"service": "archive", "fingerprint": "1f0c9a7712de0b43", "age_s": version}],
        "refusals": {"queue_full": 2}, "retries": {"fenced": 1},
    })
}

fn owner() -> Value {
    json!({
        "service": "archive", "key": "a b&é", "hash": "00000000000000ff", "target": "a01",
        "generation": 65_536, "gateway": "h1",
    })
}
