//! The configuration that tells which service a request goes to, and how.
//!
//! A [`Catalog`] is one version of it: hosts, their routes by path prefix, and services. The crate
//! does no I/O and knows no HTTP library and no format in which an operator writes a
//! configuration. Start at [`Catalog::find`].

mod catalog;
mod problem;
mod route;
mod service;
mod share;

pub use catalog::{Catalog, CatalogParts, HostRoutes, Limits};
pub use problem::CatalogError;
pub use route::{Repeat, Route};
pub use service::{Ownership, Service};
pub use share::{Picker, Share, Shares};

#[cfg(test)]
mod tests;
