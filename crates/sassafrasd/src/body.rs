//! Bodies of answers.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use refusal::Refusal;

/// Error of a body that was truncated.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Body of an answer, which is in memory or streamed.
pub type Body = BoxBody<Bytes, BodyError>;

/// Header that marks an answer as a refusal by a host or a target.
pub const REFUSED: &str = "sassafras-refused";

/// Header that says whether a refused request may have run.
pub const RAN: &str = "sassafras-ran";

/// Header of an answer that is the recorded outcome of an earlier request.
pub const REPLAYED: &str = "sassafras-replayed";

/// A body that is completely in memory.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// The answer that carries a refusal.
pub fn refuse(refusal: &Refusal) -> Response<Body> {
    let json = serde_json::to_vec(refusal).expect("a refusal is serialisable");
    let mut response = Response::new(full(json));
    *response.status_mut() = StatusCode::from_u16(refusal.reason.status())
        .expect("statuses of refusals are valid HTTP statuses");
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    headers.insert(REFUSED, HeaderValue::from_static(refusal.reason.label()));
    let ran = match refusal.ran {
        refusal::Ran::NotRun => "not_run",
        refusal::Ran::Unknown => "unknown",
    };
    headers.insert(RAN, HeaderValue::from_static(ran));
    if let Some(retry_ms) = refusal.retry_ms {
        headers.insert(
            header::RETRY_AFTER,
            HeaderValue::from(retry_ms.div_ceil(1_000)),
        );
    }
    response
}
