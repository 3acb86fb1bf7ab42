//! The configuration and the targets that this host knows.

mod catalogs;
mod departures;
mod evacuations;
mod store_contact;
mod sync_point;
mod target;
mod targets;

pub use catalogs::{CatalogMark, CatalogUpdate, Catalogs};
pub use departures::Departure;
pub use evacuations::{Access, Evacuation, Evacuations};
pub use store_contact::StoreContact;
pub use sync_point::SyncPoint;
pub use target::{TargetEntry, TargetState};
pub use targets::Targets;
