//! Free ports outside the range from which the system takes those of outgoing connections.

use std::{
    io,
    net::TcpListener,
    process,
    sync::atomic::{AtomicU32, Ordering},
};

const FIRST: u32 = 12_000;
const COUNT: u32 = 18_000;

/// Number of ports that were tried.
static TRIED: AtomicU32 = AtomicU32::new(0);

/// Binds a free port of the loopback address.
pub fn bind() -> io::Result<TcpListener> {
    for _ in 0..COUNT {
        let offset = process::id() * 97 + TRIED.fetch_add(1, Ordering::Relaxed);
        let port = u16::try_from(FIRST + offset % COUNT).expect("the range has 16 bits");
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return Ok(listener);
        }
    }
    Err(io::ErrorKind::AddrNotAvailable.into())
}
