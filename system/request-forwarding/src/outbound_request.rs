//! A request in the form in which it is sent to endpoints.

use crate::headers::{self, DEADLINE_REMAINING, EXPECT_INSTANCE};
use crate::pool::RequestNumber;
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::request::Builder;
use hyper::{Method, Request};
use tokio::time::Instant;

pub(crate) struct OutboundRequest {
    pub(crate) number: RequestNumber,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) attempt_id: String,
    pub(crate) deadline: Instant,
}

impl OutboundRequest {
    /// The head for a send to this incarnation, with the remaining time until the deadline.
    pub(crate) fn head(&self, instance: &str) -> Builder {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let mut builder = Request::builder().method(self.method.clone()).uri(self.path.as_str());
        if let Some(headers) = builder.headers_mut() {
            headers.clone_from(&self.headers);
            headers.insert(DEADLINE_REMAINING, headers::value(remaining.as_millis() as u64));
            if let Ok(instance) = HeaderValue::from_str(instance) {
                headers.insert(EXPECT_INSTANCE, instance);
            }
        }
        builder
    }
}
