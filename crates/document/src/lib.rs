//! The configuration document that operators write: types, validation, comparison and JSON Schema.
//!
//! This crate does no I/O. Start at [`fn@parse`] and [`Document`].

mod balance;
mod cross_field;
mod difference;
mod document;
mod field;
mod limits;
mod location;
mod parse;
mod paths;
mod places;
mod problem;
mod rules;
mod schema;
mod service;
mod shape;
mod step;
mod tree;

pub use balance::Balance;
pub use difference::{Difference, diff};
pub use document::Document;
pub use limits::TEXT_LIMIT_BYTES;
pub use parse::parse;
pub use places::{DataCentre, Latency, Link, Places, Region};
pub use problem::Problem;
pub use rules::CONNECTION_HEADERS;
pub use schema::schema;
pub use service::{Idempotent, KeyRule, Service, Target};

#[cfg(test)]
mod tests;
