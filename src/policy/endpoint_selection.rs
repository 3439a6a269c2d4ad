//! Endpoint selection: the endpoint with the lowest cost, mainly expected latency, among the permitted ones.

use super::state::{Health, PendingMessage, Route};
use super::{Sender, seconds};
use crate::interface::{EndpointId, MessageId, Repeat};

/// Assumed delay of a deferred unsafe message, in slow starts: outages last about as long.
const MAX_DEFER_SLOW_STARTS: f64 = 0.5;
/// Minimum failure rate at which an unsafe message is deferred: below it the rate is mostly noise.
const MIN_DEFER_FAILURE_RATE: f64 = 0.2;
/// Cost factor of another zone on the expected latency: cross-zone traffic has a price.
const REMOTE_ZONE_COST: f64 = 1.2;
/// Weight of the failure rate in the cost of an endpoint.
const FAILURE_COST: f64 = 4.0;

impl Sender {
    /// The permitted endpoint with the lowest cost; a due probe goes first.
    pub(super) fn select_endpoint(&self, id: MessageId) -> Option<EndpointId> {
        let pending = self.pending.get(&id)?;
        let destination = self.destinations.get(&pending.message.destination)?;
        // An endpoint not yet called counts as fast as the fastest known one, or faster at a high call rate.
        let routes = || destination.endpoints.iter().map(|id| &self.routes[self.endpoints[id].route]);
        let calls =
            routes().map(|route| route.rate).sum::<f64>() * seconds(self.settings.rules.overload_tolerance.0);
        let fastest =
            routes().map(|route| route.latency).filter(|latency| *latency > 0.0).min_by(f64::total_cmp);
        let unknown_latency = fastest.unwrap_or(1.0) / calls.max(1.0);
        let cost = |id: &EndpointId| {
            let endpoint = &self.endpoints[id];
            let route = &self.routes[endpoint.route];
            let probe = matches!(route.health, Health::Down(_));
            let load = if probe { 0.0 } else { 1.0 + route.in_flight.len() as f64 };
            let zone_cost = if endpoint.zone == self.settings.zone { 1.0 } else { REMOTE_ZONE_COST };
            let latency = if route.latency > 0.0 { route.latency } else { unknown_latency };
            latency * load * zone_cost * (1.0 + FAILURE_COST * route.failure_rate)
        };
        let permitted = destination.endpoints.iter().filter(|endpoint| {
            let route = &self.routes[self.endpoints[endpoint].route];
            !self.should_defer(pending, route) && self.may_send(id, **endpoint, false)
        });
        permitted.min_by(|a, b| cost(a).total_cmp(&cost(b))).copied()
    }

    /// Whether an unsafe message, which has one attempt, is deferred: while failures that may have executed
    /// would cost more, by the route's failure rate, than the delay would.
    fn should_defer(&self, pending: &PendingMessage, route: &Route) -> bool {
        let delay = self.settings.rules.slow_start.0 as f64 * MAX_DEFER_SLOW_STARTS;
        let value = self.value_after(pending, 0.0);
        pending.message.class.repeat == Repeat::Unsafe
            && route.failure_rate * value
                > (value - self.value_after(pending, delay)).max(MIN_DEFER_FAILURE_RATE * value)
    }
}
