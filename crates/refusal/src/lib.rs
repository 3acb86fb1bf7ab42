//! The fixed list of refusals: every reason for which the router answers a request itself.
//!
//! Each reason has one counter label, one HTTP status and one default for whether the request may
//! have run. This crate does not depend on HTTP libraries, clocks or an async runtime. Start at
//! [`Reason`].

mod ran;
mod reason;
mod refusal;

pub use ran::Ran;
pub use reason::Reason;
pub use refusal::Refusal;

#[cfg(test)]
mod tests;
