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
    Execution::NeverRan.after(outcome) == Execution::MayHaveRun
}

/// Notes an attempt's end.
pub(crate) fn note(tried: &mut Tried, key: EndpointKey, outcome: Outcome) {
    tried.last = Some(key);
    // A send that never left tells nothing of its endpoint.
    if outcome != Outcome::Void && !tried.avoid.contains(&key) {
        tried.avoid.push(key);
    }
    tried.execution = tried.execution.after(outcome);
    tried.refused += u32::from(!ran_or_may(outcome));
    tried.attempts += u32::from(reached(outcome));
}

/// Whether it may not be sent again, however much time is left.
pub(crate) fn spent(ask: &Ask, tried: &Tried) -> bool {
    !tried.execution.may_send(ask.may_run_again())
        || tried.attempts >= ask.max_attempts.max(1)
        || tried.refused.saturating_sub(tried.attempts) >= MOST_UNSENT
}

/// How long the next attempt may be silent, if another may follow it and would still have as long itself.
pub(crate) fn try_timeout(now: Time, ask: &Ask, tried: &Tried, pace: f64) -> Option<Span> {
    // A stream that is silent may be next in its endpoint's queue: under load, to begin it anew only adds to that.
    if ask.kind != RouteKind::Idempotent || tried.attempts + 1 >= ask.max_attempts {
        return None;
    }
    let timeout = (TRY_OF_PACE * pace).max(TRY_OF_AIM * ask.aim.0 as f64);
    (now.after(2.0 * timeout) <= last_send(ask)).then_some(Span(timeout as u64))
}

/// The first wait, before doubling and chance.
pub(crate) fn first_backoff(ask: &Ask) -> f64 {
    (BASE_OF_AIM * ask.aim.0 as f64).clamp(BASE.0, BASE.1)
}

/// The wait before the next try; `chance` is within 0 and 1.
pub(crate) fn backoff(ask: &Ask, tried: &Tried, chance: f64) -> f64 {
    let base = first_backoff(ask);
    let before = tried.attempts.max(tried.refused).saturating_sub(1).min(16);
    (base * f64::from(1_u32 << before)).min(CAP * base) + JITTER * base * chance
}

/// The last moment at which a send is of use.
pub(crate) fn last_send(ask: &Ask) -> Time {
    let whole = ask.deadline.since(ask.arrived);
    Time(ask.deadline.0.saturating_sub((ask.aim.0 / FLOOR_OF_AIM).min(whole / FLOOR_OF_TIME)))
}

/// Until when it waits for a place if nothing may have run.
pub(crate) fn patience(ask: &Ask) -> Time {
    ask.arrived.after(PATIENCE_OF_AIM * ask.aim.0 as f64)
}

/// The answer to one that is not sent again.
pub(crate) fn last_answer(tried: &Tried, retry_after: Span) -> GiveUp {
    if tried.execution.may_promise() { GiveUp::Refused { retry_after } } else { GiveUp::Failed }
}
