//! HTTP client for the operators' ports of hosts.

use std::{error::Error, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use displaydoc::Display;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use platform::{Member, MemberKind, MemberState, Platform};
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::task::JoinSet;

use crate::{context::Context, failure::Failure, status::HostStatus, store::platform_failure};

/// Timeout of one call to a host.
const HOST_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of a host's answer in bytes.
const ANSWER_LIMIT_BYTES: usize = 16 << 20;

/// Maximum length of an error message that is shown, in characters.
const MESSAGE_LIMIT_CHARS: usize = 200;

/// A host to query.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Host {
    /// The name, or the address if the host was given on the command line.
    pub(crate) name: Arc<str>,
    /// Address of the operators' port, if the membership list has it.
    pub(crate) address: Option<SocketAddr>,
    /// State in the membership list.
    pub(crate) state: MemberState,
}

impl Host {
    /// The hosts given on the command line, or else those in the membership list, by name.
    ///
    /// # Errors
    ///
    /// Fails if the arguments contain no address of the platform or of a host, the platform cannot
    /// be reached, or its list has no host.
    pub(crate) async fn select(context: &Context) -> Result<Vec<Self>, Failure> {
        if !context.host_addresses.is_empty() {
            return Ok(context
                .host_addresses
                .iter()
                .copied()
                .map(Self::from_address)
                .collect());
        }
        let hosts = Self::list_members(context.platform()?).await?;
        if hosts.is_empty() {
            return Err(Failure::Unreachable(
                "the membership list has no host".to_owned(),
            ));
        }
        Ok(hosts)
    }

    /// The hosts in the membership list, by name.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be reached.
    pub(crate) async fn list_members(platform: &Platform) -> Result<Vec<Self>, Failure> {
        let members = platform
            .members()
            .await
            .map_err(|err| platform_failure(&err))?;
        let hosts = members.members.into_iter();
        let mut hosts: Vec<_> = hosts
            .filter(|it| it.kind == MemberKind::Host)
            .map(Self::from)
            .collect();
        hosts.sort_by(|left, right| left.name.cmp(&right.name));
        Ok(hosts)
    }

    fn from_address(address: SocketAddr) -> Self {
        Self {
            name: address.to_string().into(),
            address: Some(address),
            state: MemberState::Live,
        }
    }
}

impl From<Member> for Host {
    fn from(member: Member) -> Self {
        Self {
            name: member.name,
            address: member.operators,
            state: member.state,
        }
    }
}

/// Why a host did not answer as expected.
#[derive(Debug, Display, thiserror::Error)]
pub(crate) enum HostError {
    /// no answer within {0:?}
    Timeout(Duration),
    /// not reachable: {0}
    Connection(String),
    /// HTTP status {0}: {1}
    Status(StatusCode, String),
    /// the answer cannot be read: {0}
    InvalidAnswer(String),
    /// the membership list has no operators' address for the host
    NoAddress,
}

/// A client of all hosts, cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct HostClient {
    client: Client<HttpConnector, Empty<Bytes>>,
}

impl HostClient {
    pub(crate) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(HOST_TIMEOUT));
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Queries the status of all hosts concurrently; the results are in the order of `hosts`.
    pub(crate) async fn query_statuses(
        &self,
        hosts: Vec<Host>,
    ) -> Vec<(Host, Result<HostStatus, HostError>)> {
        let mut calls = JoinSet::new();
        for (index, host) in hosts.into_iter().enumerate() {
            let client = self.clone();
            calls.spawn(async move {
                let answer = client.get(&host, "/status").await;
                (index, host, answer)
            });
        }
        let mut answers = calls.join_all().await;
        answers.sort_by_key(|(index, ..)| *index);
        answers
            .into_iter()
            .map(|(_, host, answer)| (host, answer))
            .collect()
    }

    /// Sends a GET request for `path` to a host.
    ///
    /// # Errors
    ///
    /// Fails if the host does not answer in time, or its answer is not a value of type `T`.
    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        host: &Host,
        path: &str,
    ) -> Result<T, HostError> {
        let address = host.address.ok_or(HostError::NoAddress)?;
        let request = Request::get(format!("http://{address}{path}"))
            .body(Empty::new())
            .map_err(|err| HostError::Connection(err.to_string()))?;
        let exchange = async {
            let answer = self
                .client
                .request(request)
                .await
                .map_err(|err| HostError::Connection(innermost_message(&err)))?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), ANSWER_LIMIT_BYTES)
                .collect()
                .await
                .map_err(|err| HostError::InvalidAnswer(err.to_string()))?;
            Ok((status, body.to_bytes()))
        };
        let (status, body) = tokio::time::timeout(HOST_TIMEOUT, exchange)
            .await
            .unwrap_or(Err(HostError::Timeout(HOST_TIMEOUT)))?;
        if status != StatusCode::OK {
            return Err(HostError::Status(status, error_message(&body)));
        }
        serde_json::from_slice(&body).map_err(|err| HostError::InvalidAnswer(err.to_string()))
    }
}

/// The message in the body of an error answer: the `error` of a JSON object, or the text.
fn error_message(body: &[u8]) -> String {
    let json: Option<Value> = serde_json::from_slice(body).ok();
    let text = match json.as_ref().and_then(|it| it["error"].as_str()) {
        Some(error) => error.to_owned(),
        None => String::from_utf8_lossy(body).trim().to_owned(),
    };
    text.chars().take(MESSAGE_LIMIT_CHARS).collect()
}

/// The message of the innermost error; the HTTP client's outer errors add no information.
fn innermost_message(err: &dyn Error) -> String {
    let mut err = err;
    while let Some(source) = err.source() {
        err = source;
    }
    err.to_string()
}
