//! The configuration and the targets that this host knows.

mod catalogs;
mod departures;
mod target;
mod targets;

pub use catalogs::{CatalogMark, CatalogUpdate, Catalogs};
pub use target::{TargetEntry, TargetState};
pub use targets::Targets;
