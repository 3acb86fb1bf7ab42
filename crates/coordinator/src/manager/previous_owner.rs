//! Owners of before.

use super::{GrantOutcome, OrderId};
use crate::{FencingToken, Incarnation, Millis};

/// An owner of before that may still hold the keys.
#[derive(Clone, Debug)]
pub(super) struct Earlier {
    pub(super) incarnation: Incarnation,
    /// The latest end of its hold.
    pub(super) until: Millis,
    /// Its grant that is under way.
    pub(super) grant: Option<OrderId>,
    /// It still serves the keys, because the store does not name the next owner yet.
    pub(super) tenancy: Option<Tenancy>,
    /// The release that is under way.
    pub(super) release: Option<OrderId>,
    /// When the release may be repeated.
    pub(super) retry_at: Millis,
    /// It has released the keys.
    pub(super) released: bool,
}

/// How an owner of before keeps its keys until the store names the next one.
#[derive(Clone, Copy, Debug)]
pub(super) struct Tenancy {
    /// The token under which it owned the keys.
    pub(super) token: FencingToken,
    /// When it is granted them again.
    pub(super) renew_at: Millis,
}

impl Earlier {
    pub(super) fn new(incarnation: Incarnation, until: Millis) -> Self {
        Self {
            incarnation,
            until,
            grant: None,
            tenancy: None,
            release: None,
            retry_at: 0,
            released: false,
        }
    }

    /// A target refuses a grant that it receives after a release with a higher fencing token, so
    /// nothing that is still under way counts after the release.
    pub(super) fn is_clear(&self, now: Millis) -> bool {
        self.released || self.grant.is_none() && now >= self.until
    }

    /// The token of a grant that is due at `now`.
    pub(super) fn due(&self, now: Millis) -> Option<FencingToken> {
        let tenancy = self.tenancy?;
        (self.grant.is_none() && now >= tenancy.renew_at).then_some(tenancy.token)
    }

    /// Whether it is to be told to release the keys at `now`.
    pub(super) fn is_release_due(&self, now: Millis) -> bool {
        self.tenancy.is_none() && self.release.is_none() && now >= self.retry_at
    }

    /// Notes how its grant ended; one that was accepted is followed by another at `renew_at`.
    pub(super) fn on_grant(&mut self, end: GrantOutcome, renew_at: Millis, retry_at: Millis) {
        self.grant = None;
        let Some(tenancy) = &mut self.tenancy else {
            return;
        };
        match end {
            GrantOutcome::Accepted => tenancy.renew_at = renew_at,
            GrantOutcome::NotSent | GrantOutcome::NoAnswer | GrantOutcome::Refused => {
                tenancy.renew_at = retry_at;
            }
            GrantOutcome::TargetGone | GrantOutcome::Superseded => self.tenancy = None,
        }
    }
}
