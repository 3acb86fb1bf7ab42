//! The stated bounds, read from `bounds.yaml`.

use serde::Deserialize;

/// A bound with its source.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// Highest permitted value.
    pub bound: f64,
    /// The requirement that states the bound.
    #[serde(rename = "source")]
    _source: String,
}

/// The bounds of placement.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Peak-to-mean load.
    pub peak_to_mean: Bound,
    /// Churn on a loss, as a multiple of the least possible.
    pub loss_churn: Bound,
    /// Churn on a join, as a multiple of the least possible.
    pub join_churn: Bound,
    /// Rounds with moves in steady load.
    pub steady_moves: Bound,
    /// Time of a planning round at the large size in milliseconds.
    pub round_ms: Bound,
}

impl Bounds {
    /// Reads the bounds.
    ///
    /// # Panics
    ///
    /// Panics if the file lacks a bound.
    pub fn read() -> Self {
        #[derive(Deserialize)]
        struct File {
            placement: Bounds,
        }

        let text = include_str!("../../../../bounds.yaml");
        let file: File = serde_yaml_ng::from_str(text).expect("bounds.yaml has all bounds");
        file.placement
    }
}
