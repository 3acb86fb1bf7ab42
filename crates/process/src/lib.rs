//! Infrastructure of all processes: structured logs, export of metrics and a clock for leases.
//!
//! The crate does not depend on requests, hosts or targets.

mod boot_clock;
mod exporter;
pub mod logging;
mod output;

pub use boot_clock::BootClock;
pub use exporter::Exporter;
