//! Starts a small deployment on this machine with real hosts and stand-ins for platform and
//! targets.

use std::{net::SocketAddr, path::Path};

use getopts::Options;
use testkit::{
    client::{Call, send},
    deployment::Deployment,
    layout::Layout,
    process::run,
};

/// Number of targets that are started for each service.
const TARGETS: usize = 4;

#[tokio::main]
async fn main() {
    let mut options = Options::new();
    options.optflag(
        "",
        "once",
        "send the printed requests, check the answers and stop",
    );
    let usage = options.usage("local [--once] DOCUMENT");
    let Ok(matches) = options.parse(std::env::args().skip(1)) else {
        eprintln!("{usage}");
        std::process::exit(2);
    };
    let [file] = matches.free.as_slice() else {
        eprintln!("{usage}");
        std::process::exit(2);
    };
    let deployment = Deployment::start(Layout::new(Path::new(file), TARGETS)).await;
    let layout = &deployment.layout;
    let service = &layout.document.services[0].name;
    let calls = [
        (deployment.hosts[0].data, layout.get(service, "first")),
        (
            deployment.hosts[2].data,
            layout.post(service, "second", "order-1"),
        ),
    ];
    for (host, call) in &calls {
        println!("{}", curl(*host, call));
    }
    println!("sassafrasctl status --platform {}", deployment.platform);
    if matches.opt_present("once") {
        for (host, call) in &calls {
            let reply = send(*host, call).await;
            let correct = reply
                .as_ref()
                .is_ok_and(|it| deployment.is_correct(call, it));
            assert!(correct, "{call:?} was answered with {reply:?}");
        }
        let platform = deployment.platform.to_string();
        println!(
            "{}",
            run("sassafrasctl", &["status", "--platform", &platform]).await
        );
        println!("both requests were answered by their targets");
        return;
    }
    println!("Press Ctrl-C to stop all processes.");
    if let Err(err) = tokio::signal::ctrl_c().await {
        eprintln!("Ctrl-C cannot be awaited: {err}");
    }
}

/// The command line that sends the call.
fn curl(host: SocketAddr, call: &Call) -> String {
    let mut line = format!("curl -i -X {}", call.method);
    for (name, value) in &call.headers {
        line.extend([" -H '", name, ": ", value, "'"]);
    }
    if !call.body.is_empty() {
        line.extend([" -d '", &String::from_utf8_lossy(&call.body), "'"]);
    }
    line + &format!(" -o answer http://{host}{}", call.path)
}
