//! Runs one case of the review: `review-standins CASE RECORD`. Exits with 1 if the rule was broken,
//! 0 if it held, and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod backend;
mod deployment;
mod forgotten_crashes;
mod http;
mod json;
mod lapsed_entries;
mod large_bodies;
mod large_heads;
mod ports;
mod record;
mod router;
mod split_poison;
mod store;

use std::{path::Path, process::ExitCode, sync::Arc};

use record::Record;

/// What a case found out.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = &args[..] else {
        eprintln!("usage: review-standins CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let record = match Record::create(Path::new(path)) {
        Ok(record) => Arc::new(record),
        Err(err) => {
            eprintln!("{path} cannot be written: {err}");
            return ExitCode::from(2);
        }
    };
    let verdict = match case.as_str() {
        "large-bodies" => large_bodies::run(&record, trouble),
        "large-heads" => large_heads::run(&record, trouble),
        "forgotten-crashes" => forgotten_crashes::run(&record, trouble),
        "lapsed-entries" => lapsed_entries::run(&record, trouble),
        "split-poison" => split_poison::run(&record, trouble),
        _ => Ok(Verdict::NotRun),
    };
    let (code, text) = match verdict {
        Ok(Verdict::Held) => (0, "the rule held".to_owned()),
        Ok(Verdict::Broken) => (1, "the rule was broken".to_owned()),
        Ok(Verdict::NotRun) => (2, "the case could not run".to_owned()),
        Err(err) => (2, format!("the case could not run: {err}")),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
