//! The operators' command-line client.
//!
//! Operators control a deployment only through its document. This client validates documents,
//! applies them with compare-and-swap, reads the status of the hosts, and explains requests from
//! the hosts' logs. See `--help`.

mod args;
mod command;
mod commands;
mod commit;
mod context;
mod explain;
mod failure;
mod help;
mod hosts;
mod input;
mod output;
mod report;
mod status;
mod store;
mod text;

use std::process::ExitCode;

use args::Invocation;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let invocation = match args::parse(std::env::args().skip(1)) {
        Ok(it) => it,
        Err(failure) => return output::print_failure(output::Format::Text, &failure),
    };
    let arguments = match invocation {
        Invocation::Print(text) => return output::print_text(&text),
        Invocation::Run(it) => it,
    };
    let format = arguments.format;
    match commands::run(arguments).await {
        Ok(report) => output::print_report(format, &report),
        Err(failure) => output::print_failure(format, &failure),
    }
}
