//! `show`: prints a version of the document.

use crate::{context::Context, failure::Failure, report::Report};

/// Reads a version, or the one in force if `version` is `None`.
pub(crate) async fn run(context: &Context, version: Option<u64>) -> Result<Report, Failure> {
    let store = context.store()?;
    let stored = match version {
        Some(version) => store.read_version(version).await?,
        None => store.read_current().await?.stored,
    };
    stored.map(Report::Show).ok_or(Failure::NoVersion {
        version: version.unwrap_or(0),
    })
}
