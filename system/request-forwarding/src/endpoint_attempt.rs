//! One call of an endpoint.

use crate::headers::{self, ATTEMPT_ID, EXPECT_VERSION, NOT_EXECUTED, SERVER_SEAL};
use crate::outbound_request::OutboundRequest;
use crate::pool::{CallInFlight, EndpointConnection, SharedState};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::{Method, Response, StatusCode};
use message_sender::Span;
use message_sender::net::connection::CallError;
use request_routing::{AttemptHistory, SendOutcome, ServerLoad, Target};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Upper bound on the time to connect to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The endpoint's own answer at its deadline gets so much longer.
pub(crate) const GRACE: Duration = Duration::from_millis(50);

/// What became of one call.
#[expect(
    clippy::large_enum_variant,
    reason = "it is moved once; a box would be an allocation for each answer"
)]
pub(crate) enum AttemptResult {
    /// No connection is free, and none may be opened.
    NoConnection,
    /// It ended without an answer to pass on.
    Ended(SendOutcome),
    /// The head of an answer that belongs to the request.
    Answer(Response<Incoming>, EndpointConnection),
}

impl SharedState {
    /// One call of an endpoint, up to the head of its answer.
    pub(crate) async fn attempt(
        self: &Rc<Self>,
        outgoing: &OutboundRequest,
        target: &Target,
        history: &AttemptHistory,
        call: &mut CallInFlight,
        sends: &mut u32,
    ) -> AttemptResult {
        let core = self;
        let routing_request = call.routing_request().clone();
        let patience = core.router.borrow().attempt_timeout(core.now(), &routing_request, history);
        let whole = outgoing.deadline + GRACE;
        let end =
            patience.map_or(whole, |Span(micros)| whole.min(Instant::now() + Duration::from_micros(micros)));
        let (connection, response) = loop {
            let mut connection = match core.connect(outgoing, target, &routing_request.service).await {
                Ok(connection) => connection,
                Err(result) => return result,
            };
            call.sending();
            let send = connection.connection.send(outgoing.head(&target.instance_id), outgoing.body.clone());
            match timeout_at(end, send).await {
                Ok(Ok(response)) => break (connection, response),
                Ok(Err(CallError::Stale(_))) => {}
                Ok(Err(CallError::Connect(_))) => return AttemptResult::Ended(SendOutcome::ConnectFailed),
                Ok(Err(CallError::Unsent(_) | CallError::Reset(_))) => {
                    let end = SendOutcome::connection_lost(connection.connection.head_written());
                    if end == SendOutcome::ConnectionLost {
                        core.record_idle_reuse(&routing_request.service, &connection, true);
                        self.count_send(sends);
                    }
                    return AttemptResult::Ended(end);
                }
                Err(_) => {
                    let end = SendOutcome::timed_out(connection.connection.head_written());
                    if end == SendOutcome::TimedOut {
                        self.count_send(sends);
                    }
                    return AttemptResult::Ended(end);
                }
            }
        };
        core.record_idle_reuse(&routing_request.service, &connection, false);
        self.count_send(sends);
        let head = response.headers();
        let status = response.status();
        if headers::single(head, &ATTEMPT_ID) != Some(&outgoing.attempt) {
            // An answer that belongs to another request: whatever became of this one, the connection is no good.
            core.count(|metrics| metrics.unusable += 1);
            return AttemptResult::Ended(SendOutcome::InvalidResponse);
        }
        call.response_received(server_load(head));
        if status == StatusCode::MISDIRECTED_REQUEST || head.contains_key(NOT_EXECUTED) {
            let end = declined(status, head, outgoing);
            let (head, body) = response.into_parts();
            core.check_in_unread(connection, head.headers, body);
            return AttemptResult::Ended(end);
        }
        let framed = outgoing.method == Method::HEAD
            || response.body().is_end_stream()
            || response.body().size_hint().exact().is_some()
            || head.contains_key(TRANSFER_ENCODING);
        if !framed || status.is_success() && !head.contains_key(SERVER_SEAL) {
            // It cannot be known to be whole, or is no answer of an endpoint.
            core.count(|metrics| metrics.unusable += 1);
            return AttemptResult::Ended(SendOutcome::InvalidResponse);
        }
        AttemptResult::Answer(response, connection)
    }

    /// An idle connection to the endpoint, or a new one, as long as the request's deadline has not passed.
    async fn connect(
        self: &Rc<Self>,
        outgoing: &OutboundRequest,
        target: &Target,
        service: &str,
    ) -> Result<EndpointConnection, AttemptResult> {
        let connection = match self.checkout_idle(target, service, outgoing.number) {
            Some(connection) => connection,
            None if target.may_open => self.connect_anew(outgoing, target).await?,
            None => return Err(AttemptResult::NoConnection),
        };
        // The process may have been suspended while a connection was opened, or found to be stale.
        if Instant::now() >= outgoing.deadline {
            return Err(AttemptResult::Ended(SendOutcome::HeadUnwritten));
        }
        Ok(connection)
    }

    async fn connect_anew(
        self: &Rc<Self>,
        outgoing: &OutboundRequest,
        target: &Target,
    ) -> Result<EndpointConnection, AttemptResult> {
        let remaining = outgoing.deadline.saturating_duration_since(Instant::now());
        let connect_timeout = CONNECT_TIMEOUT.min(remaining / 2);
        self.open_connection(target, connect_timeout, outgoing.number).await.map_err(|error| match error {
            CallError::Connect(_) => AttemptResult::Ended(SendOutcome::ConnectFailed),
            _ => AttemptResult::Ended(SendOutcome::HeadUnwritten),
        })
    }

    fn count_send(&self, sends: &mut u32) {
        *sends += 1;
        self.count(|metrics| {
            metrics.sends += 1;
            metrics.repeats += u64::from(*sends > 1);
        });
    }
}

/// The outcome of a response that states that the request was not executed.
fn declined(status: StatusCode, head: &HeaderMap, outgoing: &OutboundRequest) -> SendOutcome {
    let retry_after = headers::text(head, RETRY_AFTER.as_str())
        .and_then(|seconds| seconds.parse::<f64>().ok())
        .filter(|seconds| seconds.is_finite() && *seconds >= 0.0)
        .map(|seconds| Span((seconds * 1e6) as u64));
    match status {
        // The client may have requested another version of the weights: that does not mean another incarnation.
        StatusCode::MISDIRECTED_REQUEST if outgoing.headers.contains_key(EXPECT_VERSION) => {
            SendOutcome::Declined(retry_after)
        }
        StatusCode::MISDIRECTED_REQUEST => SendOutcome::Misdirected,
        _ => SendOutcome::Declined(retry_after),
    }
}

/// The endpoint's load report, if the response has a valid one.
fn server_load(headers: &HeaderMap) -> Option<ServerLoad> {
    let mut parts = headers::text(headers, headers::SERVER_LOAD.as_str())?.split(',');
    let mut part = || parts.next()?.trim().parse().ok();
    Some(ServerLoad { running: part()?, waiting: part()?, slots: part()? })
}
