//! Parsing and validation of a document's text.

use crate::{Document, Problem, limits, location, shape, tree};

/// Maximum number of problems listed; a text can have 500,000, too many to be useful.
const PROBLEM_LIMIT: usize = 1_000;

/// Parses and validates a document.
///
/// # Errors
///
/// Returns the problems of the first stage that fails: the text is not YAML or exceeds a limit (a
/// single problem); then unknown, missing and repeated fields and wrong types; then
/// [`Document::problems`]. Finding a line number requires reading the text once, so in a long text
/// only the first problems have one. If there are very many problems, only the first are listed,
/// and the last entry gives the number of those omitted.
pub fn parse(text: &str) -> Result<Document, Vec<Problem>> {
    limits::check(text).map_err(|it| vec![it])?;
    let mut problems = Vec::new();
    let value = tree::read(text, &mut problems).map_err(|it| vec![it])?;
    shape::check(&value, &mut problems);
    if !problems.is_empty() {
        return Err(locate(text, problems));
    }
    let document: Document = serde_json::from_value(value).map_err(|err| {
        vec![Problem::of_text(
            None,
            &format!("must match the schema: {err}"),
            "compare the text with the schema",
        )]
    })?;
    problems = document.problems();
    if problems.is_empty() {
        return Ok(document);
    }
    Err(locate(text, problems))
}

/// Limits the number of problems, fills in their lines and sorts them by line.
fn locate(text: &str, mut problems: Vec<Problem>) -> Vec<Problem> {
    let omitted = problems.len().saturating_sub(PROBLEM_LIMIT);
    problems.truncate(PROBLEM_LIMIT);
    location::fill_lines(text, &mut problems);
    problems.sort_by_key(|it| (it.line.is_none(), it.line));
    if omitted > 0 {
        problems.push(Problem::of_text(
            None,
            &format!("has {omitted} more problems"),
            "correct the ones listed and check again",
        ));
    }
    problems
}
