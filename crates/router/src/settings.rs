//! Settings of one host, read from a YAML file.

use std::{collections::BTreeMap, net::SocketAddr, path::PathBuf, sync::Arc};

use displaydoc::Display;
use serde::Deserialize;
use thiserror::Error;

/// Memory of a host whose settings do not state it, in megabytes.
const DEFAULT_MEMORY_MB: u32 = 260;

/// Bandwidth of a host whose settings do not state it, in Mbit/s.
const DEFAULT_LINK_MBPS: f64 = 1_000.0;

/// Time after which an evacuated data centre is sent no more requests, if the settings do not state
/// it, in seconds.
const DEFAULT_EVACUATION_S: f64 = 5.0;

/// Settings of a host. Unknown fields are ignored, so that the platform can add some.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// The file that the settings were read from.
    #[serde(skip)]
    pub file: PathBuf,
    /// Name of the host.
    pub host: Arc<str>,
    /// Its data centre.
    pub place: Arc<str>,
    /// The region of each data centre.
    pub regions: BTreeMap<Arc<str>, Arc<str>>,
    /// Address for requests of callers.
    pub callers: SocketAddr,
    /// Address of the readiness endpoint.
    pub operators: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics: SocketAddr,
    /// Address for control messages of other hosts.
    pub peer: SocketAddr,
    /// Address for requests that other hosts forward.
    pub forward: SocketAddr,
    /// Addresses that are announced to other hosts in place of `peer` and `forward`.
    #[serde(default)]
    pub advertised: Advertised,
    /// CPU share of the host in cores.
    pub cores: f64,
    /// Bandwidth of the host's link in Mbit/s.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
    /// Memory of the host in megabytes.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u32,
    /// The order of requests in the queues of services whose routes differ.
    #[serde(default)]
    pub queue_order: OrderSetting,
    /// The platform's store.
    pub store: StoreSettings,
    /// Bounds that the platform sets.
    pub bounds: Bounds,
}

/// The order of waiting requests of one priority.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum OrderSetting {
    /// By arrival: oldest first, newest first in an overload.
    #[default]
    Arrival,
    /// Requests that can meet their objective first, those with little work first in an overload.
    Objective,
}

/// Addresses under which other hosts reach this one, where they differ from those that it binds.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct Advertised {
    /// In place of `peer`.
    pub peer: Option<SocketAddr>,
    /// In place of `forward`.
    pub forward: Option<SocketAddr>,
}

/// Settings of the store.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct StoreSettings {
    /// Its address.
    pub address: SocketAddr,
}

/// Bounds that the platform sets, in seconds unless a field says otherwise.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Bounds {
    /// Longest time for which keys may be granted.
    #[serde(rename = "max_hold_s")]
    pub max_hold: f64,
    /// Time after which a draining target is sent no more requests.
    #[serde(rename = "drain_s")]
    pub drain: f64,
    /// Time after which the targets of an evacuated data centre are sent no more requests.
    #[serde(default = "default_evacuation", rename = "evac_s")]
    pub evacuation: f64,
    /// Grace period between the request to stop and the end of the process.
    #[serde(rename = "grace_s")]
    pub grace: f64,
    /// Retries to a service as a fraction of all its requests.
    pub retry_ratio: f64,
    /// Retries to a service beyond that fraction, on all hosts together; a number of requests.
    pub retry_slack: f64,
    /// Window in which retries are counted.
    #[serde(rename = "retry_window_s")]
    pub retry_window: f64,
}

fn default_memory_mb() -> u32 {
    DEFAULT_MEMORY_MB
}

fn default_link_mbps() -> f64 {
    DEFAULT_LINK_MBPS
}

fn default_evacuation() -> f64 {
    DEFAULT_EVACUATION_S
}

/// Why settings are invalid.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// {file}: {text}
    Format {
        /// The file.
        file: String,
        /// The parser's message.
        text: String,
    },
    /// {file}: {field}: {rule}
    Rule {
        /// The file.
        file: String,
        /// The field.
        field: &'static str,
        /// The rule that it violates.
        rule: &'static str,
    },
}

impl Settings {
    /// Parses and checks the text of the settings file `file`.
    ///
    /// # Errors
    ///
    /// Fails if the text is not YAML of this type or violates a rule.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let mut settings: Self =
            serde_yaml_ng::from_str(text).map_err(|err| SettingsError::Format {
                file: file.to_owned(),
                text: err.to_string(),
            })?;
        settings.file = PathBuf::from(file);
        match settings.violated_rule() {
            None => Ok(settings),
            Some((field, rule)) => Err(SettingsError::Rule {
                file: file.to_owned(),
                field,
                rule,
            }),
        }
    }

    /// CPU share of the host in thousandths of a core, at least 1.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the range is checked"
    )]
    pub fn power(&self) -> u32 {
        (self.cores.clamp(0.001, 1_000.0) * 1_000.0) as u32
    }

    /// Bandwidth of the host's link in whole Mbit/s, at least 1.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the range is checked"
    )]
    pub fn whole_mbps(&self) -> u32 {
        self.link_mbps.clamp(1.0, 1e6) as u32
    }

    /// The region of a data centre; an unknown data centre is a region of its own.
    #[must_use]
    pub fn region<'a>(&'a self, place: &'a Arc<str>) -> &'a Arc<str> {
        self.regions.get(place).unwrap_or(place)
    }

    fn violated_rule(&self) -> Option<(&'static str, &'static str)> {
        if self.host.is_empty() {
            return Some(("host", "must not be empty"));
        }
        if !self.regions.contains_key(&self.place) {
            return Some(("place", "must be one of the places under `regions`"));
        }
        let addresses = [
            self.callers,
            self.operators,
            self.metrics,
            self.peer,
            self.forward,
        ];
        for (idx, address) in addresses.iter().enumerate() {
            if address.port() == 0 || addresses[..idx].contains(address) {
                let fields = "callers, operators, metrics, peer, forward";
                return Some((fields, "must be different addresses with non-zero ports"));
            }
        }
        if !(0.001..=1_000.0).contains(&self.cores) {
            return Some(("cores", "must be between 0.001 and 1000"));
        }
        if !(0.001..=1e6).contains(&self.link_mbps) {
            return Some(("link_mbps", "must be between 0.001 and 1000000"));
        }
        if !(16..=1_048_576).contains(&self.memory_mb) {
            return Some(("memory_mb", "must be between 16 and 1048576"));
        }
        let times = [
            ("bounds.max_hold_s", self.bounds.max_hold),
            ("bounds.drain_s", self.bounds.drain),
            ("bounds.evac_s", self.bounds.evacuation),
            ("bounds.grace_s", self.bounds.grace),
            ("bounds.retry_window_s", self.bounds.retry_window),
        ];
        for (field, value) in times {
            if !(0.01..=3_600.0).contains(&value) {
                return Some((field, "must be between 0.01 and 3600"));
            }
        }
        let counts = [
            ("bounds.retry_ratio", self.bounds.retry_ratio),
            ("bounds.retry_slack", self.bounds.retry_slack),
        ];
        for (field, value) in counts {
            if !(0.0..=1e9).contains(&value) {
                return Some((field, "must be between 0 and 1000000000"));
            }
        }
        None
    }
}

#[cfg(test)]
mod tests;
