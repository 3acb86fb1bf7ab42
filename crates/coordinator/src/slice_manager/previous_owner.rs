//! Previous owners of a slice.

use super::{GrantOutcome, HoldEnd, OrderId};
use crate::{FencingToken, Incarnation, Millis};

/// A previous owner that may still hold the keys.
#[derive(Clone, Debug)]
pub(super) struct PreviousOwner {
    pub(super) incarnation: Incarnation,
    /// Latest end of its hold.
    pub(super) until: Millis,
    /// The grant to it that is in flight.
    pub(super) inflight_grant: Option<OrderId>,
    /// Set while it still serves the keys because the store does not name the new owner yet.
    pub(super) interim_grant: Option<InterimGrant>,
    /// The release order to it that is in flight.
    pub(super) inflight_release: Option<OrderId>,
    /// Earliest time of the next release order.
    pub(super) retry_at: Millis,
    /// Whether it has released the keys.
    pub(super) released: bool,
}

/// Renewal of the grants of a previous owner until the store names the new one.
#[derive(Clone, Copy, Debug)]
pub(super) struct InterimGrant {
    /// Fencing token of its assignment.
    pub(super) token: FencingToken,
    /// When the next grant is due.
    pub(super) renew_at: Millis,
}

impl PreviousOwner {
    pub(super) fn new(incarnation: Incarnation, until: Millis) -> Self {
        Self {
            incarnation,
            until,
            inflight_grant: None,
            interim_grant: None,
            inflight_release: None,
            retry_at: 0,
            released: false,
        }
    }

    /// Replaces the process by one that started later under the same name. Orders name only the
    /// target, so the new process may have accepted the same grants, but no release.
    pub(super) fn replace_incarnation(&mut self, incarnation: Incarnation) {
        *self = Self {
            inflight_grant: self.inflight_grant,
            ..Self::new(incarnation, self.until)
        };
    }

    /// Returns why it cannot hold the keys any more; `None` while it may hold them.
    ///
    /// A target refuses a grant that arrives after a release with a higher fencing token, so grants
    /// that are still in flight have no effect after the release.
    pub(super) fn hold_end(&self, now: Millis) -> Option<HoldEnd> {
        if self.released {
            return Some(HoldEnd::Released);
        }
        (self.inflight_grant.is_none() && now >= self.until).then_some(HoldEnd::Expired)
    }

    /// Returns the fencing token of the grant that is due at `now`, if any.
    pub(super) fn due_grant(&self, now: Millis) -> Option<FencingToken> {
        let interim_grant = self.interim_grant?;
        (self.inflight_grant.is_none() && now >= interim_grant.renew_at)
            .then_some(interim_grant.token)
    }

    /// Whether a release order is due at `now`.
    pub(super) fn is_release_due(&self, now: Millis) -> bool {
        self.interim_grant.is_none() && self.inflight_release.is_none() && now >= self.retry_at
    }

    /// Applies the outcome of a grant to it: the next one is due at `renew_at` if it was accepted,
    /// at `retry_at` if it can be repeated, and never otherwise.
    pub(super) fn on_grant(&mut self, outcome: GrantOutcome, renew_at: Millis, retry_at: Millis) {
        self.inflight_grant = None;
        let Some(interim_grant) = &mut self.interim_grant else {
            return;
        };
        match outcome {
            GrantOutcome::Accepted => interim_grant.renew_at = renew_at,
            GrantOutcome::NotSent | GrantOutcome::NoAnswer | GrantOutcome::Refused => {
                interim_grant.renew_at = retry_at;
            }
            GrantOutcome::Gone | GrantOutcome::Superseded => self.interim_grant = None,
        }
    }
}
