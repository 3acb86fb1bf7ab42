//! Admission of requests to targets, and the exchange with a target.

mod exchange;
mod gate;

pub use exchange::{Outcome, run};
pub use gate::Gate;
