//! The port for requests of callers.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use tokio::{net::TcpListener, sync::watch, task::JoinSet};

use super::connection;
use crate::node::Node;

/// Pause after a failed accept, for example when all file descriptors are in use.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Body of an answer to a caller.
pub type Body = Full<Bytes>;

/// Serves requests until `stop` resolves; then lets the requests that have begun end, for at most
/// `limit`.
pub async fn serve(
    node: Arc<Node>,
    listener: TcpListener,
    stop: impl Future<Output = ()>,
    limit: Duration,
) {
    let closing = watch::Sender::new(false);
    let mut connections = JoinSet::new();
    let mut stop = std::pin::pin!(stop);
    loop {
        let accepted = tokio::select! {
            () = &mut stop => break,
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        match accepted {
            Ok((stream, _)) => {
                if let Err(err) = stream.set_nodelay(true) {
                    log::debug!("TCP_NODELAY cannot be set: {err}");
                }
                let closing = closing.subscribe();
                connections.spawn(connection::serve(Arc::clone(&node), stream, closing));
            }
            Err(err) => {
                log::warn!("a connection of a caller cannot be accepted: {err}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    closing.send_replace(true);
    let ended = async { while connections.join_next().await.is_some() {} };
    if tokio::time::timeout(limit, ended).await.is_err() {
        log::warn!("requests in flight did not end in time");
    }
}
