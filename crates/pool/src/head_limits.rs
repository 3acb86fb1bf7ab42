//! Limits of the heads of requests and answers.
//!
//! The limits of the HTTP libraries count in other units than a configuration, which limits the
//! bytes of a head: HTTP/1.1 limits the number of headers too, and HTTP/2 adds 32 bytes for each.
//! A head within the configuration's limit must pass each connection on its way, so the limits here
//! are derived from the longest head.

/// Longest head of a request that is read, whatever the configuration allows.
pub const MAX_HEAD_BYTES: usize = 256 << 10;

/// Length of the shortest header line: a name of one byte, a colon and the end of the line.
const MIN_HEADER_BYTES: usize = 4;

/// Most headers of a request. A map of headers holds at most 24,576.
const MAX_HEADERS: usize = 16_384;

/// Most headers of an answer, which no configuration limits. The HTTP library prepares memory for so
/// many headers each time it looks at a head, informational ones included.
pub const MAX_ANSWER_HEADERS: usize = 1_024;

/// Bytes that HTTP/2 counts for each header beside its name and value.
const HTTP2_HEADER_BYTES: usize = 32;

/// Longest headers that hosts add to a request or an answer.
const ADDED_BYTES: usize = 8 << 10;

/// Longest list of headers between two hosts, as HTTP/2 counts it.
#[expect(clippy::cast_possible_truncation, reason = "less than 1 MiB")]
pub const MAX_HEADER_LIST_BYTES: u32 =
    (MAX_HEAD_BYTES + MAX_HEADERS * HTTP2_HEADER_BYTES + ADDED_BYTES) as u32;

/// Returns the most headers that a head of `head_bytes` can have, at most 16,384.
#[must_use]
pub fn max_headers(head_bytes: usize) -> usize {
    (head_bytes / MIN_HEADER_BYTES).clamp(1, MAX_HEADERS)
}
