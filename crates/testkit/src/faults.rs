//! Faults that the platform stand-in injects on command.

use serde::{Deserialize, Serialize};

/// How calls fail.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultMode {
    /// Calls succeed.
    #[default]
    None,
    /// The connection closes and the call has no effect.
    Down,
    /// The call takes effect and is answered after a delay.
    Slow,
    /// The call takes effect and the connection closes without an answer.
    LoseAnswer,
}

/// A fault and the number of calls that it affects.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Fault {
    /// How calls fail.
    pub mode: FaultMode,
    /// Delay of a slow call in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
    /// Number of affected calls; 0 means all until the next command.
    #[serde(default)]
    pub count: u64,
}

impl Fault {
    /// Returns the fault of the next call and counts the call.
    #[must_use]
    pub fn take(&mut self) -> Self {
        let taken = *self;
        if self.mode != FaultMode::None && self.count > 0 {
            self.count -= 1;
            if self.count == 0 {
                *self = Self::default();
            }
        }
        taken
    }
}
