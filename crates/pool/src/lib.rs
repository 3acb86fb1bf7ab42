//! Bounded pools of HTTP/1.1 connections.
//!
//! A [`Pool`] does not depend on what is sent on its connections. Its user returns a connection
//! only after the last response on it was read completely. The bytes that are read for one answer
//! are limited, because a server in trouble may send without end.

mod allowance;
mod answer;
mod head_limits;
mod pool;
mod sender;

pub use answer::{AnswerError, AnswerLimits, is_final};
pub use head_limits::{MAX_ANSWER_HEADERS, MAX_HEAD_BYTES, MAX_HEADER_LIST_BYTES, max_headers};
pub use pool::{ConnectError, Freshness, Pool};
pub use sender::Sender;
