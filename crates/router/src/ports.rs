//! The interfaces between the router and a platform: the store, the targets, and the header names.
//!
//! An adapter implements these traits for one platform. The router contains no names of the
//! platform, and the adapter makes no decisions.

mod protocol_profile;
mod revision;
mod store;
mod target_api;

pub use protocol_profile::{ProtocolProfile, RefusalStatus};
pub use revision::Revision;
pub use store::{
    CommitOptions, CommitResult, OwnRow, OwnRows, Read, Record, Store, StoreError, Topic,
    Transaction, Update,
};
pub use target_api::{GRANT_TIMEOUT, TargetApi};
