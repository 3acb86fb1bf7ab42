//! `diff`: compares a file with the document in force.

use document::{Difference, Document};
use serde_json::json;

use crate::{context::Context, failure::Failure, input, report::Report, store::StoredVersion};

/// Compares the document in `file` with the one in force.
pub(crate) async fn run(context: &Context, file: &str) -> Result<Report, Failure> {
    let (_, document) = input::read(file)?;
    let current = context.store()?.read_current().await?;
    let version = current.version();
    let differences = match &current.stored {
        None => vec![Difference {
            path: "document".to_owned(),
            before: None,
            after: Some(json!(document.name)),
        }],
        Some(stored) => differences_from(stored, &document).ok_or_else(|| {
            Failure::Unreachable(format!(
                "the text of version {version} is not valid for this version of sassafrasctl; \
                 print it with sassafrasctl show"
            ))
        })?,
    };
    Ok(Report::Diff {
        version,
        differences,
    })
}

/// The differences from a stored version to `document`; `None` if the stored text is not valid.
pub(crate) fn differences_from(
    stored: &StoredVersion,
    document: &Document,
) -> Option<Vec<Difference>> {
    Some(document::diff(&stored.document()?, document))
}
