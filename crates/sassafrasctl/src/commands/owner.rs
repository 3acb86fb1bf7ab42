//! `owner`: looks up the owner of a key.

use http::StatusCode;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use platform::MemberState;

use crate::{
    context::Context,
    failure::Failure,
    hosts::{Host, HostError},
    report::Report,
};

/// Maximum number of hosts to query; if none of them answers, the hosts are taken to be unreachable
/// from here.
const HOST_LIMIT: usize = 10;

/// Queries hosts one after the other until one of them answers.
pub(crate) async fn run(context: &Context, service: &str, key: &str) -> Result<Report, Failure> {
    let mut hosts = Host::select(context).await?;
    hosts.sort_by_key(|it| it.state == MemberState::Leaving);
    let path = format!("/owner?service={}&key={}", encode(service), encode(key));
    let mut last_error = String::new();
    for host in hosts.iter().take(HOST_LIMIT) {
        match context.hosts.get(host, &path).await {
            Ok(owner) => return Ok(Report::Owner(owner)),
            Err(HostError::Status(StatusCode::BAD_REQUEST | StatusCode::NOT_FOUND, message)) => {
                return Err(Failure::Arguments(format!(
                    "{} does not know service {service:?} or key {key:?}: {message}",
                    host.name
                )));
            }
            Err(err) => last_error = format!("{}: {err}", host.name),
        }
    }
    Err(Failure::Unreachable(format!(
        "none of the queried hosts returned the owner; the last error was {last_error}"
    )))
}

fn encode(text: &str) -> String {
    utf8_percent_encode(text, NON_ALPHANUMERIC).to_string()
}
