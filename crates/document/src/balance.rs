//! Weights of the placement objectives.

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::rules;

/// Weights of the placement objectives. `churn`, `imbalance` and `unavailable` add up to 1.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Balance {
    /// 0 saves paid traffic between regions wherever possible, 1 uses all capacity at any cost.
    #[garde(custom(rules::finite()), range(min = 0.0, max = 1.0))]
    pub growth: f64,
    /// Weight of changes of key ownership.
    #[garde(custom(rules::finite()), range(min = 0.0, max = 1.0))]
    pub churn: f64,
    /// Weight of load imbalance across targets.
    #[garde(custom(rules::finite()), range(min = 0.0, max = 1.0))]
    pub imbalance: f64,
    /// Weight of the time during which keys are unavailable.
    #[garde(custom(rules::finite()), range(min = 0.0, max = 1.0))]
    pub unavailable: f64,
    /// Seconds for which a data centre without contact to the store keeps its keys.
    #[garde(range(min = 1, max = 86_400))]
    pub hold_s: u64,
}
