//! Header names and refusal statuses of the protocol.

use admission::ReportedLoad;
use coordinator::Millis;
use http::{HeaderMap, HeaderName, StatusCode};
use refusal::Refusal;

/// Maps a refusal to its HTTP status.
pub type RefusalStatus = fn(&Refusal) -> StatusCode;

/// Returns whether the headers of an answer say that the named target, which it was expected from,
/// is about to stop.
pub type LeavingSign = fn(&HeaderMap, &str) -> bool;

/// Returns whether an answer could be one of a target that is about to stop.
pub type DepartureHint = fn(&HeaderMap) -> bool;

/// Returns whether an answer to a health check says that the named target serves and is not about to
/// stop.
pub type HealthSign = fn(StatusCode, &HeaderMap, &str) -> bool;

/// Reads the load that the target states in an answer; `None` if it states none that is readable.
pub type LoadReading = fn(&HeaderMap) -> Option<ReportedLoad>;

/// Returns the remaining time in milliseconds for which a target is cold, from the headers of its answer
/// to a health check; `None` if it cannot be read.
pub type ColdTime = fn(&HeaderMap) -> Option<Millis>;

/// The header names and refusal statuses of the protocol that callers and targets speak.
#[derive(Clone, Debug)]
pub struct ProtocolProfile {
    /// Identifies one attempt of a caller; the target echoes it in its answer.
    pub attempt: HeaderName,
    /// Timeout of the caller, or time that is left for the target, in milliseconds.
    pub deadline: HeaderName,
    /// Name of the target that a request is meant for.
    pub target: HeaderName,
    /// The key of a request, a decimal number.
    pub key: HeaderName,
    /// Present if the target did not run the request.
    pub not_run: HeaderName,
    /// Present on every answer that the target itself generated.
    pub seal: HeaderName,
    /// Reads from an answer whether its target is about to stop.
    pub leaving: LeavingSign,
    /// Reads from an answer whether its target may be about to stop.
    pub may_leave: DepartureHint,
    /// Reads the load of a target from its answer.
    pub load: LoadReading,
    /// Reads the answer to a health check.
    pub healthy: HealthSign,
    /// Reads from the answer to a health check how long the target stays cold.
    pub cold_time: ColdTime,
    /// Maps a refusal to its HTTP status.
    pub status: RefusalStatus,
}
