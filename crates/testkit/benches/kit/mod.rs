//! Parts of the `path` bench.

mod cluster;
mod fit;
pub mod latency;
mod load;
pub mod memory;
mod process;
pub mod rates;
mod relay;
pub mod usage;

/// Converts a count for arithmetic; the counts of a bench are far below 2^52, so this is exact.
#[allow(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn float_from_u64(count: u64) -> f64 {
    count as f64
}

/// Converts a count for arithmetic, see [`float_from_u64`].
fn float_from_usize(count: usize) -> f64 {
    float_from_u64(count as u64)
}
