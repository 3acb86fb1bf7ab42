//! Writes results to standard output and failures to standard error.

use std::{
    io::{self, Write},
    process::ExitCode,
    str::FromStr,
};

use serde::Serialize;

use crate::{failure::Failure, report::Report, text};

/// Format of the output.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Format {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object on standard output, for a result or a failure.
    Json,
}

impl FromStr for Format {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(()),
        }
    }
}

/// Prints a text without changes.
pub(crate) fn print_text(text: &str) -> ExitCode {
    write(io::stdout(), text);
    ExitCode::SUCCESS
}

/// Prints a result.
pub(crate) fn print_report(format: Format, report: &Report) -> ExitCode {
    match (format, report) {
        (Format::Json, _) => print_json(report),
        (Format::Text, Report::Show(stored)) => {
            write(io::stderr(), &text::format_version_line(stored));
            write(io::stdout(), &stored.text);
        }
        (Format::Text, _) => write(io::stdout(), &text::format_report(report)),
    }
    ExitCode::SUCCESS
}

/// Prints a failure and returns its exit code.
pub(crate) fn print_failure(format: Format, failure: &Failure) -> ExitCode {
    match format {
        Format::Json => print_json(failure),
        Format::Text => write(io::stderr(), &text::format_failure(failure)),
    }
    ExitCode::from(failure.code())
}

fn print_json<T: Serialize>(value: &T) {
    let text = serde_json::to_string_pretty(value)
        .expect("reports and failures can be represented as JSON");
    write(io::stdout(), &(text + "\n"));
}

/// Writes `text`. Errors are ignored: a reader such as `head` may have closed the pipe.
fn write(mut stream: impl Write, text: &str) {
    let _ = stream
        .write_all(text.as_bytes())
        .and_then(|()| stream.flush());
}
