//! The three measures of a deployment and their weighted sum.
//!
//! | measure | unit | formula |
//! |---|---|---|
//! | [`fn@imbalance`] | 1 | utilisation of the busiest target ÷ mean utilisation − 1 |
//! | [`fn@churn`] | 1 | Σ share · (1 + cold start in s) + price · bytes between regions ÷ all bytes |
//! | [`fn@unavailable`] | s | Σ share · time without service |
//!
//! [`weighted`] divides each measure by its reference before it applies the operators' weights.
//! The references are the figures that the requirements tolerate for one disturbance, so a
//! weighted sum of 1 means "exactly what is tolerated", whatever the weights.
//!
//! This crate does no I/O and reads no clock.

mod churn;
mod imbalance;
mod measures;
mod unavailable;

pub use churn::{Moved, Traffic, churn};
pub use imbalance::{TargetLoad, imbalance};
pub use measures::{
    CHURN_REFERENCE, IMBALANCE_REFERENCE, Measures, UNAVAILABLE_REFERENCE_S, Weights, weighted,
};
pub use unavailable::{Span, unavailable};

#[cfg(test)]
mod tests;
