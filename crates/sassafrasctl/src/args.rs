//! Command-line arguments.

use std::{net::SocketAddr, str::FromStr, time::Duration};

use getopts::{Matches, Options};

use crate::{
    command::{Apply, Command},
    failure::Failure,
    help::{self, USAGES, Usage},
    output::Format,
};

/// Maximum waiting time in seconds; larger values are taken for typing errors.
const WAIT_LIMIT_S: u64 = 3_600;

/// Maximum number of versions in one listing.
const HISTORY_LIMIT: u64 = 10_000;

/// What the program is to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Invocation {
    /// Print a text.
    Print(String),
    /// Run a command.
    Run(Arguments),
}

/// A command with the options that are common to all commands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Arguments {
    /// Address of the platform.
    pub(crate) platform: Option<SocketAddr>,
    /// Operators' addresses of hosts to query instead of those in the membership list.
    pub(crate) hosts: Vec<SocketAddr>,
    /// Format of the output.
    pub(crate) format: Format,
    /// The command.
    pub(crate) command: Command,
}

/// Parses the arguments after the program's name.
///
/// # Errors
///
/// Fails with [`Failure::Arguments`].
pub(crate) fn parse(args: impl Iterator<Item = String>) -> Result<Invocation, Failure> {
    let matches = options()
        .parse(args)
        .map_err(|err| invalid(err.to_string()))?;
    if matches.opt_present("version") {
        let version = env!("CARGO_PKG_VERSION");
        return Ok(Invocation::Print(format!("sassafrasctl {version}\n")));
    }
    let Some((name, rest)) = matches.free.split_first() else {
        if matches.opt_present("help") {
            return Ok(Invocation::Print(help::overview()));
        }
        return Err(invalid("a command is missing; see sassafrasctl --help"));
    };
    let usage = Usage::find(name).ok_or_else(|| {
        let names: Vec<_> = USAGES.iter().map(|it| it.name).collect();
        invalid(format!(
            "there is no command {name:?}; use one of {}",
            names.join(", ")
        ))
    })?;
    if matches.opt_present("help") {
        return Ok(Invocation::Print(usage.text()));
    }
    check_options(usage, &matches)?;
    if !usage.accepts(rest.len()) {
        return Err(invalid(format!(
            "{name} takes {} arguments but got {}; see sassafrasctl {name} --help",
            usage.arguments.len(),
            rest.len()
        )));
    }
    Ok(Invocation::Run(Arguments {
        platform: parse_option(&matches, "platform")?,
        hosts: matches
            .opt_strs("host")
            .iter()
            .map(|it| parse_value("host", it))
            .collect::<Result<_, _>>()?,
        format: parse_option(&matches, "output")?.unwrap_or_default(),
        command: parse_command(name, rest, &matches)?,
    }))
}

fn options() -> Options {
    let mut options = Options::new();
    options
        .optopt("", "platform", "", "IP:PORT")
        .optopt("", "output", "", "text|json")
        .optflag("h", "help", "")
        .optflag("", "version", "")
        .optopt("", "expect", "", "VERSION")
        .optopt("", "settle", "", "SECONDS")
        .optopt("", "wait", "", "SECONDS")
        .optopt("", "version-number", "", "N")
        .optopt("", "limit", "", "N")
        .optmulti("", "host", "", "IP:PORT");
    options
}

fn check_options(usage: &Usage, matches: &Matches) -> Result<(), Failure> {
    let specific = USAGES.iter().flat_map(|it| it.options);
    for option in specific {
        if matches.opt_present(option) && !usage.options.contains(option) {
            return Err(invalid(format!(
                "--{option} is not an option of {}; see sassafrasctl {0} --help",
                usage.name
            )));
        }
    }
    Ok(())
}

fn parse_command(name: &str, rest: &[String], matches: &Matches) -> Result<Command, Failure> {
    let file = || rest[0].clone();
    Ok(match name {
        "check" => Command::Check { file: file() },
        "diff" => Command::Diff { file: file() },
        "apply" => Command::Apply(Apply {
            file: file(),
            expect: parse_option(matches, "expect")?.ok_or_else(|| {
                invalid("apply needs --expect VERSION, the version in force; see sassafrasctl show")
            })?,
            settle: parse_seconds(matches, "settle", 20)?,
            wait: parse_seconds(matches, "wait", 10)?,
        }),
        "show" => Command::Show {
            version: parse_option(matches, "version-number")?,
        },
        "history" => Command::History {
            limit: parse_option(matches, "limit")?
                .unwrap_or(20)
                .min(HISTORY_LIMIT),
        },
        "status" => Command::Status,
        "owner" => Command::Owner {
            service: rest[0].clone(),
            key: rest[1].clone(),
        },
        "explain" => Command::Explain {
            request: rest[0].clone(),
            files: rest[1..].to_vec(),
        },
        _ => Command::Schema,
    })
}

fn parse_seconds(matches: &Matches, name: &str, default: u64) -> Result<Duration, Failure> {
    let seconds = parse_option(matches, name)?.unwrap_or(default);
    if seconds > WAIT_LIMIT_S {
        return Err(invalid(format!(
            "--{name} is {seconds} s, but must be at most {WAIT_LIMIT_S} s"
        )));
    }
    Ok(Duration::from_secs(seconds))
}

fn parse_option<T: FromStr>(matches: &Matches, name: &str) -> Result<Option<T>, Failure> {
    matches
        .opt_str(name)
        .map(|it| parse_value(name, &it))
        .transpose()
}

fn parse_value<T: FromStr>(name: &str, text: &str) -> Result<T, Failure> {
    let expected = match name {
        "platform" | "host" => "an IP address and a port",
        "output" => "text or json",
        _ => "a whole number",
    };
    text.parse()
        .map_err(|_| invalid(format!("--{name} is {text:?}, but must be {expected}")))
}

fn invalid(message: impl Into<String>) -> Failure {
    Failure::Arguments(message.into())
}
