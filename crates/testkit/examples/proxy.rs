//! TCP proxy that injects faults on command.

use getopts::Options;
use testkit::{
    proxy::ProxyServer,
    serve::{accept_all, announce, bind, listen_address},
};

#[tokio::main]
async fn main() {
    let mut options = Options::new();
    options
        .optopt("", "listen", "address to listen on", "IP:PORT")
        .optopt("", "control", "address of the control port", "IP:PORT")
        .reqopt("", "to", "address to connect to", "IP:PORT");
    let parsed = options
        .parse(std::env::args().skip(1))
        .map_err(|err| err.to_string());
    let to = parsed
        .as_ref()
        .ok()
        .and_then(|it| it.opt_str("to")?.parse().ok());
    let (Ok(matches), Some(to)) = (&parsed, to) else {
        eprintln!(
            "{}\n{}",
            parsed.err().unwrap_or_default(),
            options.usage("proxy")
        );
        std::process::exit(2);
    };
    let listener = bind(&listen_address(matches.opt_str("listen"))).await;
    let control = bind(&listen_address(matches.opt_str("control"))).await;
    announce(&listener, Some(&control));
    let proxy = ProxyServer::new(to);
    let commands = proxy.clone();
    tokio::spawn(accept_all(control, move |request| {
        commands.clone().control(request)
    }));
    proxy.serve(listener).await;
}
