//! `apply`: makes a file the document in force.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use document::Document;
use platform::MemberState;
use tokio::time::{Instant, sleep};

use super::diff;
use crate::{
    command::Apply,
    commit::{Outcome, commit_until_known},
    context::Context,
    failure::{Failure, LaggingHost},
    hosts::{Host, HostError},
    input,
    report::Report,
    status::HostStatus,
    store::{CurrentVersion, Store, StoredVersion},
};

/// Pause between two queries of all hosts.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Commits the document and waits until it is in force on all hosts.
pub(crate) async fn run(context: &Context, apply: &Apply) -> Result<Report, Failure> {
    let (text, document) = input::read(&apply.file)?;
    let store = context.store()?;
    let current = store.read_current().await?;
    if current.version() != apply.expect {
        return Err(conflict(apply.expect, &current, &document));
    }
    let stored = StoredVersion {
        version: apply.expect + 1,
        change: format!("{:032x}", rand::random::<u128>()),
        time: Some(now_ms()),
        text,
    };
    eprintln!(
        "committing version {} as change {}",
        stored.version, stored.change
    );
    let commit = Store::transaction(current.rev, &stored);
    let StoredVersion {
        version, change, ..
    } = stored.clone();
    match commit_until_known(context.platform()?, &commit, &stored, apply.settle).await {
        Outcome::Applied => {}
        Outcome::Conflict => return Err(conflict_after_race(store, apply.expect, &document).await),
        Outcome::Unknown => return Err(Failure::Unknown { version, change }),
    }
    let hosts = match apply.wait {
        Duration::ZERO => None,
        wait => Some(wait_until_in_force(context, version, wait).await?),
    };
    Ok(Report::Apply {
        version,
        change,
        hosts,
    })
}

/// The failure for a conflict with the version that is in force instead of the expected one.
fn conflict(expected: u64, current: &CurrentVersion, document: &Document) -> Failure {
    let stored = current.stored.as_ref();
    Failure::Conflict {
        expected,
        found: current.version(),
        change: stored.map(|it| it.change.clone()),
        differences: stored.and_then(|it| diff::differences_from(it, document)),
    }
}

/// The failure if another change was committed first. If the version in force cannot be read, the
/// failure states `expected + 1`, without details.
async fn conflict_after_race(store: Store<'_>, expected: u64, document: &Document) -> Failure {
    match store.read_current().await {
        Ok(current) => conflict(expected, &current, document),
        Err(_) => Failure::Conflict {
            expected,
            found: expected + 1,
            change: None,
            differences: None,
        },
    }
}

/// Queries all hosts until each has `version` or a newer one in force; returns their number.
async fn wait_until_in_force(
    context: &Context,
    version: u64,
    wait: Duration,
) -> Result<usize, Failure> {
    let deadline = Instant::now() + wait;
    loop {
        let (count, lagging) = query_hosts(context, version).await?;
        if lagging.is_empty() {
            return Ok(count);
        }
        if Instant::now() + POLL_INTERVAL >= deadline {
            return Err(Failure::Lagging {
                version,
                hosts: lagging,
            });
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Queries all hosts once; returns their number and those on which the version is not in force.
async fn query_hosts(
    context: &Context,
    version: u64,
) -> Result<(usize, Vec<LaggingHost>), Failure> {
    let hosts = match Host::list_members(context.platform()?).await {
        Ok(hosts) if !hosts.is_empty() => hosts,
        Ok(_) => {
            return Ok((
                0,
                vec![lagging_host(
                    "all",
                    "the membership list has no host".to_owned(),
                )],
            ));
        }
        Err(failure) => return Ok((0, vec![lagging_host("all", failure.to_string())])),
    };
    let count = hosts.len();
    let mut lagging = Vec::new();
    for (host, answer) in context.hosts.query_statuses(hosts).await {
        if let Some(reason) = lagging_reason(&host, answer, version) {
            lagging.push(lagging_host(&host.name, reason));
        }
    }
    Ok((count, lagging))
}

/// Why the version is not in force on a host; `None` if it is, or if the host has stopped.
fn lagging_reason(
    host: &Host,
    answer: Result<HostStatus, HostError>,
    version: u64,
) -> Option<String> {
    match answer {
        Ok(status) if status.version >= version => None,
        Ok(status) => Some(format!("has version {}", status.version)),
        // The membership list may be stale: a leaving host that refuses connections has stopped.
        Err(HostError::Connection(_)) if host.state == MemberState::Leaving => None,
        Err(err) => Some(err.to_string()),
    }
}

fn lagging_host(host: &str, reason: String) -> LaggingHost {
    LaggingHost {
        host: host.to_owned(),
        reason,
    }
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX))
}
