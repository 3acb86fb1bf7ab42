//! Relay of one connection's bytes.

use std::{sync::atomic::Ordering, time::Duration};

use bytes::{Bytes, BytesMut};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, watch},
    time::Instant,
};

use super::{Direction, Mode, Rule, server::Shared};

/// Maximum size of one read in bytes.
const READ_BYTES: usize = 16 << 10;

/// Maximum number of reads that wait for their delay; backpressure applies to the sender beyond
/// that.
const QUEUED_READS: usize = 256;

/// Relays until both directions have ended or a rule closes the connection.
pub(super) async fn relay(shared: &Shared, number: u64, client: TcpStream, server: TcpStream) {
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let up = RelayDirection::new(shared, number, Direction::Up);
    let down = RelayDirection::new(shared, number, Direction::Down);
    let mut rules = shared.rules.subscribe();
    tokio::select! {
        _ = rules.wait_for(|rule| rule.closes_connection(number)) => {}
        // An error closes the connection at once; the end of one direction alone does not.
        _ = async { tokio::try_join!(up.run(client_read, server_write), down.run(server_read, client_write)) } => {}
    }
}

/// Error that closes the connection in both directions.
struct CloseConnection;

/// One direction of a connection.
struct RelayDirection<'a> {
    shared: &'a Shared,
    number: u64,
    direction: Direction,
    rules: watch::Receiver<Rule>,
}

impl<'a> RelayDirection<'a> {
    fn new(shared: &'a Shared, number: u64, direction: Direction) -> Self {
        Self {
            shared,
            number,
            direction,
            rules: shared.rules.subscribe(),
        }
    }

    async fn run(
        self,
        reader: OwnedReadHalf,
        writer: OwnedWriteHalf,
    ) -> Result<(), CloseConnection> {
        let (sender, receiver) = mpsc::channel(QUEUED_READS);
        let ((), ()) = tokio::try_join!(read(reader, sender), self.write(writer, receiver))?;
        Ok(())
    }

    async fn write(
        mut self,
        mut writer: OwnedWriteHalf,
        mut reads: mpsc::Receiver<(Instant, Bytes)>,
    ) -> Result<(), CloseConnection> {
        // Bytes passed since the rule last changed.
        let mut passed = 0;
        while let Some((read_at, mut bytes)) = reads.recv().await {
            if self.rules.has_changed().unwrap_or(false) {
                self.rules.mark_unchanged();
                passed = 0;
            }
            let (number, direction) = (self.number, self.direction);
            // The sender is dropped after the connection, so the wait cannot fail.
            let delivers = |rule: &Rule| rule.mode_for(number, direction) != Mode::Hold;
            let _ = self.rules.wait_for(delivers).await;
            let rule = *self.rules.borrow();
            let mode = rule.mode_for(number, direction);
            match mode {
                Mode::Partition | Mode::Silent => continue,
                Mode::Delay => {
                    tokio::time::sleep_until(read_at + Duration::from_millis(rule.delay_ms)).await;
                }
                Mode::Throttle => {
                    let nanos = bytes.len() as u64 * 1_000_000_000 / rule.bytes_s.max(1);
                    tokio::time::sleep(Duration::from_nanos(nanos)).await;
                }
                Mode::Truncate => {
                    let remaining = usize::try_from(rule.after_bytes.saturating_sub(passed));
                    bytes.truncate(remaining.unwrap_or(usize::MAX));
                }
                Mode::Repeat => bytes = [&*bytes, &*bytes].concat().into(),
                Mode::Pass | Mode::Cut | Mode::Refuse | Mode::Hold => {}
            }
            passed += bytes.len() as u64;
            writer
                .write_all(&bytes)
                .await
                .map_err(|_| CloseConnection)?;
            self.counter()
                .fetch_add(bytes.len() as u64, Ordering::Relaxed);
            if mode == Mode::Truncate && passed >= rule.after_bytes {
                return Err(CloseConnection);
            }
        }
        // A silent connection does not forward that the other side has closed it.
        let (number, direction) = (self.number, self.direction);
        let _ = self
            .rules
            .wait_for(|rule| {
                let mode = rule.mode_for(number, direction);
                !matches!(mode, Mode::Partition | Mode::Silent | Mode::Hold)
            })
            .await;
        writer.shutdown().await.map_err(|_| CloseConnection)
    }

    fn counter(&self) -> &std::sync::atomic::AtomicU64 {
        match self.direction {
            Direction::Up => &self.shared.up,
            Direction::Down | Direction::Both => &self.shared.down,
        }
    }
}

async fn read(
    mut reader: OwnedReadHalf,
    reads: mpsc::Sender<(Instant, Bytes)>,
) -> Result<(), CloseConnection> {
    loop {
        let mut buffer = BytesMut::with_capacity(READ_BYTES);
        match reader.read_buf(&mut buffer).await {
            Ok(0) => return Ok(()),
            Ok(_) => {}
            Err(_) => return Err(CloseConnection),
        }
        if reads.send((Instant::now(), buffer.freeze())).await.is_err() {
            return Ok(());
        }
    }
}
