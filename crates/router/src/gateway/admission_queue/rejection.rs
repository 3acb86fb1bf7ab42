//! Why a request got no slot.

use refusal::Reason;

/// The refusal of a request by an admission queue.
#[derive(Clone, Copy, Debug)]
pub struct Rejection {
    /// Why.
    pub reason: Reason,
    /// Whether the request waited before.
    pub waited: bool,
}

impl Rejection {
    pub(super) fn at_once(reason: Reason) -> Self {
        Self {
            reason,
            waited: false,
        }
    }

    pub(super) fn after_wait(reason: Reason) -> Self {
        Self {
            reason,
            waited: true,
        }
    }
}
