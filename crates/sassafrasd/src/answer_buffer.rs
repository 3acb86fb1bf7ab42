//! Buffers short answers completely before their head is passed on.
//!
//! If the connection breaks or goes silent in the middle of such an answer, the request can still
//! be retried on another connection, because the caller has received nothing.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::exchange::Failure;

/// Longest answer that is buffered.
const SHORT_ANSWER_LIMIT_BYTES: u64 = 64 * 1024;

/// The body of an answer.
pub enum AnswerBody {
    /// It is short and was buffered.
    Buffered(Bytes),
    /// It is long, or its length is unknown.
    Stream(Incoming),
}

/// Buffers the body, within the time `limit`, if its `content-length` is at most
/// [`SHORT_ANSWER_LIMIT_BYTES`].
pub async fn buffer_if_short(
    headers: &HeaderMap,
    body: Incoming,
    limit: Duration,
) -> Result<AnswerBody, Failure> {
    let length = headers
        .get(header::CONTENT_LENGTH)
        .and_then(|it| it.to_str().ok())
        .and_then(|it| it.parse::<u64>().ok());
    if length.is_none_or(|it| it > SHORT_ANSWER_LIMIT_BYTES) {
        return Ok(AnswerBody::Stream(body));
    }
    match tokio::time::timeout(limit, body.collect()).await {
        Err(_) => Err(Failure::Silent),
        Ok(Err(_)) => Err(Failure::Broken),
        Ok(Ok(body)) => Ok(AnswerBody::Buffered(body.to_bytes())),
    }
}
