//! HTTP/1.1 proxy that forwards every request unchanged; the baseline of the `path` bench.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use getopts::Options;
use http::Uri;
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use testkit::serve::{Closed, accept_all, announce, bind, listen_address, read_body};

#[tokio::main]
async fn main() {
    let mut options = Options::new();
    options.reqopt("", "to", "address to pass requests to", "IP:PORT");
    let parsed = options.parse(std::env::args().skip(1)).ok();
    let to = parsed.and_then(|it| it.opt_str("to")?.parse::<SocketAddr>().ok());
    let Some(to) = to else {
        eprintln!("{}", options.usage("passthrough"));
        std::process::exit(2);
    };
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build(connector);
    let client = Arc::new(client);
    let listener = bind(&listen_address(None)).await;
    announce(&listener, None);
    accept_all(listener, move |request| {
        let client = Arc::clone(&client);
        async move {
            let (mut head, body) = request.into_parts();
            let path = head.uri.path_and_query().ok_or(Closed)?.clone();
            let uri = Uri::builder().scheme("http").authority(to.to_string());
            head.uri = uri.path_and_query(path).build().map_err(|_| Closed)?;
            let request = http::Request::from_parts(head, Full::new(read_body(body).await?));
            let answer = client.request(request).await.map_err(|_| Closed)?;
            Ok(answer.map(|it| it.map_err(|_| Closed).boxed()))
        }
    })
    .await;
}
