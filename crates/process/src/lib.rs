//! What every process of the product has: structured logs and a clock for leases.
//!
//! The crate knows nothing of requests, hosts or targets.

mod boot_clock;
pub mod logging;

pub use boot_clock::BootClock;
