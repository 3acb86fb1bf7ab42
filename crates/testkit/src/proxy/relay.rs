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

/// Bytes in one read.
const READ_BYTES: usize = 16 << 10;

/// Reads that wait for their delay; beyond that, the sender is slowed down.
const QUEUED_READS: usize = 256;

/// Relays until both directions have ended or a rule closes the connection.
pub(super) async fn relay(shared: &Shared, number: u64, near: TcpStream, far: TcpStream) {
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let up = Lane::new(shared, number, Direction::Up);
    let down = Lane::new(shared, number, Direction::Down);
    let mut rules = shared.rules.subscribe();
    tokio::select! {
        _ = rules.wait_for(|rule| rule.cuts(number)) => {}
        // An error means that the connection closes at once; an end of one direction alone does not.
        _ = async { tokio::try_join!(up.run(near_read, far_write), down.run(far_read, near_write)) } => {}
    }
}

/// The connection has to close.
struct Broken;

/// One direction of a connection.
struct Lane<'a> {
    shared: &'a Shared,
    number: u64,
    direction: Direction,
    rules: watch::Receiver<Rule>,
}

impl<'a> Lane<'a> {
    fn new(shared: &'a Shared, number: u64, direction: Direction) -> Self {
        Self {
            shared,
            number,
            direction,
            rules: shared.rules.subscribe(),
        }
    }

    async fn run(self, reader: OwnedReadHalf, writer: OwnedWriteHalf) -> Result<(), Broken> {
        let (sender, receiver) = mpsc::channel(QUEUED_READS);
        let ((), ()) = tokio::try_join!(read(reader, sender), self.write(writer, receiver))?;
        Ok(())
    }

    async fn write(
        mut self,
        mut writer: OwnedWriteHalf,
        mut reads: mpsc::Receiver<(Instant, Bytes)>,
    ) -> Result<(), Broken> {
        // Bytes passed under the present truncation.
        let mut passed = 0;
        while let Some((at, mut bytes)) = reads.recv().await {
            if self.rules.has_changed().unwrap_or(false) {
                self.rules.mark_unchanged();
                passed = 0;
            }
            let (number, direction) = (self.number, self.direction);
            // The sender lives as long as the connection, so the wait cannot fail.
            let flows = |rule: &Rule| rule.mode_for(number, direction) != Mode::Hold;
            let _ = self.rules.wait_for(flows).await;
            let rule = *self.rules.borrow();
            let mode = rule.mode_for(number, direction);
            match mode {
                Mode::Partition | Mode::Silent => continue,
                Mode::Delay => {
                    tokio::time::sleep_until(at + Duration::from_millis(rule.delay_ms)).await;
                }
                Mode::Throttle => {
                    let nanos = bytes.len() as u64 * 1_000_000_000 / rule.bytes_s.max(1);
                    tokio::time::sleep(Duration::from_nanos(nanos)).await;
                }
                Mode::Truncate => {
                    let left = usize::try_from(rule.after_bytes.saturating_sub(passed));
                    bytes.truncate(left.unwrap_or(usize::MAX));
                }
                Mode::Repeat => bytes = [&*bytes, &*bytes].concat().into(),
                Mode::Pass | Mode::Cut | Mode::Refuse | Mode::Hold => {}
            }
            passed += bytes.len() as u64;
            writer.write_all(&bytes).await.map_err(|_| Broken)?;
            self.counter()
                .fetch_add(bytes.len() as u64, Ordering::Relaxed);
            if mode == Mode::Truncate && passed >= rule.after_bytes {
                return Err(Broken);
            }
        }
        // A silent connection does not show that the other side closed it.
        let (number, direction) = (self.number, self.direction);
        let _ = self
            .rules
            .wait_for(|rule| {
                let mode = rule.mode_for(number, direction);
                !matches!(mode, Mode::Partition | Mode::Silent | Mode::Hold)
            })
            .await;
        writer.shutdown().await.map_err(|_| Broken)
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
) -> Result<(), Broken> {
    loop {
        let mut buffer = BytesMut::with_capacity(READ_BYTES);
        match reader.read_buf(&mut buffer).await {
            Ok(0) => return Ok(()),
            Ok(_) => {}
            Err(_) => return Err(Broken),
        }
        if reads.send((Instant::now(), buffer.freeze())).await.is_err() {
            return Ok(());
        }
    }
}
