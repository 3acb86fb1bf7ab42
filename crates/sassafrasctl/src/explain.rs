//! The way of one request, put together from the logs of many hosts.

use std::{collections::BTreeSet, io::BufRead, ops::RangeInclusive};

use serde::Serialize;
use serde_json::{Map, Value};

/// How long before the first line of the request changes of belief are of interest.
const BEFORE_MS: u64 = 5_000;

/// Targets of lines that each host writes about requests.
const REQUESTS: [&str; 2] = ["request", "attempt"];

/// A line of a log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub(crate) struct Line {
    /// Milliseconds since 1970 by the host's clock.
    pub(crate) time_ms: u64,
    /// The host.
    pub(crate) host: String,
    /// The part of the program.
    pub(crate) target: String,
    /// What happened.
    pub(crate) message: String,
    /// The values that decided it.
    pub(crate) fields: Map<String, Value>,
}

/// What the logs say of a request.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub(crate) struct Explanation {
    /// Its own lines in the order of time.
    pub(crate) own: Vec<Line>,
    /// What the hosts on its way, and the coordinator about its targets, wrote around it.
    pub(crate) around: Vec<Line>,
}

impl Line {
    /// Reads a line. What a log collector puts before the JSON is skipped; `None` if there is no
    /// line of a host in it.
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

    fn text(&self, field: &str) -> &str {
        self.fields
            .get(field)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// The range of keys that the line is about.
    fn keys(&self) -> Option<RangeInclusive<u64>> {
        let (first, last) = self.text("keys").split_once('-')?;
        Some(first.parse().ok()?..=last.parse().ok()?)
    }
}

impl Explanation {
    /// Finds the lines that concern `request`.
    pub(crate) fn new(lines: Vec<Line>, request: &str) -> Self {
        let is_own = |it: &Line| it.text("request") == request;
        let (mut own, others): (Vec<Line>, Vec<Line>) = lines.into_iter().partition(is_own);
        own.sort_by_key(|it| it.time_ms);
        let (Some(first), Some(last)) = (own.first(), own.last()) else {
            return Self::default();
        };
        let span = first.time_ms.saturating_sub(BEFORE_MS)..=last.time_ms;
        let (hosts, gates) = met_by(&own);
        let key: Option<u64> = own.iter().find_map(|it| it.text("key").parse().ok());
        let mut around = Vec::new();
        for line in others {
            let about_requests = REQUESTS.contains(&&*line.target);
            if about_requests || !span.contains(&line.time_ms) {
                continue;
            }
            let about_gate = ["target_name", "to"]
                .iter()
                .any(|it| gates.contains(line.text(it)));
            if let (Some(keys), Some(key)) = (line.keys(), key)
                && !keys.contains(&key)
            {
                continue;
            }
            let names_target = !line.text("target_name").is_empty();
            if about_gate || hosts.contains(&line.host) && !names_target {
                around.push(line);
            }
        }
        around.sort_by_key(|it| it.time_ms);
        around.dedup_by(|a, b| a.message == b.message && a.fields == b.fields);
        Self { own, around }
    }
}

/// The hosts and the gates that the request met.
fn met_by(own: &[Line]) -> (BTreeSet<String>, BTreeSet<String>) {
    let mut hosts = BTreeSet::new();
    let mut gates = BTreeSet::new();
    for line in own {
        hosts.insert(line.host.clone());
        gates.insert(line.text("target_name").to_owned());
        for step in line.text("steps").split("; ") {
            // For example `0-52 t1 via h2: fenced`.
            let words: Vec<&str> = step.split([' ', ':']).collect();
            if let [_, gate, "via", host, ..] = words[..] {
                hosts.insert(host.to_owned());
                gates.insert(gate.to_owned());
            }
        }
    }
    gates.remove("");
    (hosts, gates)
}

/// Reads the lines of one log; what is no line of a host is left out.
///
/// # Errors
///
/// Fails if the log cannot be read.
pub(crate) fn read(log: impl BufRead) -> std::io::Result<Vec<Line>> {
    let mut lines = Vec::new();
    for bytes in log.split(b'\n') {
        lines.extend(Line::parse(&String::from_utf8_lossy(&bytes?)));
    }
    Ok(lines)
}

#[cfg(test)]
mod tests;
