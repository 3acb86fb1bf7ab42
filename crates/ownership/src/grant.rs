//! Messages between a gateway and a target that checks grants.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::Millis;

/// An order of a gateway; the body of `PUT /sassafras/grant`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct GrantOrder {
    /// Incarnation of the target that the order is for.
    pub incarnation: u64,
    /// Epoch of the gateway.
    pub epoch: u64,
    /// Name of the gateway's host.
    pub gateway: Arc<str>,
    /// Expiry of the grants on the target's clock, in milliseconds. It also serves as a sequence
    /// number within an epoch: a target refuses an order whose expiry is not above the last one.
    pub until: Millis,
    /// The full set of slices to hold; `None` keeps those that are held.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slices: Option<Vec<HeldSlice>>,
}

/// A slice that a target holds.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct HeldSlice {
    /// Name of the service.
    pub service: Arc<str>,
    /// Lowest hash of the range.
    pub low: u64,
    /// Highest hash of the range, inclusive.
    pub high: u64,
    /// Generation under which the slice is held.
    pub generation: u64,
}

/// State of the grants of a target, as the target reports it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct GrantState {
    /// Identifies the target's process; new at each start.
    pub incarnation: u64,
    /// The target's clock, in milliseconds.
    pub clock: Millis,
    /// Highest epoch that the target has accepted.
    pub epoch: u64,
    /// The gateway that has this epoch; empty before the first order.
    pub gateway: Arc<str>,
    /// The slices that are held and unexpired.
    pub held: Vec<HeldSlice>,
    /// Whether the target takes no new requests because it is about to stop.
    pub draining: bool,
}

impl GrantState {
    /// Returns the tag that identifies this state in a renewal.
    #[must_use]
    pub fn tag(&self) -> u64 {
        tag(self.incarnation, self.epoch, &self.gateway, &self.held)
    }
}

/// Returns a hash of the state that an accepted order determines. Gateway and target compute it in
/// the same way, so that a renewal doesn't repeat the held slices, of which there may be thousands.
/// The order of `held` does not matter.
pub(crate) fn tag<'a>(
    incarnation: u64,
    epoch: u64,
    gateway: &str,
    held: impl IntoIterator<Item = &'a HeldSlice>,
) -> u64 {
    let mut held: Vec<&HeldSlice> = held.into_iter().collect();
    held.sort_unstable_by(|a, b| (&a.service, a.low).cmp(&(&b.service, b.low)));
    let mut hasher = Xxh3::new();
    hasher.update(&incarnation.to_be_bytes());
    hasher.update(&epoch.to_be_bytes());
    hash_name(&mut hasher, gateway);
    for slice in held {
        hash_name(&mut hasher, &slice.service);
        for it in [slice.low, slice.high, slice.generation] {
            hasher.update(&it.to_be_bytes());
        }
    }
    hasher.digest()
}

/// Hashes a name with its length as prefix, so that different lists of names and numbers never give
/// the same bytes.
fn hash_name(hasher: &mut Xxh3, name: &str) {
    hasher.update(&(name.len() as u64).to_be_bytes());
    hasher.update(name.as_bytes());
}

/// An order of the current epoch that keeps the held slices; the body of `PUT /sassafras/renew`.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Renewal {
    /// Identifies the renewed state; see [`GrantState::tag`].
    pub tag: u64,
    /// New expiry, as in [`GrantOrder::until`].
    pub until: Millis,
}

impl Renewal {
    /// Returns the body: tag and expiry, big-endian.
    #[must_use]
    pub fn to_bytes(self) -> [u8; 16] {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&self.tag.to_be_bytes());
        bytes[8..].copy_from_slice(&self.until.to_be_bytes());
        bytes
    }

    /// Reads a body; `None` if it is not a renewal.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let (tag, until) = bytes.split_first_chunk()?;
        Some(Self {
            tag: u64::from_be_bytes(*tag),
            until: u64::from_be_bytes(until.try_into().ok()?),
        })
    }
}

/// The answer to a renewal that was accepted.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RenewalReply {
    /// The tag of the renewal.
    pub tag: u64,
    /// The target's clock, in milliseconds.
    pub clock: Millis,
    /// Whether the target takes no new requests because it is about to stop.
    pub draining: bool,
}

impl RenewalReply {
    /// Returns the body: tag and clock, big-endian, and a byte 1 if the target is draining.
    #[must_use]
    pub fn to_bytes(self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(17);
        bytes.extend(self.tag.to_be_bytes());
        bytes.extend(self.clock.to_be_bytes());
        bytes.extend(self.draining.then_some(1));
        bytes
    }

    /// Reads a body; `None` if it is not the answer to a renewal.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let (tag, rest) = bytes.split_first_chunk()?;
        let (clock, rest) = rest.split_first_chunk()?;
        let draining = match rest {
            [] => false,
            [1] => true,
            _ => return None,
        };
        Some(Self {
            tag: u64::from_be_bytes(*tag),
            clock: u64::from_be_bytes(*clock),
            draining,
        })
    }
}

/// Fencing token of a request, by which the target recognises and refuses requests of a replaced
/// gateway.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct RequestFence {
    /// Epoch of the gateway.
    pub epoch: u64,
    /// Generation under which the target holds the slice.
    pub generation: u64,
    /// Incarnation of the target; zero for a target that does not check grants.
    pub incarnation: u64,
}
