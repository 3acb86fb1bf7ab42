//! The lease of the coordinator.
//!
//! The lease is a row of the store. Its end stands on the store's clock, which every answer of the
//! store carries, so that a host learns with one read whether the lease has ended. The holder maps
//! the end to its own clock, on the safe side.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::Millis;

/// Allowance for the drift between the holder's clock and the store's.
const DRIFT_PERCENT: u64 = 2;

/// The value of the lease's row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRow {
    /// Name of the host that holds the lease.
    pub host: Arc<str>,
    /// Where the host takes control messages.
    pub peer: SocketAddr,
    /// Number of the holder's tenure; each new holder adds one.
    pub term: u64,
    /// End of the lease in milliseconds of the store's clock.
    pub until: Millis,
    /// Tells apart the writes of one holder, so that a write whose answer was lost is recognised.
    pub nonce: u64,
}

impl LeaseRow {
    /// Name of the row.
    pub const NAME: &'static str = "lease";
}

/// One reading of the store's clock: the store's time was `value` between the sending of the call
/// and the arrival of its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreClock {
    /// When the call was sent.
    pub sent: Millis,
    /// When the answer arrived.
    pub received: Millis,
    /// The store's time in the answer.
    pub value: Millis,
}

impl StoreClock {
    /// The earliest time that the store's clock can show at `now`, without drift.
    #[must_use]
    pub fn earliest(&self, now: Millis) -> Millis {
        self.value + now.saturating_sub(self.received)
    }

    /// The time of this host before which the store's clock cannot show `until`.
    #[must_use]
    pub fn before(&self, until: Millis) -> Millis {
        let left = until.saturating_sub(self.value);
        self.sent + left * (100 - DRIFT_PERCENT) / 100
    }
}
