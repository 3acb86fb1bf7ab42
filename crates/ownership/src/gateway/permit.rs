//! Permission to start a request on a target.

use displaydoc::Display;
use thiserror::Error;

use crate::RequestFence;

/// Permission to start one request. It is checked again immediately before the request is written.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Permit {
    /// Fencing token that the request carries.
    pub fence: RequestFence,
    /// Lowest hash of the slice.
    pub low: u64,
    /// Highest hash of the slice, inclusive.
    pub high: u64,
}

/// Why a request cannot be started; it has not run.
#[derive(Clone, Copy, Debug, Display, Eq, Error, Hash, PartialEq)]
pub enum PermitError {
    /// the host has no tenure for the target
    NoTenure,
    /// the target does not hold the slice
    NotHeld,
    /// the target is draining
    Draining,
    /// the target is unreachable
    Unreachable,
    /// the slice is being moved
    Moving,
}
