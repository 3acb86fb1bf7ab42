//! Calls to another host.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use displaydoc::Display;
use peer::Codec;
use tarpc::{
    client::{self, RpcError},
    context::{self, Context},
    serde_transport,
    tokio_util::codec::LengthDelimitedCodec,
};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio_util::io::InspectReader;

use super::{CatalogAnswer, CatalogQuery, CoordinationClient, Report, ReportReply};

/// Maximum size of a message in bytes; large enough for the full state of a large deployment.
pub(super) const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Longest time without a byte of an answer that is arriving.
const ANSWER_PAUSE: Duration = Duration::from_millis(400);

/// Longest time for an answer to arrive, from the call. A coordinator with a link of 20 Mbit/s takes
/// 14 s to send its state to 200 hosts.
const MAX_ANSWER_TIME: Duration = Duration::from_mins(1);

/// A connection to another host.
///
/// A call fails if its answer does not begin in time, or stops arriving. It does not fail because
/// the answer takes long: the next answer would take as long, and what has been transferred would
/// be lost.
pub struct PeerClient {
    calls: CoordinationClient,
    /// Bytes received on the connection.
    received: Arc<AtomicU64>,
}

/// Why a call has no answer.
#[derive(Debug, Display, Error)]
pub enum PeerError {
    /// the answer did not begin in time or stopped arriving
    Timeout,
    /// {0}
    Call(#[from] RpcError),
}

impl PeerClient {
    /// Connects to the host that accepts control messages at `address`.
    ///
    /// # Errors
    ///
    /// Fails if the host cannot be reached within `limit`.
    pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = tokio::time::timeout(limit, TcpStream::connect(address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let received = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&received);
        let stream = InspectReader::new(stream, move |bytes: &[u8]| {
            counter.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        });
        let framed = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_MESSAGE_BYTES)
            .new_framed(stream);
        let transport = serde_transport::new(framed, Codec);
        let calls = CoordinationClient::new(client::Config::default(), transport).spawn();
        Ok(Self { calls, received })
    }

    /// Reports to the host; the answer must begin within `limit`.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer in time or the connection fails.
    pub async fn sync(&self, report: Report, limit: Duration) -> Result<ReportReply, PeerError> {
        let call = Box::pin(self.calls.sync(long_context(), report));
        self.answer(call, limit).await
    }

    /// Asks the host for the configuration; the answer must begin within `limit`.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer in time or the connection fails.
    pub async fn catalog(
        &self,
        query: CatalogQuery,
        limit: Duration,
    ) -> Result<CatalogAnswer, PeerError> {
        let call = Box::pin(self.calls.catalog(long_context(), query));
        self.answer(call, limit).await
    }

    async fn answer<T>(
        &self,
        mut call: impl Future<Output = Result<T, RpcError>> + Unpin,
        limit: Duration,
    ) -> Result<T, PeerError> {
        let mut received = self.received.load(Ordering::Relaxed);
        let mut limit = limit;
        loop {
            if let Ok(answer) = tokio::time::timeout(limit, &mut call).await {
                return Ok(answer?);
            }
            let now = self.received.load(Ordering::Relaxed);
            if now == received {
                return Err(PeerError::Timeout);
            }
            received = now;
            limit = ANSWER_PAUSE;
        }
    }
}

fn long_context() -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + MAX_ANSWER_TIME;
    context
}

#[cfg(test)]
mod tests;
