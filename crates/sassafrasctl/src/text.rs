//! Formats results and failures as text.

use std::{
    collections::BTreeMap,
    fmt::Write,
    time::{Duration, UNIX_EPOCH},
};

use serde_json::Value;

use crate::{
    explain::{Explanation, LogLine},
    failure::Failure,
    report::{HistoryEntry, Report},
    status::{GatewayStatus, HostRow, Owner, Quarantined, Summary},
    store::StoredVersion,
};

/// The text of a result.
pub(crate) fn format_report(report: &Report) -> String {
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
        Report::Diff { differences, .. } => format_lines(differences),
        Report::Apply {
            version,
            change,
            hosts,
        } => match hosts {
            Some(hosts) => format!("version {version} ({change}) is in force on {hosts} hosts\n"),
            None => format!("version {version} ({change}) is applied\n"),
        },
        Report::Show(stored) => stored.text.clone(),
        Report::History { versions } => format_history(versions),
        Report::Status(summary) => format_status(summary),
        Report::Owner(it) => format_owner(it),
        Report::Explain(it) => format_explanation(it),
        Report::Schema { schema } => format!("{schema}\n"),
    }
}

/// The text of a failure.
pub(crate) fn format_failure(failure: &Failure) -> String {
    let mut text = format!("{failure}\n");
    match failure {
        Failure::Document { problems, .. } => text.push_str(&format_lines(problems)),
        Failure::Conflict {
            change,
            differences,
            ..
        } => {
            if let Some(change) = change {
                add_line(&mut text, &format!("it was created by change {change}"));
            }
            match differences.as_deref() {
                None => add_line(&mut text, "its text could not be read for a comparison"),
                Some([]) => add_line(&mut text, "it does not differ from the given document"),
                Some(differences) => {
                    add_line(&mut text, "differences from it to the given document:");
                    text.push_str(&format_lines(differences));
                }
            }
        }
        Failure::Lagging { hosts, .. } => {
            for it in hosts {
                add_line(&mut text, &format!("{}: {}", it.host, it.reason));
            }
        }
        Failure::Unknown { .. } => add_line(
            &mut text,
            "before applying again, check with sassafrasctl history whether the change was applied",
        ),
        Failure::Arguments(_)
        | Failure::File { .. }
        | Failure::NoRequest { .. }
        | Failure::Unreachable(_)
        | Failure::NoVersion { .. } => {}
    }
    text
}

/// The line with the version and its change that `show` prints in addition to the text.
pub(crate) fn format_version_line(stored: &StoredVersion) -> String {
    let StoredVersion {
        version, change, ..
    } = stored;
    format!(
        "version {version}, change {change}{}\n",
        match stored.time {
            Some(time) => format!(", applied {}", format_date(time)),
            None => String::new(),
        }
    )
}

fn format_history(versions: &[HistoryEntry]) -> String {
    let mut rows = vec![to_row(["version", "applied", "change", "bytes"])];
    for it in versions {
        rows.push(vec![
            it.version.to_string(),
            it.time.map_or_else(|| "unknown".to_owned(), format_date),
            it.change.clone(),
            it.bytes.to_string(),
        ]);
    }
    format_table(&rows)
}

fn format_status(summary: &Summary) -> String {
    let mut text = format_hosts(&summary.hosts);
    text.push('\n');
    text.push_str(&format_gateways(&summary.gateways));
    if !summary.quarantine.is_empty() {
        text.push('\n');
        text.push_str(&format_quarantine(&summary.quarantine));
    }
    for (title, counts) in [
        ("refusals", &summary.refusals),
        ("retries", &summary.retries),
    ] {
        text.push('\n');
        text.push_str(&format_counters(title, counts));
    }
    text
}

fn format_hosts(hosts: &[HostRow]) -> String {
    let head = [
        "host",
        "data centre",
        "version",
        "rev",
        "ready",
        "unconfirmed",
    ];
    let mut rows = vec![to_row(head)];
    let mut tail = String::new();
    for it in hosts {
        match it {
            HostRow::Answered {
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
                yes_or_no(*ready),
                yes_or_no(!*confirmed),
            ]),
            HostRow::NoAnswer { host, reason } => add_line(&mut tail, &format!("{host}: {reason}")),
        }
    }
    format_table(&rows) + &tail
}

fn format_gateways(gateways: &[GatewayStatus]) -> String {
    let head = [
        "service", "target", "gateway", "epoch", "state", "held", "draining",
    ];
    let mut rows = vec![to_row(head)];
    for it in gateways {
        rows.push(vec![
            it.service.clone(),
            it.target.clone(),
            it.gateway.clone(),
            it.epoch
                .map_or_else(|| "none".to_owned(), |it| it.to_string()),
            it.state.clone(),
            it.held.to_string(),
            yes_or_no(it.draining),
        ]);
    }
    format_table(&rows)
}

fn format_quarantine(requests: &[Quarantined]) -> String {
    let mut rows = vec![to_row(["service", "quarantined", "age (s)"])];
    for it in requests {
        let (service, fingerprint) = (it.service.clone(), it.fingerprint.clone());
        rows.push(vec![service, fingerprint, it.age_s.to_string()]);
    }
    format_table(&rows)
}

fn format_counters(title: &str, counts: &BTreeMap<String, u64>) -> String {
    let mut rows = vec![to_row([title, "count"])];
    for (reason, count) in counts {
        rows.push(vec![reason.clone(), count.to_string()]);
    }
    format_table(&rows)
}

fn format_owner(owner: &Owner) -> String {
    let or_none = |it: Option<&str>| it.unwrap_or("none").to_owned();
    let generation = owner.generation.map(|it| it.to_string());
    format_table(&[
        vec!["service".to_owned(), owner.service.clone()],
        vec!["key".to_owned(), owner.key.clone()],
        vec!["hash".to_owned(), owner.hash.clone()],
        vec!["target".to_owned(), or_none(owner.target.as_deref())],
        vec!["generation".to_owned(), or_none(generation.as_deref())],
        vec!["gateway".to_owned(), or_none(owner.gateway.as_deref())],
    ])
}

fn format_explanation(it: &Explanation) -> String {
    let mut text = String::from("lines of the request\n");
    for line in &it.request_lines {
        add_line(&mut text, &format_log_line(line));
    }
    text.push_str("\nrelated lines\n");
    for line in &it.related_lines {
        add_line(&mut text, &format_log_line(line));
    }
    text
}

fn format_log_line(line: &LogLine) -> String {
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

fn format_lines<T: ToString>(items: &[T]) -> String {
    let mut text = String::new();
    for it in items {
        add_line(&mut text, &it.to_string());
    }
    text
}

/// Aligns the columns; trailing spaces are removed.
fn format_table(rows: &[Vec<String>]) -> String {
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
        add_line(&mut text, line.trim_end());
    }
    text
}

fn add_line(text: &mut String, line: &str) {
    text.push_str(line);
    text.push('\n');
}

fn to_row<const N: usize>(cells: [&str; N]) -> Vec<String> {
    cells.into_iter().map(str::to_owned).collect()
}

fn yes_or_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}

fn format_date(time_ms: u64) -> String {
    let time = UNIX_EPOCH.checked_add(Duration::from_millis(time_ms));
    // Years after 9999 do not have four digits, and formatting them would panic.
    match time.filter(|_| time_ms < 253_402_300_800_000) {
        Some(time) => humantime::format_rfc3339_seconds(time).to_string(),
        None => "unknown".to_owned(),
    }
}
