//! `status`: prints the state of all hosts.

use crate::{
    context::Context,
    failure::Failure,
    hosts::Host,
    report::Report,
    status::{HostRow, Summary},
};

/// Queries all hosts concurrently; fails only if the list of hosts is unavailable or empty, or no
/// host answers.
pub(crate) async fn run(context: &Context) -> Result<Report, Failure> {
    let hosts = Host::select(context).await?;
    let mut summary = Summary::default();
    let mut unanswered = Vec::new();
    for (host, answer) in context.hosts.query_statuses(hosts).await {
        match answer {
            Ok(status) => summary.add(status),
            Err(err) => unanswered.push(HostRow::NoAnswer {
                host: host.name.to_string(),
                reason: err.to_string(),
            }),
        }
    }
    if summary.hosts.is_empty() {
        return Err(Failure::Unreachable(format!(
            "none of {} hosts answered",
            unanswered.len()
        )));
    }
    summary.hosts.append(&mut unanswered);
    Ok(Report::Status(summary))
}
