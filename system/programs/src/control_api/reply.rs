//! Replies of the API.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;
use serde_json::json;

/// Value of `Retry-After` with 429 and 503, in seconds.
const RETRY_AFTER_SECONDS: &str = "0.2";

/// The reply to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The body, JSON.
    pub body: Bytes,
    /// Whether the connection ends with this reply.
    pub closes_connection: bool,
}

impl Reply {
    /// A status and a JSON text.
    pub fn new(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self { status, body: body.into(), closes_connection: false }
    }

    /// Not now: another sender may know more.
    pub fn unavailable() -> Self {
        Self::new(StatusCode::SERVICE_UNAVAILABLE, r#"{"error":"no majority of the core answers"}"#)
    }

    /// Status 200 with a JSON value. Serialization into memory fails for no type that is sent.
    pub(super) fn ok(value: &impl Serialize) -> Self {
        Self::new(StatusCode::OK, serde_json::to_vec(value).unwrap_or_default())
    }

    /// A status with a message as the member `error`.
    pub(super) fn error(status: StatusCode, message: &str) -> Self {
        Self::new(status, json!({ "error": message }).to_string())
    }

    /// The response with this status and body.
    pub(super) fn into_response(self) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(self.body));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if matches!(self.status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
            headers.insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_SECONDS));
        }
        if self.closes_connection {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
