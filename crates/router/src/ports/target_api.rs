//! The interface for orders to targets.

use std::{net::SocketAddr, time::Duration};

use coordinator::{GrantOutcome, Order, ReleaseOutcome};
use futures::future::BoxFuture;

/// Time after which a grant without an answer is given up.
pub const GRANT_TIMEOUT: Duration = Duration::from_millis(250);

/// The result of an order, and what its answer says besides.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderAnswer<T> {
    /// The result.
    pub outcome: T,
    /// Whether the target has said that it is about to stop.
    pub leaving: bool,
}

impl<T> OrderAnswer<T> {
    /// The result of an order whose answer says nothing else, or that was not answered.
    #[must_use]
    pub fn new(outcome: T) -> Self {
        Self {
            outcome,
            leaving: false,
        }
    }

    /// Sets whether the target has said that it is about to stop.
    #[must_use]
    pub fn with_leaving(mut self, leaving: bool) -> Self {
        self.leaving = leaving;
        self
    }
}

/// Sends the coordinator's orders to targets.
pub trait TargetApi: Send + Sync {
    /// Grants keys to the target at `address`, and gives up after [`GRANT_TIMEOUT`].
    fn grant<'a>(
        &'a self,
        address: SocketAddr,
        order: &'a Order,
    ) -> BoxFuture<'a, OrderAnswer<GrantOutcome>>;

    /// Asks the target at `address` to release keys.
    fn release<'a>(
        &'a self,
        address: SocketAddr,
        order: &'a Order,
    ) -> BoxFuture<'a, OrderAnswer<ReleaseOutcome>>;
}
