//! Bounded pools of HTTP/1.1 connections.
//!
//! A [`Pool`] knows nothing of what is sent on its connections; its user returns a connection only
//! when the last answer on it was read to its end.

mod pool;

pub use pool::{ConnectError, Freshness, Pool, Sender};
