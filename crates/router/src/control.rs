//! Keeps this host's knowledge up to date and, on one host, coordinates the owners of keys.

mod catch_up;
mod follow;
mod lease;
mod loads;
mod tenure;
mod watch;

pub use catch_up::catch_up;
pub use follow::follow;
