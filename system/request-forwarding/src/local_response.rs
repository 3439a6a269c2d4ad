//! Responses that the proxy generates itself.

use crate::headers::ATTEMPT_ID;
use crate::response_body::ResponseBody;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use message_sender::Span;
use request_routing::{AttemptHistory, GiveUp};
use tokio::time::Instant;

/// `Retry-After` where no better estimate is known.
pub(crate) const DEFAULT_RETRY_AFTER: Span = Span(250_000);

/// A response that the proxy generates itself.
pub(crate) struct LocalResponse {
    pub(crate) status: StatusCode,
    pub(crate) retry_after: Option<Span>,
    pub(crate) close: bool,
}

impl LocalResponse {
    pub(crate) fn new(status: StatusCode) -> Self {
        Self { status, retry_after: None, close: false }
    }

    /// A response after which the connection must be closed.
    pub(crate) fn closing(status: StatusCode) -> Self {
        Self { close: true, ..Self::new(status) }
    }

    /// A 503, which guarantees that the request has not been executed and never will be.
    pub(crate) fn refused(retry_after: Span) -> Self {
        Self { retry_after: Some(retry_after), ..Self::new(StatusCode::SERVICE_UNAVAILABLE) }
    }

    pub(crate) fn response(self, attempt: Option<&str>) -> Response<ResponseBody> {
        let text = self.status.canonical_reason().unwrap_or_default();
        let mut response = Response::new(ResponseBody::complete(text));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(Ok(attempt)) = attempt.map(HeaderValue::from_str) {
            headers.insert(ATTEMPT_ID, attempt);
        }
        if let Some(Span(micros)) = self.retry_after
            && let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", micros as f64 / 1e6))
        {
            headers.insert(RETRY_AFTER, seconds);
        }
        if self.close {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// The response to a request that was given up.
pub(crate) fn response_after_give_up(
    give_up: GiveUp,
    history: &AttemptHistory,
    deadline: Instant,
) -> LocalResponse {
    match give_up {
        GiveUp::Refused { retry_after } if history.execution.guarantees_not_executed() => {
            LocalResponse::refused(retry_after)
        }
        GiveUp::Failed if history.execution.guarantees_not_executed() => {
            LocalResponse::refused(DEFAULT_RETRY_AFTER)
        }
        _ if Instant::now() >= deadline => LocalResponse::new(StatusCode::GATEWAY_TIMEOUT),
        _ => LocalResponse::new(StatusCode::BAD_GATEWAY),
    }
}
