//! The recent demand of one route.

use super::candidate::work_class;

/// What a route has lately demanded of a queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct RouteLoad {
    pub(super) priority: u8,
    /// Work of one request.
    pub(super) work_us: u64,
    /// Slots that its arrivals occupy, in thousandths.
    pub(super) load: u64,
}

impl RouteLoad {
    pub(super) fn work_class(&self) -> u64 {
        work_class(self.work_us)
    }
}
