//! The operators' weighting of growth against savings, and of costs against each other.

/// The operators' weights for the planner, as the document states them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Balance {
    /// 0 saves paid traffic between regions wherever possible, 1 uses all capacity at any cost.
    pub growth: f64,
    /// Weight of churn: of keys that change their owner.
    pub churn: f64,
    /// Weight of uneven load across targets.
    pub imbalance: f64,
    /// Weight of the time for which requests cannot be served.
    pub unavailable: f64,
}
