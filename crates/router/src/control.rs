//! Keeps this host's knowledge up to date and, on one host, coordinates the owners of keys.

mod lead;
mod watch;

pub use lead::lead;
pub use watch::{watch_catalog, watch_targets};
