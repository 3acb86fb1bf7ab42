//! `history`: lists the versions of the document.

use crate::{
    context::Context,
    failure::Failure,
    report::{HistoryEntry, Report},
};

/// Reads the newest `limit` versions.
pub(crate) async fn run(context: &Context, limit: u64) -> Result<Report, Failure> {
    let store = context.store()?;
    let current = store.read_current().await?.version();
    let mut versions = Vec::new();
    for version in (1..=current)
        .rev()
        .take(usize::try_from(limit).unwrap_or(usize::MAX))
    {
        let Some(stored) = store.read_version(version).await? else {
            continue;
        };
        versions.push(HistoryEntry {
            version,
            change: stored.change,
            time: stored.time,
            bytes: stored.text.len(),
        });
    }
    Ok(Report::History { versions })
}
