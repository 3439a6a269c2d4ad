//! Outage detection: what the outcome of a call says of its route's health and rate limit.

use super::RATE_WINDOW_S;
use super::rate_limit::RATE_DECREASE;
use super::state::{Health, Route};
use crate::interface::{Outcome, Settings, Span, Time};

/// Weight of one more observation in a learned mean.
pub(super) const SMOOTHING: f64 = 0.2;
/// Consecutive failures that count as an outage.
const OUTAGE_FAILURES: u32 = 4;
/// Failure rate that counts as an outage.
const OUTAGE_SHARE: f64 = 0.65;
/// First backoff of a route after a rejection without `Retry-After`, in overload tolerances; doubled each
/// time.
const FIRST_BACKOFF_TOLERANCES: f64 = 0.25;
/// A `Retry-After` of this many overload tolerances is no rate limit's: it counts as an outage.
const OUTAGE_WAIT_TOLERANCES: f64 = 2.0;

/// A call whose outcome is recorded with a route.
pub(super) struct Observation {
    pub(super) now: Time,
    pub(super) sent: Time,
    /// Microseconds since it was sent.
    pub(super) elapsed: f64,
    /// A random number from 0 to 1.
    pub(super) jitter: f64,
    /// Whether the call's rate limit is this route's.
    pub(super) gate: bool,
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
        // Calls sent together are rejected together: one sign of a limit, not several.
        let new_sign = self.rejected_at == Time(0) || call.sent >= self.rejected_at;
        if new_sign {
            (self.rejections, self.rejected_at) = (self.rejections + 1, call.now);
        }
        if wait.is_none() {
            let doublings = f64::from(1 << (self.rejections.clamp(1, 4) - 1));
            let backoff = tolerance * FIRST_BACKOFF_TOLERANCES * doublings * (0.5 + call.jitter);
            self.backoff_until = call.now.after(backoff);
        } else {
            // With a reported `Retry-After` no backoff of its own is needed, before or after.
            self.backoff_until = self.backoff_until.min(wait_end);
        }
        if call.gate && (new_sign || wait.is_some()) {
            // At the end of a `Retry-After` there is capacity; otherwise the next call waits for a token.
            let reduced = self.rate.min(self.pace_limit) * RATE_DECREASE;
            self.pace_limit = reduced.max(self.min_rate(settings).min(self.pace_limit));
            self.tokens = if wait.is_some() { self.tokens.clamp(0.0, 1.0) } else { 0.0 };
        }
        // Only rejections: down, not busy. So is a wait longer than any limit's. Who knows when it opens
        // begins its slow start then, with a random token, as all who know it do.
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
        // Answers get lost by the dozen, errors seldom: where little is known one error tells as much as
        // all that is. A connect time-out tells more: full tables refuse at once.
        let late = call.elapsed > settings.connect_timeout.0 as f64 / 2.0;
        let connect_timed_out = outcome == Outcome::ConnectFailed && late;
        let known = 1.0 / (if connect_timed_out { 1.0 } else { 2.0 } + self.rate * RATE_WINDOW_S);
        let definite = matches!(outcome, Outcome::Failure | Outcome::ConnectFailed);
        let weight = if definite { SMOOTHING.max(known) } else { SMOOTHING };
        self.failure_rate += weight * (1.0 - self.failure_rate);
        let unanswered = outcome == Outcome::TimedOut && self.last_success < call.sent;
        let unresponsive = unanswered && self.consecutive_failures > 1;
        let relapsed = self.health != Health::Up && self.consecutive_failures > 2;
        let down = matches!(self.health, Health::Down(_));
        let many = self.consecutive_failures >= OUTAGE_FAILURES || self.failure_rate > OUTAGE_SHARE;
        // Endpoints that share a limit can still fail one by one: only rejections close them all.
        if self.endpoint.is_some() && (unresponsive || relapsed || down || many) {
            self.health = Health::Down(call.now);
        }
    }
}
