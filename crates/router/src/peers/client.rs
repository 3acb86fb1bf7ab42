//! Connections for control messages.

use std::{io, net::SocketAddr, time::Duration};

use peer::Codec;
use tarpc::{client, serde_transport, tokio_util::codec::LengthDelimitedCodec};
use tokio::net::TcpStream;

use super::CoordinationClient;

/// Maximum size of a message in bytes; large enough for the full state of a large deployment.
pub(super) const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Connects to the host that accepts control messages at `address`.
///
/// # Errors
///
/// Fails if the host cannot be reached within `limit`.
pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<CoordinationClient> {
    let stream = tokio::time::timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_framed(stream);
    let transport = serde_transport::new(framed, Codec);
    Ok(CoordinationClient::new(client::Config::default(), transport).spawn())
}
