//! Settings of one host, read from a YAML file.

use std::{net::SocketAddr, sync::Arc};

use displaydoc::Display;
use serde::Deserialize;
use thiserror::Error;

/// Default timeout of calls to the platform.
const DEFAULT_PLATFORM_TIMEOUT_MS: u64 = 1_000;

/// Default for [`Settings::drain_ms`].
const DEFAULT_DRAIN_MS: u64 = 30_000;

/// The settings of one host. All other configuration comes from the document.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The host's name, as in the membership list.
    pub host: Arc<str>,
    /// The host's data centre, as in the document.
    pub data_centre: Arc<str>,
    /// Address for requests of callers and other hosts.
    pub data: SocketAddr,
    /// Address for control messages of other hosts.
    pub peer: SocketAddr,
    /// Address for operators: health, metrics and status.
    pub operators: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Timeout of calls to the platform in milliseconds.
    #[serde(default = "platform_timeout_ms")]
    pub platform_timeout_ms: u64,
    /// Longest time in milliseconds for which a stopping host waits for the hand-over of its
    /// gateway roles, and then again for requests in flight.
    #[serde(default = "drain_ms")]
    pub drain_ms: u64,
    /// Addresses of peers from which to copy the table while the platform is down.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// Why the settings cannot be used.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// cannot read {0}: {1}
    Read(String, std::io::Error),
    /// {0}: {1}
    Format(String, String),
    /// {0}
    Store(#[from] router::SettingsError),
    /// {file}: {field}: {value:?} {rule}
    Rule {
        /// The file.
        file: String,
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
        /// The rule that the value breaks.
        rule: &'static str,
    },
}

impl Settings {
    /// Parses and checks the text of the settings file `file`.
    ///
    /// # Errors
    ///
    /// Fails if the text is not YAML of this type or a value breaks a rule.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let it: Self = serde_yaml_ng::from_str(text)
            .map_err(|err| SettingsError::Format(file.to_owned(), err.to_string()))?;
        let Err(BrokenRule { field, value, rule }) = it.check() else {
            return Ok(it);
        };
        Err(SettingsError::Rule {
            file: file.to_owned(),
            field,
            value,
            rule,
        })
    }

    fn check(&self) -> Result<(), BrokenRule> {
        self.check_names()?;
        self.check_addresses()?;
        self.check_times()
    }

    fn check_names(&self) -> Result<(), BrokenRule> {
        for (field, name) in [("host", &self.host), ("data_centre", &self.data_centre)] {
            if !is_name(name) {
                let rule = "must be 1 to 40 of a-z, 0-9 and '-'";
                return Err(BrokenRule::new(field, name, rule));
            }
        }
        Ok(())
    }

    fn check_addresses(&self) -> Result<(), BrokenRule> {
        let own = [
            ("data", self.data),
            ("peer", self.peer),
            ("operators", self.operators),
        ];
        let seeds = self.seeds.iter().map(|it| ("seeds", *it));
        let others = [("platform", self.platform)].into_iter().chain(seeds);
        for (field, address) in own.into_iter().chain(others) {
            if address.port() == 0 {
                let rule = "must name a port other than 0";
                return Err(BrokenRule::new(field, &address, rule));
            }
        }
        for (idx, (field, address)) in own.into_iter().enumerate() {
            if own[..idx].iter().any(|(_, other)| *other == address) {
                let rule = "data, peer and operators must differ from each other";
                return Err(BrokenRule::new(field, &address, rule));
            }
        }
        Ok(())
    }

    fn check_times(&self) -> Result<(), BrokenRule> {
        let limits = [
            (
                "platform_timeout_ms",
                self.platform_timeout_ms,
                10..=60_000,
                "must be 10 to 60000",
            ),
            (
                "drain_ms",
                self.drain_ms,
                100..=3_600_000,
                "must be 100 to 3600000",
            ),
        ];
        for (field, value, range, rule) in limits {
            if !range.contains(&value) {
                return Err(BrokenRule::new(field, &value, rule));
            }
        }
        Ok(())
    }
}

/// A field whose value breaks a rule.
struct BrokenRule {
    field: &'static str,
    value: String,
    rule: &'static str,
}

impl BrokenRule {
    fn new(field: &'static str, value: &dyn ToString, rule: &'static str) -> Self {
        let value = value.to_string();
        Self { field, value, rule }
    }
}

fn is_name(name: &str) -> bool {
    (1..=40).contains(&name.len())
        && name
            .bytes()
            .all(|it| it.is_ascii_lowercase() || it.is_ascii_digit() || it == b'-')
}

fn platform_timeout_ms() -> u64 {
    DEFAULT_PLATFORM_TIMEOUT_MS
}

fn drain_ms() -> u64 {
    DEFAULT_DRAIN_MS
}

#[cfg(test)]
mod tests;
