//! Decides when a connection is checked and when it is retired.

use coordinator::Millis;

/// Time without a received byte after which a connection that carries requests is checked.
pub const CHECK_INTERVAL_MS: Millis = 500;

/// Longest wait for a byte after a check.
pub const CHECK_TIMEOUT_MS: Millis = 700;

/// Longest further wait if this host was too busy to look at the connection in time: the answer may
/// have arrived unread.
const LATE_EXTENSION_MS: Millis = 50;

/// What has arrived on a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Arrivals {
    /// Number of reads so far.
    pub reads: u64,
    /// Time of the last one, or of the establishment of the connection.
    pub last: Millis,
}

/// What is to be done next for a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Send a check, then ask again.
    Check,
    /// Use the connection for no new request.
    Retire,
    /// Ask again when it carries a request.
    WaitForRequest,
    /// Ask again at this time.
    WaitUntil(Millis),
}

/// A check without an answer so far.
#[derive(Clone, Copy, Debug)]
struct PendingCheck {
    sent: Millis,
    /// [`Arrivals::reads`] when it was sent.
    reads: u64,
    until: Millis,
    extended: bool,
}

/// Whether the other side of a connection answers.
#[derive(Debug, Default)]
pub struct Liveness {
    pending: Option<PendingCheck>,
}

impl Liveness {
    /// Decides what to do at `now` with a connection that carries requests if `busy`.
    pub fn step(&mut self, now: Millis, arrivals: Arrivals, busy: bool) -> Step {
        if let Some(check) = &mut self.pending {
            if arrivals.reads == check.reads {
                return check.step(now);
            }
            self.pending = None;
        }
        if !busy {
            return Step::WaitForRequest;
        }
        let due = arrivals.last + CHECK_INTERVAL_MS;
        if now < due {
            return Step::WaitUntil(due);
        }
        self.pending = Some(PendingCheck {
            sent: now,
            reads: arrivals.reads,
            until: now + CHECK_TIMEOUT_MS,
            extended: false,
        });
        Step::Check
    }
}

impl PendingCheck {
    fn step(&mut self, now: Millis) -> Step {
        let next_look = self.sent + CHECK_INTERVAL_MS;
        if now < next_look {
            return Step::WaitUntil(next_look);
        }
        if now < self.until {
            return Step::WaitUntil(self.until);
        }
        if !self.extended && now >= self.until + LATE_EXTENSION_MS {
            self.extended = true;
            self.until = now + LATE_EXTENSION_MS;
            return Step::WaitUntil(self.until);
        }
        Step::Retire
    }
}

#[cfg(test)]
mod tests;
