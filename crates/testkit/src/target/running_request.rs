//! Processing of one request, which stops when the deadline passes, the grant expires or the caller
//! disconnects.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

use super::{
    KeyFence,
    record::{Outcome, Record, now_us},
    server::Shared,
};

/// Guard of a running request. Dropping it records the end of the request, also if the connection
/// closes and the processing is cancelled.
pub(super) struct RunningRequest {
    record: Arc<Record>,
    number: u64,
    deadline: Instant,
    /// End of the permission to run, as last read: the deadline or the expiry of the grants.
    permitted_until: Instant,
    outcome: Outcome,
}

impl RunningRequest {
    pub(super) fn new(record: Arc<Record>, number: u64, deadline: Instant) -> Self {
        Self {
            record,
            number,
            deadline,
            permitted_until: deadline,
            outcome: Outcome::Cancelled,
        }
    }

    /// Processes the request for the time `work`; returns whether it was processed to its end.
    pub(super) async fn process(
        &mut self,
        shared: &Shared,
        key_fence: Option<&KeyFence>,
        work: Duration,
    ) -> bool {
        let done = Instant::now() + work;
        loop {
            // Subscribes before the expiry is read, so that no renewal in between is missed.
            let granted = shared.granted.notified();
            if key_fence.is_some() {
                self.permitted_until = self.deadline.min(shared.grant_expiry());
            }
            tokio::select! {
                () = tokio::time::sleep_until(done.min(self.permitted_until)) => {}
                () = granted => {}
            }
            shared.wait_while_frozen().await;
            let now = Instant::now();
            if now >= self.permitted_until {
                // A grant that arrives after the previous one has expired does not cover the gap.
                if self.permitted_until < self.deadline {
                    self.outcome = Outcome::Expired;
                }
                return false;
            }
            if key_fence.is_some_and(|it| !shared.may_continue(it)) {
                self.outcome = Outcome::Expired;
                return false;
            }
            if now >= done {
                self.outcome = Outcome::Done;
                return true;
            }
        }
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        // A process that was suspended past the end of the permission ran nothing after that end.
        let late = Instant::now().saturating_duration_since(self.permitted_until);
        let late_us = u64::try_from(late.as_micros()).unwrap_or(u64::MAX);
        self.record
            .end(self.number, now_us().saturating_sub(late_us), self.outcome);
    }
}
