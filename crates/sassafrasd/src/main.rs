//! `sassafrasd`, the daemon of every entry host.
//!
//! A request is accepted by [`server`], validated by [`inbound`] and routed by [`route`]. It is
//! sent either to another host by [`forward`] or to its target by [`dispatch`]. In the background
//! [`sync`] keeps the table up to date, [`driver`] runs the ownership state machines, and
//! [`planner`] balances load. Locks are taken in the order that [`host`] states.

mod answer_buffer;
mod body;
mod budgets;
mod changes;
mod channel;
mod claims;
mod clock;
mod coalesce;
mod crash;
mod dispatch;
mod driver;
mod exchange;
#[cfg(test)]
mod fake;
mod forward;
mod gateway_target;
mod grants;
mod host;
mod inbound;
mod inputs;
mod link;
mod load;
mod metrics;
mod mode;
mod moves;
mod operators;
mod peer_server;
mod peers;
mod planner;
mod probe;
mod progress;
mod pump;
mod rates;
mod route;
mod server;
mod settings;
mod stop;
mod sweep;
mod sync;
mod view;
mod votes;

use std::{path::PathBuf, process::ExitCode, sync::Arc};

use getopts::Options;

use crate::{host::Host, mode::Mode, settings::Settings};

/// Exit code when the arguments or the settings are not valid.
const EXIT_INVALID: u8 = 1;

/// Exit code when an address cannot be bound.
const EXIT_NOT_BOUND: u8 = 3;

fn main() -> ExitCode {
    let mut options = Options::new();
    options.reqopt(
        "s",
        "settings",
        "YAML file with the host's settings",
        "FILE",
    );
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    let args: Vec<String> = std::env::args().skip(1).collect();
    let usage = options.usage(
        "Usage: sassafrasd --settings FILE\n\n\
         Runs the daemon of one entry host until SIGTERM or SIGINT, then lets the requests in \
         flight end.\nExit codes: 0 stopped as asked, 1 arguments or settings are not valid, \
         3 an address cannot be bound.",
    );
    if args.iter().any(|it| it == "-h" || it == "--help") {
        println!("{usage}");
        return ExitCode::SUCCESS;
    }
    if args.iter().any(|it| it == "-V" || it == "--version") {
        println!("sassafrasd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let path = match options.parse(&args) {
        Ok(matches) if matches.free.is_empty() => matches.opt_str("settings").unwrap_or_default(),
        Ok(matches) => {
            eprintln!(
                "sassafrasd: unexpected argument {:?}\n\n{usage}",
                matches.free[0]
            );
            return ExitCode::from(EXIT_INVALID);
        }
        Err(err) => {
            eprintln!("sassafrasd: {err}\n\n{usage}");
            return ExitCode::from(EXIT_INVALID);
        }
    };
    let mode = match Mode::read(&PathBuf::from(path)) {
        Ok(mode) => mode,
        Err(err) => {
            eprintln!("sassafrasd: {err}");
            return ExitCode::from(EXIT_INVALID);
        }
    };
    mode.run()
}

async fn run(settings: Settings) -> ExitCode {
    let host = Arc::new(Host::new(settings));
    let peers = peer_server::bind(Arc::clone(&host)).await;
    let data = server::bind(host.settings.data).await;
    let operators = server::bind(host.settings.operators).await;
    let (peers, data, operators) = match (peers, data, operators) {
        (Ok(peers), Ok(data), Ok(operators)) => (peers, data, operators),
        (peers, data, operators) => {
            let errors = [peers.err(), data.err(), operators.err()];
            for err in errors.into_iter().flatten() {
                log::error!("an address cannot be bound: {err}");
            }
            return ExitCode::from(EXIT_NOT_BOUND);
        }
    };
    log::info!(data_centre = &*host.settings.data_centre; "started");
    tokio::spawn(peers);
    tokio::spawn(operators::run(Arc::clone(&host), operators));
    tokio::spawn(sync::run_members(Arc::clone(&host)));
    tokio::spawn(sync::run(Arc::clone(&host)));
    tokio::spawn(driver::run(Arc::clone(&host)));
    tokio::spawn(planner::run(Arc::clone(&host)));
    tokio::spawn(planner::run_voter_guard(Arc::clone(&host)));
    let claims_host = Arc::clone(&host);
    tokio::spawn(async move { claims_host.claims.run(&claims_host.clock).await });
    let claims_host = Arc::clone(&host);
    tokio::spawn(async move { claims_host.claims.run_lookups(&claims_host.clock).await });
    let stop = stop::wait_for_stop(Arc::clone(&host));
    server::run(Arc::clone(&host), data, stop).await;
    host.claims.flush().await;
    log::info!("stopped");
    ExitCode::SUCCESS
}
