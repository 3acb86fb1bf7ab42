//! Orders to targets.

use std::net::SocketAddr;

use coordinator::{GrantOutcome, Order, ReleaseOutcome};
use futures::future::BoxFuture;

/// Carries the coordinator's orders to targets.
pub trait TargetApi: Send + Sync {
    /// Grants keys to the target at `address`.
    fn grant<'a>(&'a self, address: SocketAddr, order: &'a Order) -> BoxFuture<'a, GrantOutcome>;

    /// Takes keys back from the target at `address`.
    fn release<'a>(
        &'a self,
        address: SocketAddr,
        order: &'a Order,
    ) -> BoxFuture<'a, ReleaseOutcome>;
}
