//! Stand-in for the platform (docs/design.md, section 7.1).

use getopts::Options;
use testkit::{
    serve::{accept_all, announce, bind, listen_address},
    store::PlatformServer,
};

#[tokio::main]
async fn main() {
    let mut options = Options::new();
    options.optopt("", "listen", "address to listen on", "IP:PORT");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(it) => it,
        Err(err) => {
            eprintln!("{err}\n{}", options.usage("platform"));
            std::process::exit(2);
        }
    };
    let listener = bind(&listen_address(matches.opt_str("listen"))).await;
    announce(&listener, None);
    let server = PlatformServer::default();
    accept_all(listener, move |request| server.clone().answer(request)).await;
}
