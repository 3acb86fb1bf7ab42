//! State of a target that checks grants.

use ownership::{
    Fence, GrantOrder, GrantState, HeldSlice, Millis, Renewal, RenewalReply, RequestFence,
};

/// The fencing values of a request with the hash of its key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeyFence {
    /// Epoch, generation and incarnation.
    pub fence: RequestFence,
    /// The hash of the key.
    pub key_hash: u64,
}

/// The fence of a target, extended by the check of running requests.
#[derive(Clone, Debug)]
pub struct Grants {
    fence: Fence,
    /// Latest expiry of all applied grants and renewals.
    expiry: Millis,
}

impl Grants {
    /// Creates the state of a target that holds no slices.
    #[must_use]
    pub fn new(incarnation: u64) -> Self {
        Self {
            fence: Fence::new(incarnation),
            expiry: 0,
        }
    }

    /// Applies a grant at time `now`.
    ///
    /// # Errors
    ///
    /// Returns the unchanged state if the grant is fenced.
    pub fn apply(&mut self, now: Millis, order: &GrantOrder) -> Result<GrantState, GrantState> {
        let state = self.fence.order(now, order)?;
        self.expiry = self.expiry.max(order.until);
        Ok(state)
    }

    /// Applies a renewal at time `now`.
    ///
    /// # Errors
    ///
    /// Returns the unchanged state if the renewal is fenced.
    pub fn renew(&mut self, now: Millis, renewal: &Renewal) -> Result<RenewalReply, GrantState> {
        let renewed = self.fence.renew(now, renewal)?;
        self.expiry = self.expiry.max(renewal.until);
        Ok(renewed)
    }

    /// The grant state at time `now`.
    #[must_use]
    pub fn state(&self, now: Millis) -> GrantState {
        self.fence.state(now)
    }

    /// Whether a request may start at time `now`.
    #[must_use]
    pub fn admits(&self, now: Millis, service: &str, request: &KeyFence) -> bool {
        self.fence
            .admits(now, &request.fence, service, request.key_hash)
    }

    /// Whether a running request may continue at time `now`.
    ///
    /// A gateway waits for its own requests before it moves a slice to another target, but does not
    /// know the requests of a previous gateway: those end when the target loses the slice.
    #[must_use]
    pub fn may_continue(&self, now: Millis, service: &str, request: &KeyFence) -> bool {
        let state = self.fence.state(now);
        let generation = request.fence.generation;
        let holds =
            |it: &HeldSlice| contains(it, service, request.key_hash) && it.generation == generation;
        now < self.expiry && (request.fence.epoch == state.epoch || state.held.iter().any(holds))
    }

    /// Time at which all grants expire, in milliseconds of the target's clock.
    #[must_use]
    pub fn expiry(&self) -> Millis {
        self.expiry
    }

    /// The lowest hash of the slice held at time `now` that contains `hash`.
    #[must_use]
    pub fn slice_low(&self, now: Millis, service: &str, hash: u64) -> Option<u64> {
        let held = self.fence.state(now).held;
        held.iter()
            .find(|it| contains(it, service, hash))
            .map(|it| it.low)
    }
}

fn contains(slice: &HeldSlice, service: &str, hash: u64) -> bool {
    *slice.service == *service && (slice.low..=slice.high).contains(&hash)
}
