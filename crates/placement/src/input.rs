//! Input of a planning round.

use std::sync::Arc;

use crate::{HotKey, PlannerState, SliceInput, TargetInput};

/// One service at the start of a planning round. Services share no targets, so each is planned
/// separately.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Input {
    /// Name of the service.
    pub service: Arc<str>,
    /// The slices, sorted by `low`; together they cover the hash space once.
    pub slices: Vec<SliceInput>,
    /// The targets of the service.
    pub targets: Vec<TargetInput>,
    /// The hottest keys, in any order.
    pub hot: Vec<HotKey>,
    /// Price of sending one megabyte between regions, in delayed requests: the planner pays this
    /// many requests delayed by one second to save one megabyte.
    pub link_price: f64,
    /// Mean size of an answer in bytes.
    pub answer_bytes: u64,
    /// Time of the round in milliseconds of a monotonic clock.
    pub now_ms: u64,
    /// State returned by the previous round; the default value in the first round.
    pub state: PlannerState,
}
