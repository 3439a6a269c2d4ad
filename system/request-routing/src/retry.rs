//! The retry stage's own arithmetic: which outcomes count, how long the next try waits, when it is too late.

use crate::execution::Execution;
use crate::types::*;
use message_sender::{Outcome, Span, Time};
use operator_config::RouteKind;

/// First wait as a share of the aim, ...
const BASE_OF_AIM: f64 = 0.04;
/// ... within these, in microseconds.
const BASE: (f64, f64) = (5_000.0, 100_000.0);
/// Cap of the doubling, in first waits (the write-up's 10 s over 1 s).
const CAP: f64 = 10.0;
/// Most that chance adds, in first waits (the write-up's 500 ms over 1 s).
const JITTER: f64 = 0.5;
/// Connections not made, and the like, beyond the sends: more of them end a request.
pub(crate) const MOST_UNSENT: u32 = 6;
/// A request waits for a place for this share of its aim: a refusal within a quarter still leaves time to come again.
const PATIENCE_OF_AIM: f64 = 0.23;
/// With less than this share of its aim left, a send is no use ...
const FLOOR_OF_AIM: u64 = 10;
/// ... but for requests whose whole time is short: this share of it.
const FLOOR_OF_TIME: u64 = 4;
/// An attempt that may be repeated is given up after this multiple of what its like take in the mean, ...
const TRY_OF_PACE: f64 = 6.0;
/// ... but no sooner than after this share of its aim.
const TRY_OF_AIM: f64 = 1.0;

/// Whether an attempt that ended so was a send to an endpoint, which counts against the most.
pub(crate) fn reached(outcome: Outcome) -> bool {
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

/// Whether an attempt that ended so may have run.
fn ran_or_may(outcome: Outcome) -> bool {
    Execution::NotExecuted.after(outcome) == Execution::MayHaveExecuted
}

/// Notes an attempt's end.
pub(crate) fn note(history: &mut AttemptHistory, key: EndpointKey, outcome: Outcome) {
    history.last_endpoint = Some(key);
    // A send that never left tells nothing of its endpoint.
    if outcome != Outcome::Void && !history.avoided.contains(&key) {
        history.avoided.push(key);
    }
    history.execution = history.execution.after(outcome);
    history.unexecuted += u32::from(!ran_or_may(outcome));
    history.attempts += u32::from(reached(outcome));
}

/// Whether it may not be sent again, however much time is left.
pub(crate) fn spent(request: &RoutingRequest, history: &AttemptHistory) -> bool {
    !history.execution.may_send(request.is_repeatable())
        || history.attempts >= request.max_attempts.max(1)
        || history.unexecuted.saturating_sub(history.attempts) >= MOST_UNSENT
}

/// How long the next attempt may be silent, if another may follow it and would still have as long itself.
pub(crate) fn try_timeout(
    now: Time,
    request: &RoutingRequest,
    history: &AttemptHistory,
    pace: f64,
) -> Option<Span> {
    // A stream that is silent may be next in its endpoint's queue: under load, to begin it anew only adds to that.
    if request.kind != RouteKind::Idempotent || history.attempts + 1 >= request.max_attempts {
        return None;
    }
    let timeout = (TRY_OF_PACE * pace).max(TRY_OF_AIM * request.latency_target.0 as f64);
    (now.after(2.0 * timeout) <= last_send(request)).then_some(Span(timeout as u64))
}

/// The first wait, before doubling and chance.
pub(crate) fn first_backoff(request: &RoutingRequest) -> f64 {
    (BASE_OF_AIM * request.latency_target.0 as f64).clamp(BASE.0, BASE.1)
}

/// The wait before the next try; `rng` is within 0 and 1.
pub(crate) fn backoff(request: &RoutingRequest, history: &AttemptHistory, jitter: f64) -> f64 {
    let base = first_backoff(request);
    let before = history.attempts.max(history.unexecuted).saturating_sub(1).min(16);
    (base * f64::from(1_u32 << before)).min(CAP * base) + JITTER * base * jitter
}

/// The last moment at which a send is of use.
pub(crate) fn last_send(request: &RoutingRequest) -> Time {
    let whole = request.deadline.since(request.arrived_at);
    Time(
        request
            .deadline
            .0
            .saturating_sub((request.latency_target.0 / FLOOR_OF_AIM).min(whole / FLOOR_OF_TIME)),
    )
}

/// Until when it waits for a place if nothing may have run.
pub(crate) fn patience(request: &RoutingRequest) -> Time {
    request.arrived_at.after(PATIENCE_OF_AIM * request.latency_target.0 as f64)
}

/// The answer to one that is not sent again.
pub(crate) fn last_answer(history: &AttemptHistory, retry_after: Span) -> GiveUp {
    if history.execution.may_promise() { GiveUp::Refused { retry_after } } else { GiveUp::Failed }
}
