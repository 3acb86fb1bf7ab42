//! HTTP client of the platform.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use displaydoc::Display;
use http::{HeaderValue, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

use crate::{Commit, CommitResult, Committed, Conflicts, Members, Row, RowPage};

/// Maximum size of an answer of the platform in bytes.
const ANSWER_LIMIT_BYTES: usize = 64 << 20;

/// Maximum number of rows in one page of a read.
const PAGE_ROWS: usize = 2_000;

/// Why a read from the platform failed.
#[derive(Debug, Display, Error)]
pub enum PlatformError {
    /// the platform did not answer within {0:?}
    Timeout(Duration),
    /// the connection to the platform failed: {0}
    Connection(String),
    /// the platform answered with status {0}
    Status(StatusCode),
    /// the platform's answer cannot be read: {0}
    Answer(String),
}

/// A client of the platform, cheap to clone.
#[derive(Clone, Debug)]
pub struct Platform {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl Platform {
    /// Creates a client of the platform at `address`; each call takes at most `timeout`.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_secs(5))
            .build(connector);
        Self {
            address,
            client,
            timeout,
        }
    }

    /// Sends a transaction.
    ///
    /// The result is [`CommitResult::Unknown`] unless the answer says that the transaction was
    /// applied or rejected. Sending the same transaction again determines the result, provided that
    /// its conditions allow it to be applied only once.
    pub async fn commit(&self, commit: &Commit) -> CommitResult {
        let Ok((status, body)) = self
            .call(Method::POST, "/table/commit", json_body(commit))
            .await
        else {
            return CommitResult::Unknown;
        };
        match status {
            StatusCode::OK => match serde_json::from_slice::<Committed>(&body) {
                Ok(it) => CommitResult::Applied { rev: it.rev },
                Err(_) => CommitResult::Unknown,
            },
            StatusCode::CONFLICT => match serde_json::from_slice::<Conflicts>(&body) {
                Ok(it) => CommitResult::NotApplied {
                    conflicts: it.conflicts,
                },
                Err(_) => CommitResult::Unknown,
            },
            // The platform rejected the transaction and will not apply it.
            StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE => CommitResult::NotApplied {
                conflicts: Vec::new(),
            },
            _ => CommitResult::Unknown,
        }
    }

    /// Reads one page of the rows written after revision `after`. The platform leaves out claims of
    /// idempotency keys and versions of the document.
    ///
    /// # Errors
    ///
    /// Fails if the platform is down, slow or answers with anything but a page.
    pub async fn rows_after(&self, after: u64) -> Result<RowPage, PlatformError> {
        self.get(&format!("/table/rows?after={after}&limit={PAGE_ROWS}"))
            .await
    }

    /// Reads the rows whose names start with `prefix`, in the order of their revisions, and at most
    /// the first `limit` of them. Includes the rows that [`rows_after`](Self::rows_after) leaves
    /// out.
    ///
    /// # Errors
    ///
    /// Fails if the platform is down, slow or answers with anything but a page.
    pub async fn rows_under(&self, prefix: &str, limit: usize) -> Result<RowPage, PlatformError> {
        self.get(&format!("/table/rows?under={prefix}&limit={limit}"))
            .await
    }

    /// Reads one row; `None` if it is absent.
    ///
    /// # Errors
    ///
    /// Fails if the platform is down, slow or answers with anything but a row.
    pub async fn row(&self, name: &str) -> Result<Option<Row>, PlatformError> {
        match self.get(&format!("/table/row/{name}")).await {
            Ok(row) => Ok(Some(row)),
            Err(PlatformError::Status(StatusCode::NOT_FOUND)) => Ok(None),
            Err(err) => Err(err),
        }
    }

    /// Stores an object.
    ///
    /// # Errors
    ///
    /// Fails if the platform is down or slow; the object may still have been stored.
    pub async fn put_object(&self, name: &str, bytes: Bytes) -> Result<(), PlatformError> {
        let (status, _) = self
            .call(Method::PUT, &format!("/objects/{name}"), bytes)
            .await?;
        if status.is_success() {
            Ok(())
        } else {
            Err(PlatformError::Status(status))
        }
    }

    /// Reads an object; `None` if it is absent.
    ///
    /// # Errors
    ///
    /// Fails if the platform is down or slow.
    pub async fn object(&self, name: &str) -> Result<Option<Bytes>, PlatformError> {
        let (status, body) = self
            .call(Method::GET, &format!("/objects/{name}"), Bytes::new())
            .await?;
        match status {
            StatusCode::OK => Ok(Some(body)),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(PlatformError::Status(status)),
        }
    }

    /// Reads the membership list.
    ///
    /// # Errors
    ///
    /// Fails if the platform is down, slow or answers with anything but a list.
    pub async fn members(&self) -> Result<Members, PlatformError> {
        self.get("/members").await
    }

    /// Reads the membership list if its entity tag is no longer `tag`; returns `None` if it is
    /// unchanged. Replaces `tag` with the entity tag of the list that was read.
    ///
    /// # Errors
    ///
    /// Fails if the platform is down, slow or answers with anything but a list.
    pub async fn changed_members(
        &self,
        tag: &mut Option<HeaderValue>,
    ) -> Result<Option<Members>, PlatformError> {
        let answer = self
            .exchange(Method::GET, "/members", tag.as_ref(), Bytes::new())
            .await?;
        match answer.status() {
            StatusCode::NOT_MODIFIED if tag.is_some() => return Ok(None),
            StatusCode::OK => {}
            status => return Err(PlatformError::Status(status)),
        }
        let members = parse(answer.body())?;
        *tag = answer.headers().get(header::ETAG).cloned();
        Ok(Some(members))
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, PlatformError> {
        let (status, body) = self.call(Method::GET, path, Bytes::new()).await?;
        if status != StatusCode::OK {
            return Err(PlatformError::Status(status));
        }
        parse(&body)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let answer = self.exchange(method, path, None, body).await?;
        Ok((answer.status(), answer.into_body()))
    }

    /// Sends a request. If `tag` is given, the request is conditional: the answer is 304 if the
    /// resource still has this entity tag.
    async fn exchange(
        &self,
        method: Method,
        path: &str,
        tag: Option<&HeaderValue>,
        body: Bytes,
    ) -> Result<Response<Bytes>, PlatformError> {
        let uri: Uri = format!("http://{}{path}", self.address)
            .parse()
            .map_err(|err: http::uri::InvalidUri| PlatformError::Connection(err.to_string()))?;
        let mut request = Request::builder()
            .method(method)
            .uri(uri)
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(tag) = tag {
            request = request.header(header::IF_NONE_MATCH, tag);
        }
        let request = request
            .body(Full::new(body))
            .map_err(|err| PlatformError::Connection(err.to_string()))?;
        let exchange = async {
            let answer = self
                .client
                .request(request)
                .await
                .map_err(|err| PlatformError::Connection(err.to_string()))?;
            let (head, body) = answer.into_parts();
            let body = Limited::new(body, ANSWER_LIMIT_BYTES)
                .collect()
                .await
                .map_err(|err| PlatformError::Answer(err.to_string()))?;
            Ok(Response::from_parts(head, body.to_bytes()))
        };
        tokio::time::timeout(self.timeout, exchange)
            .await
            .unwrap_or(Err(PlatformError::Timeout(self.timeout)))
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|err| PlatformError::Answer(err.to_string()))
}

fn json_body<T: Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value)
        .map(Bytes::from)
        .expect("rows serialise to JSON")
}

#[cfg(test)]
mod tests;
