//! Explains one request by joining the log lines of several hosts.

use std::{collections::BTreeSet, io::BufRead, ops::RangeInclusive};

use serde::Serialize;
use serde_json::{Map, Value};

/// Related lines are included from this time before the request's first line, in milliseconds.
const LEAD_TIME_MS: u64 = 5_000;

/// Log targets of the lines that hosts write about single requests.
const REQUEST_TARGETS: [&str; 2] = ["request", "attempt"];

/// A log line of a host.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub(crate) struct LogLine {
    /// Milliseconds since 1970 by the host's clock.
    pub(crate) time_ms: u64,
    /// The host's name.
    pub(crate) host: String,
    /// The log target: the part of the program that wrote the line.
    pub(crate) target: String,
    /// The message.
    pub(crate) message: String,
    /// The key-value pairs of the line.
    pub(crate) fields: Map<String, Value>,
}

/// The log lines that explain a request.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub(crate) struct Explanation {
    /// The lines of the request, in the order of time.
    #[serde(rename = "own")]
    pub(crate) request_lines: Vec<LogLine>,
    /// Other lines from [`LEAD_TIME_MS`] before the first line of the request to its last: those of
    /// the hosts on its path, except those with another `target_name`, and those of any host about
    /// its targets. Lines about other requests, or about key ranges without the request's key, are
    /// left out.
    #[serde(rename = "around")]
    pub(crate) related_lines: Vec<LogLine>,
}

impl LogLine {
    /// Parses a line. Text before the JSON, as added by log collectors, is skipped. Returns `None`
    /// if `text` contains no log line of a host.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let json = &text[text.find('{')?..];
        let value: Value = serde_json::from_str(json).ok()?;
        let text = |name: &str| value[name].as_str().map(str::to_owned);
        Some(Self {
            time_ms: value["time_ms"].as_u64()?,
            host: text("host")?,
            target: text("target")?,
            message: text("message")?,
            fields: value["fields"].as_object()?.clone(),
        })
    }

    fn text_field(&self, field: &str) -> &str {
        self.fields
            .get(field)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// The range of key hashes that the line is about.
    fn key_range(&self) -> Option<RangeInclusive<u64>> {
        let (first, last) = self.text_field("keys").split_once('-')?;
        Some(first.parse().ok()?..=last.parse().ok()?)
    }
}

impl Explanation {
    /// Finds the lines that concern `request`.
    pub(crate) fn new(lines: Vec<LogLine>, request: &str) -> Self {
        let is_own = |it: &LogLine| it.text_field("request") == request;
        let (mut request_lines, others): (Vec<LogLine>, Vec<LogLine>) =
            lines.into_iter().partition(is_own);
        request_lines.sort_by_key(|it| it.time_ms);
        let (Some(first), Some(last)) = (request_lines.first(), request_lines.last()) else {
            return Self::default();
        };
        let span = first.time_ms.saturating_sub(LEAD_TIME_MS)..=last.time_ms;
        let (hosts, targets) = hosts_and_targets(&request_lines);
        let key: Option<u64> = request_lines
            .iter()
            .find_map(|it| it.text_field("key").parse().ok());
        let mut related_lines = Vec::new();
        for line in others {
            let about_requests = REQUEST_TARGETS.contains(&&*line.target);
            if about_requests || !span.contains(&line.time_ms) {
                continue;
            }
            let about_target = ["target_name", "to"]
                .iter()
                .any(|it| targets.contains(line.text_field(it)));
            if let (Some(range), Some(key)) = (line.key_range(), key)
                && !range.contains(&key)
            {
                continue;
            }
            let names_target = !line.text_field("target_name").is_empty();
            if about_target || hosts.contains(&line.host) && !names_target {
                related_lines.push(line);
            }
        }
        related_lines.sort_by_key(|it| it.time_ms);
        related_lines.dedup_by(|a, b| a.message == b.message && a.fields == b.fields);
        Self {
            request_lines,
            related_lines,
        }
    }
}

/// The hosts and targets that processed the request.
fn hosts_and_targets(request_lines: &[LogLine]) -> (BTreeSet<String>, BTreeSet<String>) {
    let mut hosts = BTreeSet::new();
    let mut targets = BTreeSet::new();
    for line in request_lines {
        hosts.insert(line.host.clone());
        targets.insert(line.text_field("target_name").to_owned());
        for step in line.text_field("steps").split("; ") {
            // For example `0-52 t1 via h2: fenced`.
            let words: Vec<&str> = step.split([' ', ':']).collect();
            if let [_, target, "via", host, ..] = words[..] {
                hosts.insert(host.to_owned());
                targets.insert(target.to_owned());
            }
        }
    }
    targets.remove("");
    (hosts, targets)
}

/// Reads the lines of one log and skips those that are not log lines of a host.
///
/// # Errors
///
/// Fails if the log cannot be read.
pub(crate) fn read_log(log: impl BufRead) -> std::io::Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    for bytes in log.split(b'\n') {
        lines.extend(LogLine::parse(&String::from_utf8_lossy(&bytes?)));
    }
    Ok(lines)
}

#[cfg(test)]
mod tests;
