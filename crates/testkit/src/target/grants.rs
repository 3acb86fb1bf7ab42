//! Grants of a target that checks them.

use ownership::{
    Fence, GrantOrder, GrantState, HeldSlice, Millis, Renewal, RenewalReply, RequestFence,
};

/// A request's stamp with the hash of its key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Order {
    /// The stamp.
    pub stamp: RequestFence,
    /// The hash of the key.
    pub hash: u64,
}

/// The fence of a target, and what it means for requests that run already.
#[derive(Clone, Debug)]
pub struct Grants {
    fence: Fence,
    until: Millis,
}

impl Grants {
    /// Creates the state of a target that holds nothing.
    #[must_use]
    pub fn new(incarnation: u64) -> Self {
        Self {
            fence: Fence::new(incarnation),
            until: 0,
        }
    }

    /// Applies a grant at time `now`.
    ///
    /// # Errors
    ///
    /// Returns the unchanged state if the grant is fenced.
    pub fn apply(&mut self, now: Millis, order: &GrantOrder) -> Result<GrantState, GrantState> {
        let state = self.fence.order(now, order)?;
        self.until = self.until.max(order.until);
        Ok(state)
    }

    /// Applies a renewal at time `now`.
    ///
    /// # Errors
    ///
    /// Returns the unchanged state if the renewal is fenced.
    pub fn renew(&mut self, now: Millis, renewal: &Renewal) -> Result<RenewalReply, GrantState> {
        let renewed = self.fence.renew(now, renewal)?;
        self.until = self.until.max(renewal.until);
        Ok(renewed)
    }

    /// What the target holds at time `now`.
    #[must_use]
    pub fn state(&self, now: Millis) -> GrantState {
        self.fence.state(now)
    }

    /// Whether a request may start at time `now`.
    #[must_use]
    pub fn admits(&self, now: Millis, service: &str, order: &Order) -> bool {
        self.fence.admits(now, &order.stamp, service, order.hash)
    }

    /// Whether a running request may go on at time `now`.
    ///
    /// A gateway waits for its own requests before it gives a slice away, but does not know the
    /// requests of an earlier gateway: those end with the slice.
    #[must_use]
    pub fn keeps(&self, now: Millis, service: &str, order: &Order) -> bool {
        let state = self.fence.state(now);
        let generation = order.stamp.generation;
        let holds =
            |it: &HeldSlice| contains(it, service, order.hash) && it.generation == generation;
        now < self.until && (order.stamp.epoch == state.epoch || state.held.iter().any(holds))
    }

    /// Expiry of all grants on the target's clock, in milliseconds.
    #[must_use]
    pub fn until(&self) -> Millis {
        self.until
    }

    /// The lowest hash of the slice held at time `now` that contains `hash`.
    #[must_use]
    pub fn low(&self, now: Millis, service: &str, hash: u64) -> Option<u64> {
        let held = self.fence.state(now).held;
        held.iter()
            .find(|it| contains(it, service, hash))
            .map(|it| it.low)
    }
}

fn contains(slice: &HeldSlice, service: &str, hash: u64) -> bool {
    *slice.service == *service && (slice.low..=slice.high).contains(&hash)
}
