//! One call of an endpoint.

use crate::headers::{self, ATTEMPT_ID, EXPECT_VERSION, NOT_EXECUTED, SERVER_SEAL};
use crate::outgoing::Outgoing;
use crate::pool::{CallOut, Core, Line};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::{Method, Response, StatusCode};
use message_sender::Span;
use message_sender::net::connection::CallError;
use request_routing::{AttemptHistory, SendOutcome, ServerLoad, Target};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// A connection to an endpoint comes up within this.
const CONNECT_PATIENCE: Duration = Duration::from_millis(400);
/// The endpoint's own answer at its deadline gets so much longer.
pub(crate) const GRACE: Duration = Duration::from_millis(50);

/// What became of one call.
#[expect(
    clippy::large_enum_variant,
    reason = "it is moved once; a box would be an allocation for each answer"
)]
pub(crate) enum Attempt {
    /// No connection is free, and none may be opened.
    NoConnection,
    /// It ended without an answer to pass on.
    Ended(SendOutcome),
    /// The head of an answer that belongs to the request.
    Answer(Response<Incoming>, Line),
}

impl Core {
    /// One call of an endpoint, up to the head of its answer.
    pub(crate) async fn attempt(
        self: &Rc<Self>,
        outgoing: &Outgoing,
        target: &Target,
        history: &AttemptHistory,
        call: &mut CallOut,
        sends: &mut u32,
    ) -> Attempt {
        let core = self;
        let routing_request = call.routing_request().clone();
        let patience = core.router.borrow().try_timeout(core.now(), &routing_request, history);
        let whole = outgoing.deadline + GRACE;
        let end =
            patience.map_or(whole, |Span(micros)| whole.min(Instant::now() + Duration::from_micros(micros)));
        let (line, response) = loop {
            let mut line = match core.idle_line(target, &routing_request.service, outgoing.number) {
                Some(line) => line,
                None if !target.may_open => return Attempt::NoConnection,
                None => {
                    let left = outgoing.deadline.saturating_duration_since(Instant::now());
                    let patience = CONNECT_PATIENCE.min(left / 2);
                    match core.open_line(target, patience, outgoing.number).await {
                        // The process may have stood still meanwhile.
                        Ok(_) if Instant::now() >= outgoing.deadline => {
                            return Attempt::Ended(SendOutcome::HeadUnwritten);
                        }
                        Ok(line) => line,
                        Err(CallError::Connect(_)) => return Attempt::Ended(SendOutcome::ConnectFailed),
                        Err(_) => return Attempt::Ended(SendOutcome::HeadUnwritten),
                    }
                }
            };
            call.sending();
            let send = line.connection.send(outgoing.head(&target.instance_id), outgoing.body.clone());
            match timeout_at(end, send).await {
                Ok(Ok(response)) => break (line, response),
                Ok(Err(CallError::Stale(_))) => {}
                Ok(Err(CallError::Connect(_))) => return Attempt::Ended(SendOutcome::ConnectFailed),
                Ok(Err(CallError::Unsent(_) | CallError::Reset(_))) => {
                    let end = SendOutcome::connection_lost(line.connection.head_written());
                    if end == SendOutcome::ConnectionLost {
                        core.learn_idle(&routing_request.service, &line, true);
                        self.count_send(sends);
                    }
                    return Attempt::Ended(end);
                }
                Err(_) => {
                    let end = SendOutcome::timed_out(line.connection.head_written());
                    if end == SendOutcome::TimedOut {
                        self.count_send(sends);
                    }
                    return Attempt::Ended(end);
                }
            }
        };
        core.learn_idle(&routing_request.service, &line, false);
        self.count_send(sends);
        let head = response.headers();
        let status = response.status();
        if headers::single(head, &ATTEMPT_ID) != Some(&outgoing.attempt) {
            // An answer that belongs to another request: whatever became of this one, the connection is no good.
            core.count(|metrics| metrics.unusable += 1);
            return Attempt::Ended(SendOutcome::Unusable);
        }
        call.answered(server_load(head));
        if status == StatusCode::MISDIRECTED_REQUEST || head.contains_key(NOT_EXECUTED) {
            let wait = headers::text(head, RETRY_AFTER.as_str())
                .and_then(|seconds| seconds.parse::<f64>().ok())
                .filter(|seconds| seconds.is_finite() && *seconds >= 0.0)
                .map(|seconds| Span((seconds * 1e6) as u64));
            let (head, body) = response.into_parts();
            core.give_back_unread(line, head.headers, body);
            return match status {
                // The weights that the client wants may be another version: that is no other incarnation.
                StatusCode::MISDIRECTED_REQUEST if outgoing.headers.contains_key(EXPECT_VERSION) => {
                    Attempt::Ended(SendOutcome::Declined(wait))
                }
                StatusCode::MISDIRECTED_REQUEST => Attempt::Ended(SendOutcome::Misdirected),
                _ => Attempt::Ended(SendOutcome::Declined(wait)),
            };
        }
        let framed = outgoing.method == Method::HEAD
            || response.body().is_end_stream()
            || response.body().size_hint().exact().is_some()
            || head.contains_key(TRANSFER_ENCODING);
        if !framed || status.is_success() && !head.contains_key(SERVER_SEAL) {
            // It cannot be known to be whole, or is no answer of an endpoint.
            core.count(|metrics| metrics.unusable += 1);
            return Attempt::Ended(SendOutcome::Unusable);
        }
        Attempt::Answer(response, line)
    }

    fn count_send(&self, sends: &mut u32) {
        *sends += 1;
        self.count(|metrics| {
            metrics.sends += 1;
            metrics.repeats += u64::from(*sends > 1);
        });
    }
}

fn server_load(headers: &HeaderMap) -> Option<ServerLoad> {
    let mut parts = headers::text(headers, headers::SERVER_LOAD.as_str())?.split(',');
    let mut part = || parts.next()?.trim().parse().ok();
    Some(ServerLoad { running: part()?, waiting: part()?, slots: part()? })
}
