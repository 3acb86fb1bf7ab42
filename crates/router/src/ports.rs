//! What the router asks of the world around it: the store, its targets, and the names of headers.
//!
//! An adapter implements these traits for one platform. The router knows none of the platform's
//! names, and the adapter decides nothing.

mod dialect;
mod store;
mod target_api;

pub use dialect::{ProtocolProfile, RefusalStatus};
pub use store::{
    Commit, OwnRow, OwnRows, Read, Record, Store, StoreError, Topic, Transaction, Update,
};
pub use target_api::TargetApi;
