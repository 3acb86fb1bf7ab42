//! The targets that this host knows.

mod target;
mod targets;

pub use target::{TargetEntry, TargetState};
pub use targets::Targets;
