//! Behaviour of the target stand-in, which tests change on command.

use serde::{Deserialize, Serialize};

/// The status that the health endpoint reports, independent of the target's actual state.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportedHealth {
    /// Healthy.
    #[default]
    Ok,
    /// Failing.
    Failing,
}

/// The current behaviour of the target.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Behaviour {
    /// Whether it reports that it is draining.
    pub draining: bool,
    /// Whether it refuses new requests with 503.
    pub shedding: bool,
    /// Processing time of each request in milliseconds.
    pub work_ms: u64,
    /// Size of the body of each answer in bytes.
    pub body_bytes: usize,
    /// The status that the health endpoint reports.
    pub health: ReportedHealth,
    /// Whether it stops accepting connections and sending answers.
    pub frozen: bool,
    /// Text that makes the process exit at once if the path or body of a request contains it.
    pub crash_on: Option<String>,
}

/// A command that changes the named fields and leaves the others as they are.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct BehaviourChange {
    /// See [`Behaviour::draining`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub draining: Option<bool>,
    /// See [`Behaviour::shedding`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub shedding: Option<bool>,
    /// See [`Behaviour::work_ms`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub work_ms: Option<u64>,
    /// See [`Behaviour::body_bytes`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub body_bytes: Option<usize>,
    /// See [`Behaviour::health`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub health: Option<ReportedHealth>,
    /// See [`Behaviour::frozen`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub frozen: Option<bool>,
    /// See [`Behaviour::crash_on`]; an empty text matches no request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub crash_on: Option<String>,
}

impl Behaviour {
    /// Applies a command.
    pub fn apply(&mut self, change: BehaviourChange) {
        self.draining = change.draining.unwrap_or(self.draining);
        self.shedding = change.shedding.unwrap_or(self.shedding);
        self.work_ms = change.work_ms.unwrap_or(self.work_ms);
        self.body_bytes = change.body_bytes.unwrap_or(self.body_bytes);
        self.health = change.health.unwrap_or(self.health);
        self.frozen = change.frozen.unwrap_or(self.frozen);
        if let Some(text) = change.crash_on {
            self.crash_on = Some(text).filter(|it| !it.is_empty());
        }
    }

    /// Whether a request with this path and body makes the process exit.
    #[must_use]
    pub fn crashes(&self, path: &str, body: &[u8]) -> bool {
        self.crash_on.as_ref().is_some_and(|text| {
            path.contains(text.as_str()) || body.windows(text.len()).any(|it| it == text.as_bytes())
        })
    }
}
