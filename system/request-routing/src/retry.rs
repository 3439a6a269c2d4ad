//! Retry policy: which outcomes consume an attempt, the backoff before the next attempt, per-attempt timeouts, and the
//! time after which a request is no longer sent.

use crate::execution::Execution;
use crate::types::{AttemptHistory, EndpointKey, GiveUp, RoutingRequest};
use message_sender::{Outcome, Span, Time};
use operator_config::RouteKind;

/// First backoff as a share of the latency target, within the bounds below.
const BACKOFF_PER_LATENCY_TARGET: f64 = 0.04;
/// Lower bound of the first backoff, in microseconds.
const MIN_FIRST_BACKOFF_MICROS: f64 = 5_000.0;
/// Upper bound of the first backoff, in microseconds.
const MAX_FIRST_BACKOFF_MICROS: f64 = 100_000.0;
/// Upper bound of the exponential backoff, as a multiple of the first (the design specifies 10 s and 1 s).
const MAX_BACKOFF_MULTIPLE: f64 = 10.0;
/// Upper bound of the jitter, as a multiple of the first backoff (the design specifies 500 ms and 1 s).
const MAX_JITTER_MULTIPLE: f64 = 0.5;
/// A request is given up when its unexecuted attempts exceed those that reached an endpoint by this many.
const MAX_UNSENT_ATTEMPTS: u32 = 6;
/// Queue timeout as a share of the latency target. A refusal within a quarter of the target leaves the client time to
/// retry.
const QUEUE_TIMEOUT_PER_LATENCY_TARGET: f64 = 0.23;
/// A request is not sent if less than the latency target divided by this is left until its deadline; such a send would
/// be useless.
const MIN_TIME_LATENCY_TARGET_DIVISOR: u64 = 10;
/// The same bound for requests with a short deadline, if it is less: the time from arrival to deadline divided by this.
const MIN_TIME_ALLOWED_DIVISOR: u64 = 4;
/// Attempt timeout as a multiple of the service's mean time to first byte of idempotent requests.
const ATTEMPT_TIMEOUT_PER_MEAN_TTFB: f64 = 6.0;
/// Lower bound of the attempt timeout, as a multiple of the latency target.
const ATTEMPT_TIMEOUT_PER_LATENCY_TARGET: f64 = 1.0;

/// Whether an attempt with this outcome reached an endpoint and so counts against the maximum number of attempts.
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

/// Whether an attempt with this outcome may have executed the request.
fn may_have_executed(outcome: Outcome) -> bool {
    Execution::NotExecuted.after(outcome) == Execution::MayHaveExecuted
}

/// Records an attempt's outcome in the history.
pub(crate) fn record_outcome(history: &mut AttemptHistory, key: EndpointKey, outcome: Outcome) {
    history.last_endpoint = Some(key);
    // An attempt that was never sent gives no reason to avoid the endpoint.
    if outcome != Outcome::Void && !history.avoided_endpoints.contains(&key) {
        history.avoided_endpoints.push(key);
    }
    history.execution = history.execution.after(outcome);
    history.unexecuted_attempts += u32::from(!may_have_executed(outcome));
    history.attempts += u32::from(reached_endpoint(outcome));
}

/// Whether the request must not be sent again, regardless of the time left.
pub(crate) fn is_exhausted(request: &RoutingRequest, history: &AttemptHistory) -> bool {
    !history.execution.may_send(request.is_repeatable())
        || history.attempts >= request.max_attempts.max(1)
        || history.unexecuted_attempts.saturating_sub(history.attempts) >= MAX_UNSENT_ATTEMPTS
}

/// Timeout of the next attempt; None unless another attempt with the same timeout may follow it. `mean_ttfb` is in
/// microseconds.
pub(crate) fn attempt_timeout(
    now: Time,
    request: &RoutingRequest,
    history: &AttemptHistory,
    mean_ttfb: f64,
) -> Option<Span> {
    // A stream without a response may be next in its endpoint's queue; restarting it only adds load to a loaded
    // service.
    if request.kind != RouteKind::Idempotent || history.attempts + 1 >= request.max_attempts {
        return None;
    }
    let timeout = (ATTEMPT_TIMEOUT_PER_MEAN_TTFB * mean_ttfb)
        .max(ATTEMPT_TIMEOUT_PER_LATENCY_TARGET * request.latency_target.0 as f64);
    (now.after(2.0 * timeout) <= latest_send_time(request)).then_some(Span(timeout as u64))
}

/// The first backoff in microseconds, before doubling and jitter.
pub(crate) fn first_backoff(request: &RoutingRequest) -> f64 {
    (BACKOFF_PER_LATENCY_TARGET * request.latency_target.0 as f64)
        .clamp(MIN_FIRST_BACKOFF_MICROS, MAX_FIRST_BACKOFF_MICROS)
}

/// The backoff before the next attempt in microseconds; `jitter` is between 0 and 1.
pub(crate) fn backoff(request: &RoutingRequest, history: &AttemptHistory, jitter: f64) -> f64 {
    let base = first_backoff(request);
    let doublings = history.attempts.max(history.unexecuted_attempts).saturating_sub(1).min(16);
    (base * f64::from(1_u32 << doublings)).min(MAX_BACKOFF_MULTIPLE * base)
        + MAX_JITTER_MULTIPLE * base * jitter
}

/// The latest time at which sending the request is still useful.
pub(crate) fn latest_send_time(request: &RoutingRequest) -> Time {
    let time_allowed = request.deadline.since(request.arrived_at);
    Time(
        request.deadline.0.saturating_sub(
            (request.latency_target.0 / MIN_TIME_LATENCY_TARGET_DIVISOR)
                .min(time_allowed / MIN_TIME_ALLOWED_DIVISOR),
        ),
    )
}

/// The time at which a waiting request is refused if it cannot have been executed.
pub(crate) fn queue_deadline(request: &RoutingRequest) -> Time {
    request.arrived_at.after(QUEUE_TIMEOUT_PER_LATENCY_TARGET * request.latency_target.0 as f64)
}

/// The final result of a request that is not sent again.
pub(crate) fn give_up(history: &AttemptHistory, retry_after: Span) -> GiveUp {
    if history.execution.guarantees_not_executed() { GiveUp::Refused { retry_after } } else { GiveUp::Failed }
}
