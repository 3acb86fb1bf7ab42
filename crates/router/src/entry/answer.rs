//! Answers that the router itself generates.

use http::{HeaderValue, Response, header};
use refusal::Refusal;

use super::server::Body;
use crate::node::Node;

/// Header with the label of a refusal's reason.
const REFUSED: &str = "sassafras-refused";

/// Builds the answer for a refusal.
pub fn refuse(node: &Node, refusal: &Refusal) -> Response<Body> {
    let json = serde_json::to_vec(refusal).expect("a refusal has string keys only");
    let mut response = Response::new(Body::from(json));
    *response.status_mut() = (node.profile.status)(refusal);
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    headers.insert(REFUSED, HeaderValue::from_static(refusal.reason.label()));
    if let Some(retry_ms) = refusal.retry_ms {
        let seconds = format!("{}.{:03}", retry_ms / 1_000, retry_ms % 1_000);
        let value = HeaderValue::from_str(&seconds).expect("digits are a valid header value");
        headers.insert(header::RETRY_AFTER, value);
    }
    response
}
