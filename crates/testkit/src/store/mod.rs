//! The platform stand-in: table service, object store and membership list
//! (docs/design.md, section 7.1).

mod counts;
mod server;
mod table;

pub use counts::{Count, Counts};
pub use server::PlatformServer;
pub use table::Table;
