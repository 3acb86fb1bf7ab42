//! HTTP server for requests of callers and other hosts.

use std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration};

use http::{Request, Response};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful::GracefulShutdown},
};
use pool::MAX_HEADER_LIST_BYTES;
use refusal::Reason;
use tokio::net::{TcpListener, TcpStream};

use crate::{
    body::{Body, refuse},
    forward::MAX_FRAME_BYTES,
    host::Host,
    inbound::{Hop, Inbound},
    route,
};

/// Longest time to receive the head of an HTTP/1.1 request, and longest idle time of an HTTP/1.1
/// connection.
const HEAD_TIMEOUT: Duration = Duration::from_mins(1);

/// HTTP/2 window of one request body.
const STREAM_WINDOW_BYTES: u32 = 1024 * 1024;

/// Pause after a failed accept, for example when no file descriptor is free.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Binds the listener.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Serves requests until `stop` resolves, then waits up to `drain_ms` for the requests in flight.
pub async fn run(host: Arc<Host>, listener: TcpListener, stop: impl Future<Output = ()>) {
    let graceful = GracefulShutdown::new();
    let mut stop = std::pin::pin!(stop);
    loop {
        let accepted = tokio::select! {
            () = &mut stop => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, remote)) => serve(&host, &graceful, stream, remote),
            Err(err) => {
                log::warn!("a connection cannot be accepted: {err}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    let limit = host.begin_drain();
    if tokio::time::timeout(limit, graceful.shutdown())
        .await
        .is_err()
    {
        log::warn!(
            "requests in flight did not end within drain_ms; stopping without waiting for them"
        );
    }
}

fn serve(host: &Arc<Host>, graceful: &GracefulShutdown, stream: TcpStream, remote: SocketAddr) {
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!("TCP_NODELAY cannot be set: {err}");
    }
    let host = Arc::clone(host);
    let service = service_fn(move |request| {
        let host = Arc::clone(&host);
        async move { Ok::<_, Infallible>(answer(&host, request, remote).await) }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT);
    builder
        .http2()
        .timer(TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .max_frame_size(MAX_FRAME_BYTES)
        .max_concurrent_streams(4_096)
        .max_header_list_size(MAX_HEADER_LIST_BYTES);
    let connection = builder
        .serve_connection(TokioIo::new(stream), service)
        .into_owned();
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(err) = connection.await {
            log::debug!("connection of {remote} ended: {err}");
        }
    });
}

async fn answer(
    host: &Arc<Host>,
    request: Request<Incoming>,
    remote: SocketAddr,
) -> Response<Body> {
    let view = host.view.load_full().filter(|_| host.is_ready());
    let Some(view) = view else {
        host.metrics.refusal(Reason::NotReady);
        return refuse(&Reason::NotReady.into());
    };
    let inbound = match Inbound::read(request, remote, view, &host.clock).await {
        Ok(inbound) => inbound,
        Err(reason) => {
            host.metrics.refusal(reason);
            return refuse(&reason.into());
        }
    };
    let result = if host.may_end_before(inbound.deadline) {
        Err(Reason::Stopping.into())
    } else {
        route::run(host, &inbound).await
    };
    if inbound.hop == Hop::First {
        let took_ms = host.clock.now().saturating_sub(inbound.arrived);
        #[expect(
            clippy::cast_precision_loss,
            reason = "a request takes far less than 2^52 ms"
        )]
        host.metrics
            .request(&inbound.service().name, took_ms as f64);
    }
    match result {
        Ok(response) => response,
        Err(refusal) => {
            if inbound.hop == Hop::First {
                host.metrics.refusal(refusal.reason);
            }
            refuse(&refusal)
        }
    }
}
