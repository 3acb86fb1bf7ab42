//! Test fixtures: an HTTP server with one fixed answer, and hosts without a deployment.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use bytes::Bytes;
use http::{HeaderMap, Method, Response, StatusCode, uri::PathAndQuery};
use http_body_util::Full;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use ownership::{
    Action, Checks, CommitOutcome, DataCentreState, Gateway, Intent, ListChange, Policy, Slice,
    TargetId, TargetRow, Verdict, VoteReply,
};
use tokio::net::TcpListener;

use crate::{
    gateway_target::GatewayTarget,
    host::Host,
    inbound::{Execution, Hop, Inbound},
    settings::Settings,
    view::View,
};

const DOCUMENT: &str = include_str!("../../../examples/cavallucci.yaml");

/// A server that gives the same answer to every request.
pub struct FixedServer {
    /// Address of the server.
    pub address: SocketAddr,
    answer: Arc<Mutex<(u16, Bytes)>>,
}

impl FixedServer {
    /// Starts the server.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let answer = Arc::new(Mutex::new((500, Bytes::new())));
        let shared_answer = Arc::clone(&answer);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let shared_answer = Arc::clone(&shared_answer);
                let service = service_fn(move |_| {
                    let (status, body) = shared_answer.lock().unwrap().clone();
                    let mut response = Response::new(Full::new(body));
                    *response.status_mut() = StatusCode::from_u16(status).unwrap();
                    async move { Ok::<_, std::convert::Infallible>(response) }
                });
                let connection = http1::Builder::new();
                tokio::spawn(connection.serve_connection(TokioIo::new(stream), service));
            }
        });
        Self { address, answer }
    }

    /// Sets the answer.
    pub fn set(&self, status: u16, body: impl Into<Bytes>) {
        *self.answer.lock().unwrap() = (status, body.into());
    }
}

/// A host that uses the platform at `platform`.
pub fn host(platform: SocketAddr) -> Arc<Host> {
    let free_address = || {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.local_addr().unwrap()
    };
    Arc::new(Host::new(Settings {
        host: Arc::from("h1"),
        data_centre: Arc::from("catania"),
        data: free_address(),
        peer: free_address(),
        operators: free_address(),
        platform,
        platform_timeout_ms: 5_000,
        drain_ms: 1_000,
        seeds: Vec::new(),
    }))
}

/// The document in force in the tests.
pub fn view() -> View {
    View::new(1, document::parse(DOCUMENT).unwrap())
}

/// A target of `workshop` at `address`, which checks no grants. The host has tenure from now on,
/// and the target owns all keys.
pub fn gateway_target(host: &Host, address: SocketAddr) -> Arc<GatewayTarget> {
    let view = view();
    let now = host.clock.now();
    let service = view.service("workshop").unwrap();
    let target = &service.targets[0];
    let id = TargetId::new("workshop", &target.name);
    let own = Arc::clone(&host.settings.host);
    let policy = Policy {
        checks: Checks::Nothing,
        deadline_ms: service.deadline_ms,
        hold_ms: 60_000,
        data_centre: DataCentreState::Live,
    };
    let mut gateway = Gateway::new(Arc::clone(&own), 1, id.clone(), policy);
    let row = TargetRow {
        gateway: Arc::clone(&own),
        epoch: 1,
        voters: [own, Arc::from("h2"), Arc::from("h3")].into(),
        change: ListChange::Settled,
    };
    gateway.on_row(now, 1, &row);
    gateway.on_contact(now);
    let mut sent = now;
    while !gateway
        .tick(sent)
        .iter()
        .any(|it| matches!(it, Action::Vote(_)))
    {
        sent += 1;
    }
    for voter in ["h1", "h2"] {
        let reply = VoteReply {
            verdict: Verdict::Granted,
            contact: Some(0),
        };
        gateway.on_vote(sent, voter, sent, &reply);
    }
    let actions = gateway.tick(sent);
    assert!(
        actions
            .iter()
            .any(|it| matches!(it, Action::Commit(Intent::Record { .. })))
    );
    gateway.on_commit(sent, CommitOutcome::Applied { rev: 2 });
    let slice = Slice {
        low: 0,
        high: u64::MAX,
        target: Arc::clone(&target.name),
        generation: 1,
    };
    gateway.on_slices(sent, vec![(1, slice)], Some(sent + 1));
    Arc::new(GatewayTarget::new(id, address, gateway, service, target))
}

/// An idempotent request to `workshop`, with its deadline in `deadline_ms`.
pub fn inbound(host: &Host, deadline_ms: u64) -> Inbound {
    let view = Arc::new(view());
    let now = host.clock.now();
    let service = view.document.services.iter();
    let service = service.map(|it| &*it.name).position(|it| it == "workshop");
    Inbound {
        service: service.unwrap(),
        view,
        hash: 7,
        method: Method::GET,
        path: PathAndQuery::from_static("/workshop/a"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        arrived: now,
        deadline: now + deadline_ms,
        execution: Execution::Idempotent,
        caller: 0,
        hop: Hop::First,
        region: None,
        id: Arc::from("1"),
        fingerprint: 1,
    }
}
