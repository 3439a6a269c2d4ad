//! Rate limiting of a route: a token bucket whose rate adapts to rejections, slow start after an outage, and
//! the next time at which a route or destination accepts a call.

use super::state::{Health, Route};
use super::{RATE_WINDOW_S, Sender, seconds};
use crate::interface::{DestinationId, EndpointId, Settings, Span, Time};

/// Share of the slots that one destination may fill, so that an unresponsive one cannot take them all.
const MAX_SLOT_SHARE: f64 = 0.5;
/// Rate left after a rejection above the limit, as a share of the successful rate.
pub(super) const RATE_DECREASE: f64 = 0.8;
/// Relative growth per second of the limit set by a rejection, without further ones.
const RATE_GROWTH_PER_S: f64 = 0.25;
/// Share of what the recovery rule allows that a recovering route is sent: other senders return too.
const RECOVERY_MARGIN: f64 = 0.9;
/// Burst of a healthy route: seconds of its rate limit that may be sent at once.
const BURST_S: f64 = 0.5;

impl Route {
    /// When the route has its next token. During slow start, a distant time is estimated too early as the
    /// rate still rises.
    fn next_token_at(&self, settings: &Settings) -> Time {
        let missing = 1.0 - self.tokens;
        let (start, wait_s) = match self.health {
            _ if missing <= 0.0 => (Time(0), 0.0),
            Health::Recovering(began) => {
                let start = self.refilled_at.max(began);
                let max_wait_s = missing / self.slow_start_rate(start, began, settings);
                (start, missing / self.slow_start_rate(start.after(max_wait_s * 1e6), began, settings))
            }
            Health::Up => (
                self.refilled_at,
                (missing * RATE_GROWTH_PER_S / self.rate_limit).ln_1p() / RATE_GROWTH_PER_S,
            ),
            Health::Down(_) => (self.refilled_at, missing / self.rate_limit),
        };
        start.after((wait_s * 1e6).ceil())
    }

    /// Until when the route is known to accept nothing.
    pub(super) fn closed_until(&self) -> Time {
        let unhealthy_until =
            if let Health::Down(until) | Health::Recovering(until) = self.health { until } else { Time(0) };
        self.retry_after_until.max(self.backoff_until).max(unhealthy_until)
    }

    /// When the route may accept a call; `None` if one in flight must complete first.
    pub(super) fn opens_at(&self, now: Time, settings: &Settings) -> Option<Time> {
        let at_limit = self.connection_limit > 0 && self.in_flight.len() >= self.connection_limit;
        let probing = matches!(self.health, Health::Down(_)) && !self.in_flight.is_empty();
        let closed_until = self.closed_until().max(self.next_token_at(settings));
        (!at_limit && !probing)
            .then(|| self.stalled_until(now).map_or(closed_until, |until| until.max(closed_until)))
    }

    /// Brings the rates and tokens up to `now`. Called on use, as the endpoint list may be long.
    pub(super) fn refresh(&mut self, now: Time, settings: &Settings) {
        let mut elapsed_s = seconds(now.since(self.refilled_at));
        if let Health::Recovering(began) = self.health {
            elapsed_s = elapsed_s.min(seconds(now.since(began)));
            if now.since(began) >= settings.rules.slow_start.0 {
                self.health = Health::Up;
            }
        }
        self.refilled_at = now;
        let old_limit = self.rate_limit;
        if self.health == Health::Up {
            self.rate *= (-elapsed_s / RATE_WINDOW_S).exp();
            self.rate_limit *= (RATE_GROWTH_PER_S * elapsed_s).exp();
        }
        // The failure rate decays without new failures.
        self.failure_rate *= (-elapsed_s / seconds(settings.rules.slow_start.0.max(1))).exp();
        // The integral of the rate limit: it doesn't depend on how often this is called.
        let (gained, depth) = match self.health {
            Health::Recovering(began) => (
                self.slow_start_rate(Time(now.0 - (elapsed_s * 5e5) as u64), began, settings) * elapsed_s,
                1.0,
            ),
            Health::Up => ((self.rate_limit - old_limit) / RATE_GROWTH_PER_S, (old_limit * BURST_S).max(1.0)),
            Health::Down(_) => (old_limit * elapsed_s, (old_limit * BURST_S).max(1.0)),
        };
        self.tokens = if gained.is_finite() { (self.tokens + gained).min(depth) } else { depth };
    }

    /// Calls per second that this sender may send to a recovering route: its share of what the route accepted
    /// before the outage, times what slow start allows now; at least the probe rate.
    fn slow_start_rate(&self, now: Time, began: Time, settings: &Settings) -> f64 {
        let rules = &settings.rules;
        let warmup = now.since(began) as f64 / rules.slow_start.0.max(1) as f64;
        let share = rules.slow_start_share + (1.0 - rules.slow_start_share) * warmup.min(1.0);
        let equal_share = self.known_limit / settings.senders as f64 * RATE_DECREASE;
        let base_rate = self.rate.max(equal_share).max(1.0 / seconds(rules.slow_start.0).max(0.1));
        (base_rate * share * rules.overload_factor * RECOVERY_MARGIN)
            .min(self.rate_limit)
            .max(self.probe_rate(settings))
    }

    /// Calls per second that are safe while the route's health is unknown: this sender's share of what the
    /// recovery rule lets all send to a cold route. Without a known limit that is one per overload tolerance;
    /// but only those with a waiting message call, so each may send the cold share of one message per slow
    /// start.
    pub(super) fn probe_rate(&self, settings: &Settings) -> f64 {
        let cold = settings.rules.slow_start_share * settings.rules.overload_factor * RECOVERY_MARGIN;
        let tolerated =
            1.0 / (settings.senders as f64 * seconds(settings.rules.overload_tolerance.0).max(0.1));
        tolerated.max(
            cold * (self.known_limit / settings.senders as f64)
                .max(1.0 / seconds(settings.rules.slow_start.0).max(0.1)),
        )
    }

    /// Lower bound of the limit after rejections: half of this sender's equal share of the known limit,
    /// halved with each consecutive rejection, down to the random spread between this many senders or to the
    /// cold share. Without a known limit, the probe rate.
    pub(super) fn min_rate(&self, settings: &Settings) -> f64 {
        let spread = (1.0 / settings.senders as f64).sqrt().max(settings.rules.slow_start_share).min(0.5);
        let equal_share = self.known_limit / settings.senders as f64
            * 0.5f64.powi(self.rejections.clamp(1, 9) as i32).max(spread);
        if equal_share > 0.0 { equal_share } else { self.probe_rate(settings) }
    }
}

impl Sender {
    pub(super) fn record_retry_after(&mut self, endpoint: EndpointId, wait: Span) {
        let Some(target) = self.endpoints.get(&endpoint) else { return };
        let shared = self.destinations.get(&target.destination).and_then(|state| state.shared_route);
        let route = &mut self.routes[shared.unwrap_or(target.route)];
        route.retry_after_until = route.retry_after_until.max(Time(self.now.0 + wait.0));
    }

    /// Brings all routes of a destination up to now; false if it was never listed.
    pub(super) fn refresh(&mut self, destination: DestinationId) -> bool {
        let Some(destination) = self.destinations.get(&destination) else { return false };
        let own = destination.endpoints.iter().map(|id| self.endpoints[id].route);
        for route in own.chain(destination.shared_route) {
            self.routes[route].refresh(self.now, &self.settings);
        }
        true
    }

    /// The policy's own limits beside the sending rules: backoff, unresponsiveness, rate and connections.
    pub(super) fn within_limits(&self, route: &Route) -> bool {
        route.opens_at(self.now, &self.settings).is_some_and(|opens_at| opens_at <= self.now)
    }

    /// When some endpoint of the destination and the destination itself open, regardless of the message.
    pub(super) fn opening(
        &self,
        destination: DestinationId,
        opens: impl Fn(&Route) -> Option<Time>,
    ) -> Option<Time> {
        let destination = self.destinations.get(&destination)?;
        let endpoints = destination.endpoints.iter().map(|id| &self.endpoints[id]);
        let active = endpoints.filter(|endpoint| self.rule_draining(endpoint));
        let own = active.filter_map(|endpoint| opens(&self.routes[endpoint.route])).min()?;
        Some(own.max(destination.shared_route.map_or(Some(own), |route| opens(&self.routes[route]))?))
    }

    /// When a new call may go to the destination; `None` while only a completed call or a
    /// change of the list could permit one.
    pub(super) fn next_call_at(&self, destination: DestinationId) -> Option<Time> {
        let opening = self.opening(destination, |route| route.opens_at(self.now, &self.settings));
        opening.filter(|_| self.has_slot(destination))
    }

    /// Whether the destination may use more slots, regardless of its routes.
    pub(super) fn has_slot(&self, destination: DestinationId) -> bool {
        let max_calls = ((self.settings.slots as f64 * MAX_SLOT_SHARE) as usize).max(2);
        self.destinations.get(&destination).is_some_and(|state| state.calls < max_calls)
    }
}
