//! Accepts connections.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept, for example when all file descriptors are in use.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Accepts the next connection, with Nagle's algorithm disabled so that small messages are sent at
/// once. `remote` describes the other side in log lines.
pub async fn accept(listener: &TcpListener, remote: &str) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(err) = stream.set_nodelay(true) {
                    log::debug!("TCP_NODELAY cannot be set: {err}");
                }
                return stream;
            }
            Err(err) => {
                log::warn!("a connection of {remote} cannot be accepted: {err}");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}
