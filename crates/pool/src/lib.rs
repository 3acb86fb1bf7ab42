//! Bounded pools of HTTP/1.1 connections.
//!
//! A [`Pool`] does not depend on what is sent on its connections. Its user returns a connection
//! only after the last response on it was read completely.

mod pool;

pub use pool::{ConnectError, Freshness, Pool, Sender};
