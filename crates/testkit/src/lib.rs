//! Stand-ins for external systems, and helpers for integration tests; not shipped.
//!
//! The stand-ins follow sections 7.1 and 7.2 of docs/design.md. Each runs as a separate process, a
//! cargo example of this crate, and prints its bound addresses as one JSON line at start. The entry
//! point for tests is [`deployment::Deployment`].

pub mod client;
pub mod deployment;
pub mod faults;
pub mod history;
pub mod layout;
mod links;
pub mod load;
mod measures;
pub mod nodes;
pub mod process;
pub mod proxy;
pub mod serve;
pub mod store;
pub mod target;
