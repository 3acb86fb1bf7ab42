//! The measures and their weighted sum.

/// Reference of [`imbalance`](fn@crate::imbalance): the peak-to-mean load of at most 1.15 that is
/// required of placement.
pub const IMBALANCE_REFERENCE: f64 = 0.15;

/// Reference of [`churn`](fn@crate::churn): the share of one of 24 targets, the number of targets
/// of the larger service of each deployment.
pub const CHURN_REFERENCE: f64 = 1.0 / 24.0;

/// Reference of [`unavailable`](fn@crate::unavailable) in seconds: one of 24 targets without
/// service for 2 s, the time within which a key must be served again after a loss.
pub const UNAVAILABLE_REFERENCE_S: f64 = 2.0 / 24.0;

/// The operators' weights of the three measures; they add up to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Weight of churn.
    pub churn: f64,
    /// Weight of imbalance.
    pub imbalance: f64,
    /// Weight of unavailable time.
    pub unavailable: f64,
}

/// The three measures over one period.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Measures {
    /// Churn per disturbance: the churn of the period divided by the number of losses, joins and
    /// leaves in it (at least 1).
    pub churn: f64,
    /// Mean imbalance over the period.
    pub imbalance: f64,
    /// Unavailable time per disturbance in seconds.
    pub unavailable: f64,
}

/// Weighted sum of the measures, each divided by its reference.
///
/// The unit is 1; lower is better. The sum is 1 if each measure is at its reference.
#[must_use]
pub fn weighted(weights: &Weights, measures: &Measures) -> f64 {
    weights.churn * measures.churn / CHURN_REFERENCE
        + weights.imbalance * measures.imbalance / IMBALANCE_REFERENCE
        + weights.unavailable * measures.unavailable / UNAVAILABLE_REFERENCE_S
}
