//! Stand-in for a target (docs/design.md, section 7.2).

use std::str::FromStr;

use getopts::{Matches, Options};
use testkit::{
    serve::{accept_all, announce, bind, listen_address},
    target::{TargetOptions, TargetServer},
};

#[tokio::main]
async fn main() {
    let mut options = Options::new();
    options
        .optopt("", "listen", "address to listen on", "IP:PORT")
        .optopt("", "control", "address of the control port", "IP:PORT")
        .reqopt("", "service", "the service", "NAME")
        .optopt("", "slots", "maximum concurrent requests", "N")
        .optopt("", "connections", "maximum open connections", "N")
        .optopt("", "checks", "whether grants are checked", "yes|no")
        .optopt(
            "",
            "cold-ms",
            "additional time of the first request of a slice in milliseconds",
            "N",
        )
        .optopt(
            "",
            "work-ms",
            "processing time of each request in milliseconds",
            "N",
        )
        .optopt(
            "",
            "body-bytes",
            "size of the body of each answer in bytes",
            "N",
        )
        .optopt("", "record", "file for the record of requests", "PATH");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(it) => it,
        Err(err) => {
            eprintln!("{err}\n{}", options.usage("target"));
            std::process::exit(2);
        }
    };
    let server = TargetServer::new(TargetOptions {
        service: matches.opt_str("service").unwrap_or_default(),
        slots: number(&matches, "slots", 2),
        connections: number(&matches, "connections", 120),
        checks: matches.opt_str("checks").is_none_or(|it| it == "yes"),
        cold_ms: number(&matches, "cold-ms", 0),
        work_ms: number(&matches, "work-ms", 1),
        body_bytes: number(&matches, "body-bytes", 1_024),
        record: matches.opt_str("record").map(Into::into),
    });
    let listener = bind(&listen_address(matches.opt_str("listen"))).await;
    let control = bind(&listen_address(matches.opt_str("control"))).await;
    announce(&listener, Some(&control));
    let commands = server.clone();
    tokio::spawn(accept_all(control, move |request| {
        commands.clone().control(request)
    }));
    server.serve(listener).await;
}

fn number<T: FromStr>(matches: &Matches, name: &str, default: T) -> T {
    let Some(text) = matches.opt_str(name) else {
        return default;
    };
    text.parse().unwrap_or_else(|_| {
        eprintln!("--{name} needs a number, but got {text:?}");
        std::process::exit(2);
    })
}
