//! Whether a refused request may have run on a target.

use serde::{Deserialize, Serialize};

/// Whether the refused request may have run on a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// The request was never started on a target, and will not be.
    NotRun,
    /// The request may have run.
    Unknown,
}
