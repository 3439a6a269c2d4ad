//! Endpoint selection: the endpoint with the lowest expected time among those that may be sent to.

use super::state::{Health, PendingMessage, Route};
use super::{Sender, seconds};
use crate::interface::{EndpointId, MessageId, Repeat};

/// Longest deferral of an unsafe message from a failing route, in slow starts: outages last about as long.
const MAX_DEFER_SLOW_STARTS: f64 = 0.5;
/// Minimum failure rate at which an unsafe message is deferred: below it the rate is mostly noise.
const MIN_DEFER_FAILURE_RATE: f64 = 0.2;
/// Cost factor of another zone on the expected latency: cross-zone traffic has a price.
const REMOTE_ZONE_COST: f64 = 1.2;
/// Weight of the failure rate in the cost of an endpoint.
const FAILURE_COST: f64 = 4.0;

impl Sender {
    /// The permitted endpoint with the lowest expected latency; a due probe goes before the others.
    pub(super) fn select_endpoint(&self, id: MessageId) -> Option<EndpointId> {
        let pending = self.pending.get(&id)?;
        let destination = self.destinations.get(&pending.message.destination)?;
        // An endpoint not yet called counts as fast as the fastest known, faster where many calls follow.
        let routes = || destination.endpoints.iter().map(|e| &self.routes[self.endpoints[e].route]);
        let calls = routes().map(|l| l.rate).sum::<f64>() * seconds(self.settings.rules.overload_tolerance.0);
        let known = routes().map(|l| l.latency).filter(|l| *l > 0.0).min_by(f64::total_cmp);
        let new = known.unwrap_or(1.0) / calls.max(1.0);
        let cost = |endpoint: &EndpointId| {
            let at = &self.endpoints[endpoint];
            let route = &self.routes[at.route];
            let trial = matches!(route.health, Health::Down(_));
            let busy = if trial { 0.0 } else { 1.0 + route.out.len() as f64 };
            let far = if at.zone == self.settings.zone { 1.0 } else { REMOTE_ZONE_COST };
            let latency = if route.latency > 0.0 { route.latency } else { new };
            latency * busy * far * (1.0 + FAILURE_COST * route.failure_rate)
        };
        let open = destination.endpoints.iter().filter(|endpoint| {
            let route = &self.routes[self.endpoints[endpoint].route];
            !self.should_defer(pending, route) && self.may_send(id, **endpoint, false)
        });
        open.min_by(|a, b| cost(a).total_cmp(&cost(b))).copied()
    }

    /// An unsafe message has one attempt: it is deferred while failures that may have executed would cost
    /// more, by the failure rate, than the delay would.
    fn should_defer(&self, pending: &PendingMessage, route: &Route) -> bool {
        let delay = self.settings.rules.slow_start.0 as f64 * MAX_DEFER_SLOW_STARTS;
        let value = self.value_after(pending, 0.0);
        pending.message.class.repeat == Repeat::Unsafe
            && route.failure_rate * value
                > (value - self.value_after(pending, delay)).max(MIN_DEFER_FAILURE_RATE * value)
    }
}
