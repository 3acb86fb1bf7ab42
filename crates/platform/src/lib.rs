//! HTTP client of the platform: table service, object store and membership list.
//!
//! The result of a transaction is a [`CommitResult`]; a lost answer is never reported as success or
//! failure. This crate does not interpret the contents of rows. Start at [`Platform`].

mod client;
mod commit_result;
mod member;
mod row;

pub use client::{Platform, PlatformError};
pub use commit_result::CommitResult;
pub use member::{Member, MemberKind, MemberState, Members};
pub use row::{Commit, Committed, Condition, Conflicts, Row, RowPage, Write};
