//! What this host knows: the configuration, the targets, and who owns which keys.

mod target;
mod targets;

pub use target::{TargetEntry, TargetState};
pub use targets::Targets;
