//! Outage detection: updates a route's health and rate limit from the outcome of a call.

use super::RATE_WINDOW_S;
use super::rate_limit::RATE_DECREASE;
use super::state::{Health, Route};
use crate::interface::{Outcome, Settings, Span, Time};

/// Weight of a new observation in an exponentially weighted mean.
pub(super) const SMOOTHING: f64 = 0.2;
/// Consecutive failures that count as an outage.
const OUTAGE_FAILURES: u32 = 4;
/// Failure rate that counts as an outage.
const OUTAGE_SHARE: f64 = 0.65;
/// First backoff of a route after a rejection without `Retry-After`, in overload tolerances; doubles with
/// consecutive rejections.
const FIRST_BACKOFF_TOLERANCES: f64 = 0.25;
/// A `Retry-After` above this many overload tolerances, longer than a rate limit's, counts as an outage.
const OUTAGE_WAIT_TOLERANCES: f64 = 2.0;

/// A call whose outcome is recorded with a route.
pub(super) struct Observation {
    pub(super) now: Time,
    pub(super) sent: Time,
    /// Microseconds since it was sent.
    pub(super) elapsed: f64,
    /// A random number from 0 to 1.
    pub(super) jitter: f64,
    /// Whether the call's rate limit belongs to this route.
    pub(super) owns_limit: bool,
}

impl Route {
    pub(super) fn record_success(&mut self, call: &Observation) {
        (self.consecutive_failures, self.rejections, self.last_success) = (0, 0, call.now);
        self.failure_rate -= SMOOTHING * self.failure_rate;
        self.rate += 1.0 / RATE_WINDOW_S;
        if let Health::Down(_) = self.health {
            (self.health, self.tokens) = (Health::Recovering(call.now), call.jitter);
        }
    }

    pub(super) fn record_rejection(&mut self, call: &Observation, wait: Option<Span>, settings: &Settings) {
        let tolerance = settings.rules.overload_tolerance.0 as f64;
        let wait_end = wait.map_or(call.now, |wait| call.now.after(wait.0 as f64));
        // Calls sent together are rejected together: they count as one rejection.
        let new_rejection = self.rejected_at == Time(0) || call.sent >= self.rejected_at;
        if new_rejection {
            (self.rejections, self.rejected_at) = (self.rejections + 1, call.now);
        }
        if wait.is_none() {
            let doublings = f64::from(1 << (self.rejections.clamp(1, 4) - 1));
            let backoff = tolerance * FIRST_BACKOFF_TOLERANCES * doublings * (0.5 + call.jitter);
            self.backoff_until = call.now.after(backoff);
        } else {
            // A reported `Retry-After` replaces the sender's own backoff.
            self.backoff_until = self.backoff_until.min(wait_end);
        }
        if call.owns_limit && (new_rejection || wait.is_some()) {
            // There is capacity at the end of a `Retry-After`; without one the next call waits for a token.
            let reduced = self.rate.min(self.rate_limit) * RATE_DECREASE;
            self.rate_limit = reduced.max(self.min_rate(settings).min(self.rate_limit));
            self.tokens = if wait.is_some() { self.tokens.clamp(0.0, 1.0) } else { 0.0 };
        }
        // Rejections only: down, not busy; so is a wait longer than any rate limit's. With a known end,
        // slow start begins then, with a random part of a token to spread the senders that know it.
        let long_wait = wait.is_some_and(|wait| wait.0 as f64 > OUTAGE_WAIT_TOLERANCES * tolerance);
        let down = long_wait || self.rejections > OUTAGE_FAILURES;
        if down && wait.is_some() {
            (self.health, self.tokens) = (Health::Recovering(wait_end), call.jitter);
        } else if down || self.health != Health::Up {
            self.health = Health::Down(call.now);
        }
    }

    pub(super) fn record_failure(&mut self, call: &Observation, outcome: Outcome, settings: &Settings) {
        self.consecutive_failures += 1;
        // Lost answers are common, errors rare: on a little-used route one error weighs as much as all
        // earlier calls. A connect time-out weighs more: full connection tables refuse at once.
        let slow = call.elapsed > settings.connect_timeout.0 as f64 / 2.0;
        let connect_timed_out = outcome == Outcome::ConnectFailed && slow;
        let weight_by_rate = 1.0 / (if connect_timed_out { 1.0 } else { 2.0 } + self.rate * RATE_WINDOW_S);
        let definite = matches!(outcome, Outcome::Failure | Outcome::ConnectFailed);
        let weight = if definite { SMOOTHING.max(weight_by_rate) } else { SMOOTHING };
        self.failure_rate += weight * (1.0 - self.failure_rate);
        let unanswered = outcome == Outcome::TimedOut && self.last_success < call.sent;
        let unresponsive = unanswered && self.consecutive_failures > 1;
        let relapsed = self.health != Health::Up && self.consecutive_failures > 2;
        let down = matches!(self.health, Health::Down(_));
        let many_failures = self.consecutive_failures >= OUTAGE_FAILURES || self.failure_rate > OUTAGE_SHARE;
        // Endpoints that share a limit can still fail one by one: only rejections close the shared route.
        if self.endpoint.is_some() && (unresponsive || relapsed || down || many_failures) {
            self.health = Health::Down(call.now);
        }
    }
}
