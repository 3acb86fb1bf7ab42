//! `explain`: explains how a request ended, from the hosts' logs.

use std::{fs::File, io::BufReader};

use crate::{
    explain::{Explanation, read_log},
    failure::Failure,
    report::Report,
};

/// Joins the log lines in `files` that concern `request`.
///
/// # Errors
///
/// Fails if a file cannot be read or no line contains the request.
pub(crate) fn run(request: &str, files: &[String]) -> Result<Report, Failure> {
    let mut lines = Vec::new();
    for file in files {
        let log = match file.as_str() {
            "-" => read_log(std::io::stdin().lock()),
            path => File::open(path).and_then(|it| read_log(BufReader::new(it))),
        };
        lines.extend(log.map_err(|err| Failure::File {
            file: file.clone(),
            reason: err.to_string(),
        })?);
    }
    let explanation = Explanation::new(lines, request);
    if explanation.request_lines.is_empty() {
        return Err(Failure::NoRequest {
            request: request.to_owned(),
        });
    }
    Ok(Report::Explain(explanation))
}
