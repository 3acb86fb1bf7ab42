//! The routing configuration: to which service a request is sent, and under which limits.
//!
//! A [`Catalog`] is one version of it: hosts, their routes by path prefix, and services. The crate
//! does no I/O and is independent of the HTTP library and of the format in which operators write a
//! configuration. [`Catalog::find`] is the entry point.

mod catalog;
mod catalog_change;
mod catalog_error;
mod route;
mod service;
mod share;
mod shedding;

pub use catalog::{Catalog, CatalogParts, HostRoutes, Limits};
pub use catalog_change::CatalogChange;
pub use catalog_error::CatalogError;
pub use route::{Regions, Repeat, Route, Volume};
pub use service::{ColdLimit, Ownership, Service};
pub use share::{Picker, Share, Shares};

#[cfg(test)]
mod tests;
