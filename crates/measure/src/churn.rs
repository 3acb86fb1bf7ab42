//! Churn of key ownership.

/// One move of keys to another owner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Moved {
    /// Share of the hash space that has a new owner, 0 to 1.
    pub keys: f64,
    /// Share of the requests whose key has a new owner, 0 to 1.
    pub requests: f64,
    /// Duration of the cold start at the new owner in milliseconds.
    pub cold_ms: u64,
    /// Bytes that the move sends between regions; 0 within a region.
    pub bytes: u64,
}

/// Cost of traffic between regions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Traffic {
    /// Bytes that moving every key once would send; 0 if bytes are not counted.
    pub bytes: u64,
    /// Cost of sending all these bytes between regions, as a multiple of the cost of moving every
    /// key within a region without a cold start.
    pub price: f64,
}

/// Churn: Σ share · (1 + cold start in seconds) + price · bytes moved ÷ all bytes.
///
/// The share of a move is the mean of its key share and its request share: a rarely requested key
/// pays a cold start too, and the cold start of a hot key delays many requests. The unit is 1; 1
/// means that every key moved once, within a region and without a cold start.
#[must_use]
pub fn churn(moves: &[Moved], traffic: &Traffic) -> f64 {
    let mut churn = 0.0;
    for it in moves {
        churn += f64::midpoint(it.keys, it.requests) * (1.0 + to_seconds(it.cold_ms));
        if traffic.bytes > 0 {
            churn += traffic.price * to_f64(it.bytes) / to_f64(traffic.bytes);
        }
    }
    churn
}

fn to_seconds(ms: u64) -> f64 {
    to_f64(ms) / 1_000.0
}

#[expect(
    clippy::cast_precision_loss,
    reason = "53 bits suffice for bytes and ms"
)]
fn to_f64(value: u64) -> f64 {
    value as f64
}
