//! Whether a target may be sent a request now.

use coordinator::Millis;

/// Longest time between the decision to send a request and its arrival at the target, on a host with
/// little processor time.
const SEND_MARGIN_MS: Millis = 300;

/// Time without a sign that a target serves after which it is asked, given the time for which a
/// leaving target serves.
pub fn checked_after_ms(drain_ms: Millis) -> Millis {
    drain_ms - SEND_MARGIN_MS.min(drain_ms / 2)
}

/// What a gateway knows of a target at the moment of sending.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Standing {
    /// It is known to serve, or began to leave so recently that it still does.
    Serving,
    /// It may have left too long ago.
    Unknown,
    /// It leaves, or another incarnation has taken its place.
    Left,
}

impl Standing {
    /// The standing at `now` of a target that was known at `known` not to leave, if ever, and serves
    /// for `drain_ms` when it does.
    pub(super) fn of_serving(known: Option<Millis>, now: Millis, drain_ms: Millis) -> Self {
        match known {
            Some(known) if now < known + checked_after_ms(drain_ms) => Self::Serving,
            Some(_) | None => Self::Unknown,
        }
    }
}

#[cfg(test)]
mod tests;
