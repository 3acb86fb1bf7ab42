//! The body of a refusal.

use serde::{Deserialize, Serialize};

use crate::{Ran, Reason};

/// A refusal as it is sent to the caller, in JSON.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// Whether the request may have run.
    pub ran: Ran,
    /// Milliseconds that the caller should wait before a retry; `None` if no retry is suggested.
    #[serde(rename = "retry_after_ms", skip_serializing_if = "Option::is_none")]
    pub retry_ms: Option<u64>,
}

impl Refusal {
    /// Creates the refusal for `reason` with the defaults of the reason for `ran` and `retry_ms`.
    #[must_use]
    pub fn new(reason: Reason) -> Self {
        Self {
            reason,
            ran: reason.ran(),
            retry_ms: reason.retry_ms(),
        }
    }

    /// Replaces the milliseconds that the caller should wait before a retry.
    #[must_use]
    pub fn with_retry(mut self, retry_ms: u64) -> Self {
        self.retry_ms = Some(retry_ms);
        self
    }
}

impl From<Reason> for Refusal {
    fn from(reason: Reason) -> Self {
        Self::new(reason)
    }
}
