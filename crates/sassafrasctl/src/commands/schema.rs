//! `schema`: prints the JSON Schema of documents.

use crate::report::Report;

/// Returns the schema.
pub(crate) fn run() -> Report {
    Report::Schema {
        schema: document::schema(),
    }
}
