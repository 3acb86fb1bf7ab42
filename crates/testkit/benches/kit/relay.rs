//! TCP relay inside the bench process that counts bytes and messages.

use std::{
    net::SocketAddr,
    ops::{AddAssign, Sub},
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
};

/// Maximum size of one read in bytes.
const READ_BYTES: usize = 64 << 10;

/// Counts of bytes and messages. Small messages are written one by one, so that the number of reads
/// approximates the number of messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Bytes from the connecting side.
    pub up: u64,
    /// Bytes towards the connecting side.
    pub down: u64,
    /// Reads in both directions.
    pub messages: u64,
}

impl Traffic {
    /// Bytes in both directions.
    pub fn bytes(self) -> u64 {
        self.up + self.down
    }
}

impl AddAssign for Traffic {
    fn add_assign(&mut self, rhs: Self) {
        self.up += rhs.up;
        self.down += rhs.down;
        self.messages += rhs.messages;
    }
}

impl Sub for Traffic {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        Self {
            up: self.up - rhs.up,
            down: self.down - rhs.down,
            messages: self.messages - rhs.messages,
        }
    }
}

/// One relayed connection.
#[derive(Debug, Default)]
pub struct Link {
    /// Port of the connecting side.
    pub port: u16,
    /// Start of the first message.
    head: OnceLock<Vec<u8>>,
    up: AtomicU64,
    down: AtomicU64,
    messages: AtomicU64,
}

impl Link {
    /// The traffic so far.
    pub fn traffic(&self) -> Traffic {
        Traffic {
            up: self.up.load(Ordering::Relaxed),
            down: self.down.load(Ordering::Relaxed),
            messages: self.messages.load(Ordering::Relaxed),
        }
    }

    /// Whether the first line of the connection's first message contains `text`.
    pub fn first_line_contains(&self, text: &str) -> bool {
        let head = self.head.get().map_or(&[][..], Vec::as_slice);
        let line = head.split(|it| *it == b'\r').next().unwrap_or_default();
        line.windows(text.len()).any(|it| it == text.as_bytes())
    }
}

/// A relay to one address.
#[derive(Debug)]
pub struct Relay {
    /// The address on which the relay accepts connections.
    pub address: SocketAddr,
    links: Arc<Mutex<Vec<Arc<Link>>>>,
}

impl Relay {
    /// Starts a relay to `to`; it runs until the bench ends.
    pub async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a free port is available");
        let address = listener
            .local_addr()
            .expect("bound listener has an address");
        let links = Arc::default();
        let relay = Self { address, links };
        let links = Arc::clone(&relay.links);
        tokio::spawn(async move {
            while let Ok((client, from)) = listener.accept().await {
                let link = Arc::new(Link {
                    port: from.port(),
                    ..Link::default()
                });
                let mut all = links.lock().expect("lock is not poisoned");
                all.push(Arc::clone(&link));
                drop(all);
                tokio::spawn(async move {
                    let Ok(server) = TcpStream::connect(to).await else {
                        return;
                    };
                    let _ = client.set_nodelay(true);
                    let _ = server.set_nodelay(true);
                    let (client_read, client_write) = client.into_split();
                    let (server_read, server_write) = server.into_split();
                    tokio::join!(
                        copy(&link, &link.up, client_read, server_write),
                        copy(&link, &link.down, server_read, client_write)
                    );
                });
            }
        });
        relay
    }

    /// All connections accepted so far.
    pub fn links(&self) -> Vec<Arc<Link>> {
        self.links.lock().expect("lock is not poisoned").clone()
    }
}

async fn copy(link: &Link, bytes: &AtomicU64, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
    let mut buffer = vec![0; READ_BYTES];
    while let Ok(len) = from.read(&mut buffer).await {
        if len == 0 {
            break;
        }
        link.head.get_or_init(|| buffer[..len.min(64)].to_vec());
        bytes.fetch_add(len as u64, Ordering::Relaxed);
        link.messages.fetch_add(1, Ordering::Relaxed);
        if to.write_all(&buffer[..len]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
