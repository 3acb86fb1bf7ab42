//! Connections for control messages.

use std::{io, net::SocketAddr, time::Duration};

use tarpc::client;

use crate::{Codec, PeerClient};

/// Maximum size of a control message in bytes; a full table of 100,000 slices fits.
pub const MESSAGE_LIMIT_BYTES: usize = 64 << 20;

/// Connects to the peer at `address`.
///
/// # Errors
///
/// Fails if the peer cannot be reached within `timeout`.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<PeerClient> {
    let mut transport = tarpc::serde_transport::tcp::connect(address, Codec::default);
    transport.config_mut().max_frame_length(MESSAGE_LIMIT_BYTES);
    let transport = tokio::time::timeout(timeout, transport)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    Ok(PeerClient::new(client::Config::default(), transport).spawn())
}
