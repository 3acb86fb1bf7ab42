//! The names of headers and the statuses of refusals.

use http::{HeaderName, StatusCode};
use refusal::Refusal;

/// Maps a refusal to the status that callers expect.
pub type RefusalStatus = fn(&Refusal) -> StatusCode;

/// The header names and refusal statuses of the protocol that callers and targets speak.
#[derive(Clone, Debug)]
pub struct ProtocolProfile {
    /// Identifies one attempt of a caller; the target repeats it in its answer.
    pub attempt: HeaderName,
    /// Milliseconds that the caller waits, or that the target has left.
    pub deadline: HeaderName,
    /// Name of the target that a request is meant for.
    pub target: HeaderName,
    /// The key of a request, a decimal number.
    pub key: HeaderName,
    /// Present if the target did not run the request.
    pub not_run: HeaderName,
    /// Present on every answer of a target that it made itself.
    pub seal: HeaderName,
    /// The status of a refusal.
    pub status: RefusalStatus,
}
