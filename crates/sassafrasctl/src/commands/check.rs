//! `check`: validates a file.

use crate::{failure::Failure, input, report::Report};

/// Validates the document in `file`.
pub(crate) fn run(file: &str) -> Result<Report, Failure> {
    let (_, document) = input::read(file)?;
    Ok(Report::Check {
        file: file.to_owned(),
        name: document.name.to_string(),
        services: document.services.len(),
        targets: document.services.iter().map(|it| it.targets.len()).sum(),
    })
}
