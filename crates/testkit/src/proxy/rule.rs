//! Rules that determine which faults the proxy injects.

use serde::{Deserialize, Serialize};

/// How a rule affects connections.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Bytes pass unchanged.
    #[default]
    Pass,
    /// Connections are closed.
    Cut,
    /// Bytes are discarded and connections stay open.
    Silent,
    /// Bytes are held back and delivered when the rule ends.
    Hold,
    /// Network partition: open connections are silent and the listening port is closed.
    Partition,
    /// The listening port is closed, so that new connections are refused; bytes of open connections
    /// pass.
    Refuse,
    /// Bytes are delivered after a delay.
    Delay,
    /// Bytes are delivered at a limited rate.
    Throttle,
    /// Connections are closed after a number of bytes.
    Truncate,
    /// Bytes of each read are delivered twice.
    Repeat,
}

/// The direction of the bytes that a rule affects.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// Bytes from the connecting side.
    Up,
    /// Bytes towards the connecting side.
    Down,
    /// Bytes in both directions.
    #[default]
    Both,
}

/// The connections that a rule affects.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// Connections accepted before the rule was set.
    Existing,
    /// Connections accepted after the rule was set.
    New,
    /// All connections.
    #[default]
    All,
}

/// The rule in force; connections outside its scope pass unchanged.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rule {
    /// How connections are affected.
    pub mode: Mode,
    /// Delay of [`Mode::Delay`] in milliseconds.
    pub delay_ms: u64,
    /// Rate limit of [`Mode::Throttle`] in bytes per second.
    pub bytes_s: u64,
    /// Bytes that pass under [`Mode::Truncate`] before the connection is closed.
    pub after_bytes: u64,
    /// The affected direction.
    pub direction: Direction,
    /// The affected connections.
    pub scope: Scope,
    /// Number of connections accepted before the rule was set.
    #[serde(skip)]
    pub(super) boundary: u64,
}

impl Rule {
    /// Creates a rule without a delay, rate or byte count.
    #[must_use]
    pub fn new(mode: Mode, direction: Direction, scope: Scope) -> Self {
        Self {
            mode,
            direction,
            scope,
            ..Self::default()
        }
    }

    /// The mode that applies to bytes of connection `number` in `direction`.
    #[must_use]
    pub(super) fn mode_for(&self, number: u64, direction: Direction) -> Mode {
        let in_scope = match self.scope {
            Scope::Existing => number < self.boundary,
            Scope::New => number >= self.boundary,
            Scope::All => true,
        };
        let affected = self.direction == Direction::Both || self.direction == direction;
        if in_scope && affected {
            self.mode
        } else {
            Mode::Pass
        }
    }

    /// Whether the rule closes the listening port.
    #[must_use]
    pub(super) fn closes_port(&self) -> bool {
        matches!(self.mode, Mode::Partition | Mode::Refuse)
    }

    /// Whether the rule closes connection `number`.
    #[must_use]
    pub(super) fn closes_connection(&self, number: u64) -> bool {
        [Direction::Up, Direction::Down]
            .into_iter()
            .any(|it| self.mode_for(number, it) == Mode::Cut)
    }
}
