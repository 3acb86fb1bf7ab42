//! The lease of the coordinator.
//!
//! The lease is a row of the store. Its expiry is a time of the store's clock, which every answer
//! of the store carries, so a host needs one read to find out whether the lease has expired. The
//! holder converts the expiry to its own clock conservatively: the lease never ends later there.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::Millis;

/// Maximum assumed drift between the holder's clock and the store's.
const MAX_DRIFT_PERCENT: u64 = 2;

/// Duration of the lease while the store answers fast, in milliseconds.
pub const LEASE_MS: Millis = 1_500;

/// Longest duration of the lease, in milliseconds.
pub const MAX_LEASE_MS: Millis = 4_500;

/// Round trips to the store that a lease lasts: that of the write, that of the next one, and the
/// time until that one is sent.
const LEASE_ROUND_TRIPS: u64 = 3;

/// Returns the duration of a lease that is written while a call of the store takes `round_trip`
/// milliseconds.
#[must_use]
pub fn lease_duration(round_trip: Millis) -> Millis {
    (round_trip * LEASE_ROUND_TRIPS).clamp(LEASE_MS, MAX_LEASE_MS)
}

/// The value of the lease's row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRow {
    /// Name of the host that holds the lease.
    pub host: Arc<str>,
    /// Address at which the host takes control messages.
    pub peer: SocketAddr,
    /// Number of the holder's tenure; each new holder increments it.
    pub term: u64,
    /// Expiry of the lease in milliseconds of the store's clock.
    pub until: Millis,
    /// Random number that differs between the writes of one holder, so that it recognises a write
    /// of its own whose answer was lost.
    pub nonce: u64,
    /// Generation of the store for which the slice rows are known to name every target that may
    /// hold keys. In another generation, the store has lost rows since.
    #[serde(default)]
    pub complete_in: Option<u64>,
}

/// Number of low bits of a term that count the tenures within a generation of the store.
///
/// Fencing tokens add 24 bits and stay below 2^53, the limit of exact integers in JSON, for 8,191
/// generations.
const TENURE_BITS: u32 = 16;

impl LeaseRow {
    /// Name of the row.
    pub const NAME: &'static str = "lease";

    /// Returns the expiry that a renewal at `now` asks for, in milliseconds of the store's clock.
    /// It is never earlier than the present one, on which the holder counts until it knows that
    /// the renewal was applied.
    #[must_use]
    pub fn renewed_until(&self, clock: &StoreClock, now: Millis, round_trip: Millis) -> Millis {
        let until = clock.earliest_time(now) + lease_duration(round_trip);
        until.max(self.until)
    }

    /// Returns the term of the next tenure, after the latest one that is known. It is also above
    /// the terms of earlier generations that the store has lost.
    #[must_use]
    pub fn next_term(known: u64, generation: u64) -> u64 {
        known.max(generation << TENURE_BITS) + 1
    }
}

/// One reading of the store's clock, which showed `value` at some time between `sent` and
/// `received`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreClock {
    /// When the call was sent, on this host's clock.
    pub sent: Millis,
    /// When the answer arrived, on this host's clock.
    pub received: Millis,
    /// The store's time in the answer.
    pub value: Millis,
}

impl StoreClock {
    /// How long the call took, in milliseconds.
    #[must_use]
    pub fn round_trip(&self) -> Millis {
        self.received.saturating_sub(self.sent)
    }

    /// Returns the one of two readings from which the store's time at `now` is known better.
    #[must_use]
    pub fn better(self, other: Self, now: Millis) -> Self {
        let error = |it: Self| {
            let age = now.saturating_sub(it.received);
            it.round_trip() + age * 2 * MAX_DRIFT_PERCENT / 100
        };
        if error(self) < error(other) {
            self
        } else {
            other
        }
    }

    /// Returns the earliest time that the store's clock can show at `now`; drift is not considered.
    #[must_use]
    pub fn earliest_time(&self, now: Millis) -> Millis {
        self.value + now.saturating_sub(self.received)
    }

    /// Returns a time of this host's clock before which the store's clock cannot show `until`.
    #[must_use]
    pub fn local_expiry(&self, until: Millis) -> Millis {
        let remaining = until.saturating_sub(self.value);
        self.sent + remaining * (100 - MAX_DRIFT_PERCENT) / 100
    }
}
