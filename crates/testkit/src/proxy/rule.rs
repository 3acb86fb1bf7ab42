//! Rules of the proxy.

use serde::{Deserialize, Serialize};

/// What happens to the bytes of a connection.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// They pass.
    #[default]
    Pass,
    /// The connection closes.
    Cut,
    /// They are swallowed and the connection stays open.
    Silent,
    /// They are held up and arrive when the rule ends.
    Hold,
    /// As with a broken link: open connections are silent and the listening port closes.
    Partition,
    /// The listening port closes, so that new connections are refused; open ones pass.
    Refuse,
    /// They arrive later.
    Delay,
    /// They arrive at a limited rate.
    Throttle,
    /// The connection closes after a number of bytes.
    Truncate,
    /// They arrive twice.
    Repeat,
}

/// Which bytes a rule affects.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// From the connecting side.
    Up,
    /// Towards the connecting side.
    Down,
    /// All.
    #[default]
    Both,
}

/// Which connections a rule affects.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// Those that were open when the rule came.
    Existing,
    /// Those accepted later.
    New,
    /// All.
    #[default]
    All,
}

/// The rule in force; connections outside its scope pass.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rule {
    /// What happens to the bytes.
    pub mode: Mode,
    /// Delay in milliseconds.
    pub delay_ms: u64,
    /// Rate limit in bytes per second.
    pub bytes_s: u64,
    /// Bytes that pass before a truncated connection closes.
    pub after_bytes: u64,
    /// Which bytes are affected.
    pub direction: Direction,
    /// Which connections are affected.
    pub scope: Scope,
    /// Connections accepted before the rule came.
    #[serde(skip)]
    pub(super) boundary: u64,
}

impl Rule {
    /// Creates a rule without limits.
    #[must_use]
    pub fn new(mode: Mode, direction: Direction, scope: Scope) -> Self {
        Self {
            mode,
            direction,
            scope,
            ..Self::default()
        }
    }

    /// The mode for the bytes of connection `number` in `direction`.
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

    /// Whether the listening port is closed.
    #[must_use]
    pub(super) fn refuses(&self) -> bool {
        matches!(self.mode, Mode::Partition | Mode::Refuse)
    }

    /// Whether connection `number` is to close.
    #[must_use]
    pub(super) fn cuts(&self, number: u64) -> bool {
        [Direction::Up, Direction::Down]
            .into_iter()
            .any(|it| self.mode_for(number, it) == Mode::Cut)
    }
}
