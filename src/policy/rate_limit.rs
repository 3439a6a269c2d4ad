//! Rate limiting of a route: a token bucket whose rate adapts to rejections, slow start after an outage, and
//! the time at which a route or destination next accepts a call.

use super::state::{Health, Route};
use super::{RATE_WINDOW_S, Sender, seconds};
use crate::interface::{DestinationId, EndpointId, Settings, Span, Time};

/// Share of the slots that one destination may fill, so that an unresponsive one cannot take them all.
const MAX_SLOT_SHARE: f64 = 0.5;
/// Rate left after a rejection above the limit, as a share of the successful rate.
pub(super) const RATE_DECREASE: f64 = 0.8;
/// Growth of that rate per second without rejections.
const RATE_GROWTH_PER_S: f64 = 0.25;
/// A recovering route is sent at most this share of what the recovery rule allows (other senders return too).
const RECOVERY_MARGIN: f64 = 0.9;
/// Burst of a healthy route: seconds of its rate limit that may be sent at once.
const BURST_S: f64 = 0.5;

impl Route {
    /// When the route has its next token: during slow start too early while far off, as the rate still rises.
    fn next_token_at(&self, settings: &Settings) -> Time {
        let missing = 1.0 - self.tokens;
        let (from, wait) = match self.health {
            _ if missing <= 0.0 => (Time(0), 0.0),
            Health::Recovering(began) => {
                let from = self.refilled_at.max(began);
                let longest = missing / self.slow_start_rate(from, began, settings);
                (from, missing / self.slow_start_rate(from.after(longest * 1e6), began, settings))
            }
            Health::Up => (
                self.refilled_at,
                (missing * RATE_GROWTH_PER_S / self.pace_limit).ln_1p() / RATE_GROWTH_PER_S,
            ),
            Health::Down(_) => (self.refilled_at, missing / self.pace_limit),
        };
        from.after((wait * 1e6).ceil())
    }

    /// Until when the route accepts nothing, as far as is known.
    pub(super) fn closed_until(&self) -> Time {
        let away = if let Health::Down(at) | Health::Recovering(at) = self.health { at } else { Time(0) };
        self.retry_after_until.max(self.backoff_until).max(away)
    }

    /// The first time at which the route may accept a call; none where a call must complete before.
    pub(super) fn opens_at(&self, now: Time, settings: &Settings) -> Option<Time> {
        let at_limit = self.connection_limit > 0 && self.out.len() >= self.connection_limit;
        let attempt = matches!(self.health, Health::Down(_)) && !self.out.is_empty();
        let paused = self.closed_until().max(self.next_token_at(settings));
        (!at_limit && !attempt).then(|| self.stalled_until(now).map_or(paused, |at| at.max(paused)))
    }

    /// Brings the learned rate and the tokens up to `now`: on use, as a list may be long.
    pub(super) fn refresh(&mut self, now: Time, settings: &Settings) {
        let mut elapsed_s = seconds(now.since(self.refilled_at));
        if let Health::Recovering(began) = self.health {
            elapsed_s = elapsed_s.min(seconds(now.since(began)));
            if now.since(began) >= settings.rules.slow_start.0 {
                self.health = Health::Up;
            }
        }
        self.refilled_at = now;
        let old_limit = self.pace_limit;
        if self.health == Health::Up {
            self.rate *= (-elapsed_s / RATE_WINDOW_S).exp();
            self.pace_limit *= (RATE_GROWTH_PER_S * elapsed_s).exp();
        }
        // Failures that do not recur fade.
        self.failure_rate *= (-elapsed_s / seconds(settings.rules.slow_start.0.max(1))).exp();
        // The integral of the rate limit, so that it doesn't depend on how often this is called.
        let (gained, depth) = match self.health {
            Health::Recovering(began) => (
                self.slow_start_rate(Time(now.0 - (elapsed_s * 5e5) as u64), began, settings) * elapsed_s,
                1.0,
            ),
            Health::Up => ((self.pace_limit - old_limit) / RATE_GROWTH_PER_S, (old_limit * BURST_S).max(1.0)),
            Health::Down(_) => (old_limit * elapsed_s, (old_limit * BURST_S).max(1.0)),
        };
        self.tokens = if gained.is_finite() { (self.tokens + gained).min(depth) } else { depth };
    }

    /// Calls per second that this sender may add to a recovering route: its share of what the route accepted
    /// before, times what slow start allows now; at least one per overload tolerance between senders.
    fn slow_start_rate(&self, now: Time, began: Time, settings: &Settings) -> f64 {
        let rules = &settings.rules;
        let warm = now.since(began) as f64 / rules.slow_start.0.max(1) as f64;
        let share = rules.slow_start_share + (1.0 - rules.slow_start_share) * warm.min(1.0);
        let equal = self.known_limit / settings.senders as f64 * RATE_DECREASE;
        let usual = self.rate.max(equal).max(1.0 / seconds(rules.slow_start.0).max(0.1));
        (usual * share * rules.overload_factor * RECOVERY_MARGIN)
            .min(self.pace_limit)
            .max(self.probe_rate(settings))
    }

    /// Calls per second that are safe while the route's health is unknown: this sender's part of what the
    /// rule lets all of them send to a cold one. Without a known limit that is one per overload tolerance;
    /// but only those with a message waiting call, so each may send the cold share of one message per slow
    /// start.
    pub(super) fn probe_rate(&self, settings: &Settings) -> f64 {
        let cold = settings.rules.slow_start_share * settings.rules.overload_factor * RECOVERY_MARGIN;
        let equal = 1.0 / (settings.senders as f64 * seconds(settings.rules.overload_tolerance.0).max(0.1));
        equal.max(
            cold * (self.known_limit / settings.senders as f64)
                .max(1.0 / seconds(settings.rules.slow_start.0).max(0.1)),
        )
    }

    /// The rate limit that rejections never go below: half the equal part of the known limit, halved with
    /// each consecutive one, down to the random spread of so many senders' parts, or to the cold share.
    /// Without a known limit, the probe rate.
    pub(super) fn min_rate(&self, settings: &Settings) -> f64 {
        let spread = (1.0 / settings.senders as f64).sqrt().max(settings.rules.slow_start_share).min(0.5);
        let part = self.known_limit / settings.senders as f64
            * 0.5f64.powi(self.rejections.clamp(1, 9) as i32).max(spread);
        if part > 0.0 { part } else { self.probe_rate(settings) }
    }
}

impl Sender {
    pub(super) fn record_retry_after(&mut self, endpoint: EndpointId, wait: Span) {
        let Some(at) = self.endpoints.get(&endpoint) else { return };
        let shared = self.destinations.get(&at.destination).and_then(|d| d.shared_route);
        let route = &mut self.routes[shared.unwrap_or(at.route)];
        route.retry_after_until = route.retry_after_until.max(Time(self.now.0 + wait.0));
    }

    /// Brings all routes of a destination up to now; false where it was never listed.
    pub(super) fn refresh(&mut self, destination: DestinationId) -> bool {
        let Some(d) = self.destinations.get(&destination) else { return false };
        for route in d.endpoints.iter().map(|e| self.endpoints[e].route).chain(d.shared_route) {
            self.routes[route].refresh(self.now, &self.settings);
        }
        true
    }

    /// The policy's own limits beside the rules': backoff, silence, learned rate and connections.
    pub(super) fn within_limits(&self, route: &Route) -> bool {
        route.opens_at(self.now, &self.settings).is_some_and(|at| at <= self.now)
    }

    /// When some endpoint of the destination and the destination itself open, whatever the message.
    pub(super) fn opening(
        &self,
        destination: DestinationId,
        opens: impl Fn(&Route) -> Option<Time>,
    ) -> Option<Time> {
        let d = self.destinations.get(&destination)?;
        let active = d.endpoints.iter().map(|e| &self.endpoints[e]).filter(|at| self.rule_draining(at));
        let own = active.filter_map(|at| opens(&self.routes[at.route])).min()?;
        Some(own.max(d.shared_route.map_or(Some(own), |route| opens(&self.routes[route]))?))
    }

    /// When a new call may go to the destination.
    pub(super) fn next_call_at(&self, destination: DestinationId) -> Option<Time> {
        let opening = self.opening(destination, |route| route.opens_at(self.now, &self.settings));
        opening.filter(|_| self.has_slot(destination))
    }

    /// Whether the destination may use more slots, whatever its routes.
    pub(super) fn has_slot(&self, destination: DestinationId) -> bool {
        let most = ((self.settings.slots as f64 * MAX_SLOT_SHARE) as usize).max(2);
        self.destinations.get(&destination).is_some_and(|d| d.calls < most)
    }
}
