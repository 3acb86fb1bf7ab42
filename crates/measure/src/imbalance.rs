//! Imbalance of load across targets.

/// Load and capacity of one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetLoad {
    /// Requests per second.
    pub load: f64,
    /// Capacity in slots, or any other unit that all targets share.
    pub capacity: f64,
}

/// Imbalance: peak utilisation divided by mean utilisation, minus 1.
///
/// Utilisation is load divided by capacity; the mean is total load divided by total capacity. The
/// unit is 1, and 0 means perfect balance or no load. Load on a target without capacity is an
/// infinite imbalance.
#[must_use]
pub fn imbalance(loads: &[TargetLoad]) -> f64 {
    let total_load: f64 = loads.iter().map(|it| it.load).sum();
    let total_capacity: f64 = loads.iter().map(|it| it.capacity).sum();
    if total_load <= 0.0 {
        return 0.0;
    }

    let mut peak = 0.0_f64;
    for target in loads {
        if target.load > 0.0 {
            peak = peak.max(target.load / target.capacity.max(0.0));
        }
    }
    (peak / (total_load / total_capacity) - 1.0).max(0.0)
}
