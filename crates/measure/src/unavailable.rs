//! Unavailable time.

/// A period during which some keys had no service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span {
    /// Share of the requests, or of the keys if requests are not counted, without service, 0 to 1.
    pub share: f64,
    /// Length in seconds.
    pub seconds: f64,
}

/// Unavailable time: Σ share · length.
///
/// The unit is the second: the time for which the average request (or key) had no service.
#[must_use]
pub fn unavailable(spans: &[Span]) -> f64 {
    let add = |sum, it: &Span| sum + it.share * it.seconds;
    // The sum of no floats would be -0.0.
    spans.iter().fold(0.0, add)
}
