//! The commands, one module each.

mod apply;
mod check;
mod diff;
mod explain;
mod history;
mod owner;
mod schema;
mod show;
mod status;

use crate::{
    args::Arguments, command::Command, context::Context, failure::Failure, report::Report,
};

/// Runs a command.
pub(crate) async fn run(arguments: Arguments) -> Result<Report, Failure> {
    let context = Context::new(&arguments);
    match arguments.command {
        Command::Check { file } => check::run(&file),
        Command::Diff { file } => diff::run(&context, &file).await,
        Command::Apply(it) => apply::run(&context, &it).await,
        Command::Show { version } => show::run(&context, version).await,
        Command::History { limit } => history::run(&context, limit).await,
        Command::Status => status::run(&context).await,
        Command::Owner { service, key } => owner::run(&context, &service, &key).await,
        Command::Explain { request, files } => explain::run(&request, &files),
        Command::Schema => Ok(schema::run()),
    }
}
