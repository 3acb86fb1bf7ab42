//! The configuration and the targets that this host knows.

mod catalogs;
mod departures;
mod store_contact;
mod target;
mod targets;

pub use catalogs::{CatalogMark, CatalogUpdate, Catalogs};
pub use store_contact::StoreContact;
pub use target::{TargetEntry, TargetState};
pub use targets::Targets;
