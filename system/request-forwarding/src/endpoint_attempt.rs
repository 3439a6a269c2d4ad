//! One call to an endpoint, up to the head of its response.

use crate::headers::{self, ATTEMPT_ID, EXPECT_VERSION, NOT_EXECUTED, SERVER_SEAL};
use crate::outbound_request::OutboundRequest;
use crate::pool::{CallInFlight, EndpointConnection, SharedState};
use hyper::body::Body;
use hyper::header::{HeaderMap, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::{Method, Response, StatusCode};
use message_sender::Span;
use message_sender::net::connection::CallError;
use message_sender::net::received_body::ReceivedBody;
use request_routing::{AttemptHistory, SendOutcome, SendTarget, ServerLoad};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Upper bound on the time to connect to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Added to the deadline when waiting for an endpoint, so that the endpoint's own response at the deadline still arrives.
pub(crate) const GRACE: Duration = Duration::from_millis(50);

/// Result of one call.
#[expect(
    clippy::large_enum_variant,
    reason = "it is moved once; boxing would cost an allocation for each response"
)]
pub(crate) enum AttemptResult {
    /// No connection is free, and none may be opened.
    NoConnection,
    /// The call ended without a response to forward.
    Failed(SendOutcome),
    /// The head of a response that belongs to the request.
    Responded(Response<ReceivedBody>, EndpointConnection),
}

impl SharedState {
    /// Sends the request to an endpoint and waits for the head of its response.
    pub(crate) async fn attempt(
        self: &Rc<Self>,
        outgoing: &OutboundRequest,
        target: &SendTarget,
        history: &AttemptHistory,
        call: &mut CallInFlight,
        sends: &mut u32,
    ) -> AttemptResult {
        let shared = self;
        let routing_request = call.routing_request().clone();
        let attempt_timeout = shared.router.borrow().attempt_timeout(shared.now(), &routing_request, history);
        let latest = outgoing.deadline + GRACE;
        let wait_until = attempt_timeout
            .map_or(latest, |Span(micros)| latest.min(Instant::now() + Duration::from_micros(micros)));
        let (connection, response) = loop {
            let mut connection = match shared.connect(outgoing, target, &routing_request.service).await {
                Ok(connection) => connection,
                Err(result) => return result,
            };
            call.sending();
            let send = connection.connection.send(outgoing.head(&target.instance_id), outgoing.body.clone());
            match timeout_at(wait_until, send).await {
                Ok(Ok(response)) => break (connection, response),
                Ok(Err(CallError::Stale(_))) => {}
                Ok(Err(CallError::Connect(_))) => return AttemptResult::Failed(SendOutcome::ConnectFailed),
                Ok(Err(CallError::Unsent(_) | CallError::Reset(_))) => {
                    let outcome = SendOutcome::connection_lost(connection.connection.head_written());
                    if outcome == SendOutcome::ConnectionLost {
                        shared.record_idle_reuse(&routing_request.service, &connection, true);
                        self.count_send(sends);
                    }
                    return AttemptResult::Failed(outcome);
                }
                Err(_) => {
                    let outcome = SendOutcome::timed_out(connection.connection.head_written());
                    if outcome == SendOutcome::TimedOut {
                        self.count_send(sends);
                    }
                    return AttemptResult::Failed(outcome);
                }
            }
        };
        shared.record_idle_reuse(&routing_request.service, &connection, false);
        self.count_send(sends);
        let head = response.headers();
        let status = response.status();
        if headers::single(head, &ATTEMPT_ID) != Some(&outgoing.attempt_id) {
            // The response belongs to another request. Whether this one was executed is unknown, and the connection
            // is unusable.
            shared.count(|metrics| metrics.unusable += 1);
            return AttemptResult::Failed(SendOutcome::InvalidResponse);
        }
        call.response_received(server_load(head));
        if status == StatusCode::MISDIRECTED_REQUEST || head.contains_key(NOT_EXECUTED) {
            let outcome = decline_outcome(status, head, outgoing);
            let (head, body) = response.into_parts();
            shared.check_in_unread(connection, head.headers, body);
            return AttemptResult::Failed(outcome);
        }
        let is_framed = outgoing.method == Method::HEAD
            || response.body().is_end_stream()
            || response.body().size_hint().exact().is_some()
            || head.contains_key(TRANSFER_ENCODING);
        if !is_framed || status.is_success() && !head.contains_key(SERVER_SEAL) {
            // Truncation could not be detected, or the response does not come from an endpoint.
            shared.count(|metrics| metrics.unusable += 1);
            return AttemptResult::Failed(SendOutcome::InvalidResponse);
        }
        AttemptResult::Responded(response, connection)
    }

    /// An idle connection to the endpoint, or a new one, as long as the request's deadline has not passed.
    async fn connect(
        self: &Rc<Self>,
        outgoing: &OutboundRequest,
        target: &SendTarget,
        service: &str,
    ) -> Result<EndpointConnection, AttemptResult> {
        let connection = match self.checkout_idle(target, service, outgoing.number) {
            Some(connection) => connection,
            None if target.may_open_connection => self.connect_new(outgoing, target).await?,
            None => return Err(AttemptResult::NoConnection),
        };
        // The process may have been suspended while a connection was opened or found to be stale.
        if Instant::now() >= outgoing.deadline {
            return Err(AttemptResult::Failed(SendOutcome::HeadUnwritten));
        }
        Ok(connection)
    }

    async fn connect_new(
        self: &Rc<Self>,
        outgoing: &OutboundRequest,
        target: &SendTarget,
    ) -> Result<EndpointConnection, AttemptResult> {
        let remaining = outgoing.deadline.saturating_duration_since(Instant::now());
        let connect_timeout = CONNECT_TIMEOUT.min(remaining / 2);
        self.open_connection(target, connect_timeout, outgoing.number).await.map_err(|error| match error {
            CallError::Connect(_) => AttemptResult::Failed(SendOutcome::ConnectFailed),
            _ => AttemptResult::Failed(SendOutcome::HeadUnwritten),
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
fn decline_outcome(status: StatusCode, head: &HeaderMap, outgoing: &OutboundRequest) -> SendOutcome {
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
