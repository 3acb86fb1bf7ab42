//! Keeps this host's view of the configuration, targets and key owners up to date and, on one host,
//! runs the coordinator.

mod catch_up;
mod configuration;
mod follow;
mod lease;
mod loads;
mod tenure;
mod watch;

pub use catch_up::{catch_up, catch_up_targets};
pub use configuration::fetch_announced;
#[cfg(test)]
pub use follow::build_report;
pub use follow::follow;
