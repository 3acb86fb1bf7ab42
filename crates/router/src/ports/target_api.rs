//! The interface for orders to targets.

use std::{net::SocketAddr, time::Duration};

use coordinator::{GrantOutcome, Order, ReleaseOutcome};
use futures::future::BoxFuture;

/// Time after which a grant without an answer is given up.
pub const GRANT_TIMEOUT: Duration = Duration::from_millis(250);

/// Sends the coordinator's orders to targets.
pub trait TargetApi: Send + Sync {
    /// Grants keys to the target at `address`, and gives up after [`GRANT_TIMEOUT`].
    fn grant<'a>(&'a self, address: SocketAddr, order: &'a Order) -> BoxFuture<'a, GrantOutcome>;

    /// Asks the target at `address` to release keys.
    fn release<'a>(
        &'a self,
        address: SocketAddr,
        order: &'a Order,
    ) -> BoxFuture<'a, ReleaseOutcome>;
}
