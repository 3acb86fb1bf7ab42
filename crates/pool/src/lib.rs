//! Bounded pools of HTTP/1.1 connections.
//!
//! A [`Pool`] does not depend on what is sent on its connections. Its user returns a connection
//! only after the last response on it was read completely. The bytes that are read for one answer
//! are limited, because a server in trouble may send without end.

mod allowance;
mod answer;
mod pool;
mod sender;

pub use answer::{AnswerError, AnswerLimits};
pub use pool::{ConnectError, Freshness, Pool};
pub use sender::Sender;
