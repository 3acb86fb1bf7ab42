//! The HTTP endpoints for readiness and metrics.

use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use routing::Repeat;
use tokio::net::TcpListener;

use crate::{accept::accept, node::Node};

/// Serves the operators' port; never returns.
pub async fn run(node: Arc<Node>, listener: TcpListener) {
    loop {
        let stream = accept(&listener, "an operator").await;
        let node = Arc::clone(&node);
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let answer = answer(&node, &request);
                async move { Ok::<_, Infallible>(answer) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service);
            if let Err(err) = connection.await {
                log::debug!("a connection of an operator ended: {err}");
            }
        });
    }
}

fn answer(node: &Node, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    if request.uri().path() == "/metrics" {
        node.metrics.leaving_targets(node.targets().leaving_count());
        node.metrics.paused_targets(node.queues.paused_targets());
        node.metrics.cold_targets(node.queues.cold_targets());
        node.metrics
            .evacuated_places(node.evacuations().active_count());
        node.metrics.unknown_kinds(unknown_kinds(node));
        return Response::new(Full::new(node.metrics.render().into()));
    }
    let (status, text) = match request.uri().path() {
        "/healthz" => (StatusCode::OK, "running\n"),
        "/readyz" if node.is_ready() => (StatusCode::OK, "ready\n"),
        "/readyz" => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        _ => (StatusCode::NOT_FOUND, "not found\n"),
    };
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

fn unknown_kinds(node: &Node) -> usize {
    let catalog = node.catalog.load();
    let routes = catalog.iter().flat_map(|it| it.routes());
    routes.filter(|it| it.repeat == Repeat::Unknown).count()
}
