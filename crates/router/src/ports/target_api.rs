//! The interface for orders to targets.

use std::net::SocketAddr;

use coordinator::{GrantOutcome, Order, ReleaseOutcome};
use futures::future::BoxFuture;

/// Sends the coordinator's orders to targets.
pub trait TargetApi: Send + Sync {
    /// Grants keys to the target at `address`.
    fn grant<'a>(&'a self, address: SocketAddr, order: &'a Order) -> BoxFuture<'a, GrantOutcome>;

    /// Asks the target at `address` to release keys.
    fn release<'a>(
        &'a self,
        address: SocketAddr,
        order: &'a Order,
    ) -> BoxFuture<'a, ReleaseOutcome>;
}
