//! The port for requests of callers.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use tokio::{net::TcpListener, sync::watch, task::JoinSet};

use super::connection;
use crate::{accept::accept, node::Node};

/// Body of an answer to a caller.
pub type Body = Full<Bytes>;

/// Serves requests until `stop` resolves; then waits for the requests in flight, at most until the
/// end of the grace period.
pub async fn serve(node: Arc<Node>, listener: TcpListener, stop: impl Future<Output = ()>) {
    let closing = watch::Sender::new(false);
    let mut connections = JoinSet::new();
    let mut stop = std::pin::pin!(stop);
    loop {
        let stream = tokio::select! {
            () = &mut stop => break,
            stream = accept(&listener, "a caller") => stream,
            Some(_) = connections.join_next() => continue,
        };
        let closing = closing.subscribe();
        connections.spawn(connection::serve(Arc::clone(&node), stream, closing));
    }
    drop(listener);
    closing.send_replace(true);
    let ended = async { while connections.join_next().await.is_some() {} };
    let limit = node.stop().run_left(node.clock.now());
    if tokio::time::timeout(limit, ended).await.is_err() {
        log::warn!("answers were not sent within the grace period; their connections are closed");
    }
}
