//! Retry policy: which outcomes consume an attempt, the backoff before the next attempt, per-attempt timeouts, and the
//! time after which a request is no longer sent.

use crate::execution::Execution;
use crate::types::{AttemptHistory, EndpointKey, GiveUp, RoutingRequest};
use message_sender::{Outcome, Span, Time};
use operator_config::RouteKind;

/// First backoff as a share of the latency target, ...
const BACKOFF_PER_LATENCY_TARGET: f64 = 0.04;
/// ... but no less than this, in microseconds, ...
const MIN_FIRST_BACKOFF_MICROS: f64 = 5_000.0;
/// ... and no more than this, in microseconds.
const MAX_FIRST_BACKOFF_MICROS: f64 = 100_000.0;
/// Upper bound of the exponential backoff, as a multiple of the first (the design's 10 s over 1 s).
const MAX_BACKOFF_MULTIPLE: f64 = 10.0;
/// Upper bound of the jitter, as a multiple of the first backoff (the design's 500 ms over 1 s).
const MAX_JITTER_MULTIPLE: f64 = 0.5;
/// A request is given up after this many attempts, beyond those that reached an endpoint, that were never sent.
const MAX_UNSENT_ATTEMPTS: u32 = 6;
/// Queue timeout as a share of the latency target: a refusal within a quarter leaves the client time to retry.
const QUEUE_TIMEOUT_PER_LATENCY_TARGET: f64 = 0.23;
/// A send is useless once less than the latency target divided by this is left ...
const MIN_TIME_LATENCY_TARGET_DIVISOR: u64 = 10;
/// ... or, for requests with a short deadline, the complete time allowed divided by this.
const MIN_TIME_ALLOWED_DIVISOR: u64 = 4;
/// Attempt timeout as a multiple of the service's mean time to first byte, ...
const ATTEMPT_TIMEOUT_PER_PACE: f64 = 6.0;
/// ... but no less than this multiple of the latency target.
const ATTEMPT_TIMEOUT_PER_LATENCY_TARGET: f64 = 1.0;

/// Whether an attempt with this outcome reached an endpoint and so counts against the maximum of attempts.
pub(crate) fn reached_endpoint(outcome: Outcome) -> bool {
    match outcome {
        Outcome::Success
        | Outcome::Failure
        | Outcome::Full(_)
        | Outcome::TimedOut
        | Outcome::Reset
        | Outcome::Cancelled => true,
        Outcome::ConnectFailed | Outcome::Void | Outcome::NoRoom => false,
    }
}

/// Whether an attempt with this outcome may have executed.
fn may_have_executed(outcome: Outcome) -> bool {
    Execution::NotExecuted.after(outcome) == Execution::MayHaveExecuted
}

/// Records an attempt's outcome in the history.
pub(crate) fn record_outcome(history: &mut AttemptHistory, key: EndpointKey, outcome: Outcome) {
    history.last_endpoint = Some(key);
    // A request that was never sent says nothing about the endpoint.
    if outcome != Outcome::Void && !history.avoided.contains(&key) {
        history.avoided.push(key);
    }
    history.execution = history.execution.after(outcome);
    history.unexecuted += u32::from(!may_have_executed(outcome));
    history.attempts += u32::from(reached_endpoint(outcome));
}

/// Whether the request may not be sent again, however much time is left.
pub(crate) fn is_exhausted(request: &RoutingRequest, history: &AttemptHistory) -> bool {
    !history.execution.may_send(request.is_repeatable())
        || history.attempts >= request.max_attempts.max(1)
        || history.unexecuted.saturating_sub(history.attempts) >= MAX_UNSENT_ATTEMPTS
}

/// Timeout of the next attempt, if a further one may follow it with as much time for itself.
pub(crate) fn attempt_timeout(
    now: Time,
    request: &RoutingRequest,
    history: &AttemptHistory,
    pace: f64,
) -> Option<Span> {
    // A stream without a response may be next in its endpoint's queue: restarting it under load only adds to the load.
    if request.kind != RouteKind::Idempotent || history.attempts + 1 >= request.max_attempts {
        return None;
    }
    let timeout = (ATTEMPT_TIMEOUT_PER_PACE * pace)
        .max(ATTEMPT_TIMEOUT_PER_LATENCY_TARGET * request.latency_target.0 as f64);
    (now.after(2.0 * timeout) <= latest_send_time(request)).then_some(Span(timeout as u64))
}

/// The first backoff in microseconds, before doubling and jitter.
pub(crate) fn first_backoff(request: &RoutingRequest) -> f64 {
    (BACKOFF_PER_LATENCY_TARGET * request.latency_target.0 as f64)
        .clamp(MIN_FIRST_BACKOFF_MICROS, MAX_FIRST_BACKOFF_MICROS)
}

/// The backoff before the next attempt in microseconds; `jitter` is within 0 and 1.
pub(crate) fn backoff(request: &RoutingRequest, history: &AttemptHistory, jitter: f64) -> f64 {
    let base = first_backoff(request);
    let doublings = history.attempts.max(history.unexecuted).saturating_sub(1).min(16);
    (base * f64::from(1_u32 << doublings)).min(MAX_BACKOFF_MULTIPLE * base)
        + MAX_JITTER_MULTIPLE * base * jitter
}

/// The latest time at which sending the request is useful.
pub(crate) fn latest_send_time(request: &RoutingRequest) -> Time {
    let time_allowed = request.deadline.since(request.arrived_at);
    Time(
        request.deadline.0.saturating_sub(
            (request.latency_target.0 / MIN_TIME_LATENCY_TARGET_DIVISOR)
                .min(time_allowed / MIN_TIME_ALLOWED_DIVISOR),
        ),
    )
}

/// When the request leaves the queue if it cannot have executed.
pub(crate) fn queue_deadline(request: &RoutingRequest) -> Time {
    request.arrived_at.after(QUEUE_TIMEOUT_PER_LATENCY_TARGET * request.latency_target.0 as f64)
}

/// The final result of a request that is not sent again.
pub(crate) fn give_up(history: &AttemptHistory, retry_after: Span) -> GiveUp {
    if history.execution.guarantees_not_executed() { GiveUp::Refused { retry_after } } else { GiveUp::Failed }
}
