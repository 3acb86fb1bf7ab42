//! Text form of results and failures.

use std::{
    collections::BTreeMap,
    fmt::Write,
    time::{Duration, UNIX_EPOCH},
};

use serde_json::Value;

use crate::{
    explain::{Explanation, Line},
    failure::Failure,
    report::{Entry, Report},
    status::{GatewayStatus, HostLine, Owner, Quarantined, Summary},
    store::Stored,
};

/// The text of a result.
pub(crate) fn report(report: &Report) -> String {
    match report {
        Report::Check {
            file,
            name,
            services,
            targets,
        } => format!("{file} is valid: {name}, {services} services, {targets} targets\n"),
        Report::Diff {
            version,
            differences,
        } if differences.is_empty() => format!("no difference from version {version}\n"),
        Report::Diff { differences, .. } => lines(differences),
        Report::Apply {
            version,
            change,
            hosts,
        } => match hosts {
            Some(hosts) => format!("version {version} ({change}) is in force on {hosts} hosts\n"),
            None => format!("version {version} ({change}) is applied\n"),
        },
        Report::Show(stored) => stored.text.clone(),
        Report::History { versions } => history(versions),
        Report::Status(summary) => status(summary),
        Report::Owner(it) => owner(it),
        Report::Explain(it) => explanation(it),
        Report::Schema { schema } => format!("{schema}\n"),
    }
}

/// The text of a failure.
pub(crate) fn failure(failure: &Failure) -> String {
    let mut text = format!("{failure}\n");
    match failure {
        Failure::Document { problems, .. } => text.push_str(&lines(problems)),
        Failure::Conflict {
            change,
            differences,
            ..
        } => {
            if let Some(change) = change {
                put(&mut text, &format!("its change is {change}"));
            }
            match differences.as_deref() {
                None => put(&mut text, "its text cannot be compared"),
                Some([]) => put(&mut text, "it does not differ from the document given"),
                Some(differences) => {
                    put(&mut text, "from it to the document given:");
                    text.push_str(&lines(differences));
                }
            }
        }
        Failure::Lagging { hosts, .. } => {
            for it in hosts {
                put(&mut text, &format!("{}: {}", it.host, it.reason));
            }
        }
        Failure::Unknown { .. } => put(
            &mut text,
            "run sassafrasctl history and look for the change before applying again",
        ),
        Failure::Arguments(_)
        | Failure::File { .. }
        | Failure::NoRequest { .. }
        | Failure::Unreachable(_)
        | Failure::NoVersion { .. } => {}
    }
    text
}

/// The line about a version that `show` prints beside its text.
pub(crate) fn version_line(stored: &Stored) -> String {
    let Stored {
        version, change, ..
    } = stored;
    format!(
        "version {version}, change {change}{}\n",
        match stored.time {
            Some(time) => format!(", applied {}", date(time)),
            None => String::new(),
        }
    )
}

fn history(versions: &[Entry]) -> String {
    let mut rows = vec![row(["version", "applied", "change", "bytes"])];
    for it in versions {
        rows.push(vec![
            it.version.to_string(),
            it.time.map_or_else(|| "unknown".to_owned(), date),
            it.change.clone(),
            it.bytes.to_string(),
        ]);
    }
    table(&rows)
}

fn status(summary: &Summary) -> String {
    let mut text = hosts(&summary.hosts);
    text.push('\n');
    text.push_str(&gateways(&summary.gateways));
    if !summary.quarantine.is_empty() {
        text.push('\n');
        text.push_str(&quarantine(&summary.quarantine));
    }
    for (title, counts) in [
        ("refusals", &summary.refusals),
        ("retries", &summary.retries),
    ] {
        text.push('\n');
        text.push_str(&counters(title, counts));
    }
    text
}

fn hosts(hosts: &[HostLine]) -> String {
    let head = [
        "host",
        "data centre",
        "version",
        "rev",
        "ready",
        "unconfirmed",
    ];
    let mut rows = vec![row(head)];
    let mut silent = String::new();
    for it in hosts {
        match it {
            HostLine::Answered {
                host,
                data_centre,
                version,
                rev,
                ready,
                confirmed,
            } => rows.push(vec![
                host.clone(),
                data_centre.clone(),
                version.to_string(),
                rev.to_string(),
                yes(*ready),
                yes(!*confirmed),
            ]),
            HostLine::Silent { host, reason } => put(&mut silent, &format!("{host}: {reason}")),
        }
    }
    table(&rows) + &silent
}

fn gateways(gateways: &[GatewayStatus]) -> String {
    let head = [
        "service", "target", "gateway", "epoch", "state", "held", "draining",
    ];
    let mut rows = vec![row(head)];
    for it in gateways {
        rows.push(vec![
            it.service.clone(),
            it.target.clone(),
            it.gateway.clone(),
            it.epoch
                .map_or_else(|| "none".to_owned(), |it| it.to_string()),
            it.state.clone(),
            it.held.to_string(),
            yes(it.draining),
        ]);
    }
    table(&rows)
}

fn quarantine(requests: &[Quarantined]) -> String {
    let mut rows = vec![row(["service", "quarantined", "age (s)"])];
    for it in requests {
        let (service, fingerprint) = (it.service.clone(), it.fingerprint.clone());
        rows.push(vec![service, fingerprint, it.age_s.to_string()]);
    }
    table(&rows)
}

fn counters(title: &str, counts: &BTreeMap<String, u64>) -> String {
    let mut rows = vec![row([title, "count"])];
    for (reason, count) in counts {
        rows.push(vec![reason.clone(), count.to_string()]);
    }
    table(&rows)
}

fn owner(owner: &Owner) -> String {
    let or_none = |it: Option<&str>| it.unwrap_or("none").to_owned();
    let generation = owner.generation.map(|it| it.to_string());
    table(&[
        vec!["service".to_owned(), owner.service.clone()],
        vec!["key".to_owned(), owner.key.clone()],
        vec!["hash".to_owned(), owner.hash.clone()],
        vec!["target".to_owned(), or_none(owner.target.as_deref())],
        vec!["generation".to_owned(), or_none(generation.as_deref())],
        vec!["gateway".to_owned(), or_none(owner.gateway.as_deref())],
    ])
}

fn explanation(it: &Explanation) -> String {
    let mut text = String::from("the request\n");
    for line in &it.own {
        put(&mut text, &log_line(line));
    }
    text.push_str("\nbelieved on its way\n");
    for line in &it.around {
        put(&mut text, &log_line(line));
    }
    text
}

fn log_line(line: &Line) -> String {
    let mut text = format!("{} {}: {}", line.time_ms, line.host, line.message);
    for (name, value) in &line.fields {
        let value = match value {
            Value::String(value) => value.clone(),
            value => value.to_string(),
        };
        if !value.is_empty() {
            write!(text, " {name}={value}").expect("writing to a string succeeds");
        }
    }
    text
}

fn lines<T: ToString>(items: &[T]) -> String {
    let mut text = String::new();
    for it in items {
        put(&mut text, &it.to_string());
    }
    text
}

/// Aligns columns; the last one is not padded.
fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|it| it.get(column));
        cells.map(|it| it.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<_> = (0..columns).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            write!(line, "{cell:<width$}  ").expect("writing to a string succeeds");
        }
        put(&mut text, line.trim_end());
    }
    text
}

fn put(text: &mut String, line: &str) {
    text.push_str(line);
    text.push('\n');
}

fn row<const N: usize>(cells: [&str; N]) -> Vec<String> {
    cells.into_iter().map(str::to_owned).collect()
}

fn yes(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}

fn date(time_ms: u64) -> String {
    let time = UNIX_EPOCH.checked_add(Duration::from_millis(time_ms));
    // Later years have no four-digit form, and formatting one would panic.
    match time.filter(|_| time_ms < 253_402_300_800_000) {
        Some(time) => humantime::format_rfc3339_seconds(time).to_string(),
        None => "unknown".to_owned(),
    }
}
