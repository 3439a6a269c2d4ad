//! Recording of outcomes: updates the latency, health and limits of the routes that a call used.

use super::Sender;
use super::outage::{Observation, SMOOTHING};
use super::state::{Attempt, Health};
use super::timeouts::LOSSY_SHARE;
use crate::interface::{DestinationId, EndpointId, Outcome, Report, Time};

/// Weight of a new call in a mean over all routes.
const POOLED_SMOOTHING: f64 = 0.05;

impl Sender {
    /// Records the outcome of an attempt for the routes of its call; a batch counts once.
    pub(super) fn record_outcome(&mut self, attempt: Attempt, outcome: Outcome, report: Option<Report>) {
        let Some(call) = self.calls.get_mut(&attempt.call) else { return };
        let (sent, routes, first, concurrency) = (call.sent, call.routes, !call.recorded, call.concurrency);
        call.recorded = true;
        call.unfinished -= 1;
        let done = call.unfinished == 0;
        let endpoint = &self.endpoints[&attempt.endpoint];
        let destination = endpoint.destination;
        if outcome == Outcome::Success && first {
            for (earlier, _) in
                self.routes[endpoint.route].in_flight.iter().filter(|(_, began)| *began < sent)
            {
                self.calls.entry(*earlier).and_modify(|call| call.overtaken_by += 1);
            }
        }
        self.refresh(destination);
        if done {
            self.calls.remove(&attempt.call);
            self.destinations.entry(destination).or_default().calls -= 1;
        }
        let limited_route = routes[1].or(routes[0]);
        for route in routes.into_iter().flatten() {
            if done {
                self.routes[route].in_flight.retain(|(call, _)| *call != attempt.call);
            }
            if first && !self.limit_connections(route, sent, concurrency, outcome) {
                self.update_route(route, limited_route == Some(route), sent, outcome, report);
            }
            // Each message of a batch may have its own `Retry-After`: the longest applies.
            if let (Outcome::Full(Some(wait)), true) = (outcome, limited_route == Some(route)) {
                self.routes[route].retry_after_until =
                    self.routes[route].retry_after_until.max(Time(self.now.0 + wait.0));
            }
        }
        if first
            && !matches!(outcome, Outcome::Success | Outcome::Cancelled | Outcome::Void | Outcome::NoRoom)
        {
            self.close_shared_route(destination);
        }
    }

    /// Marks a shared route as down once none of its endpoints is up; it then recovers as one. Endpoints that
    /// share a limit can fail one by one.
    fn close_shared_route(&mut self, destination: DestinationId) {
        let Some(destination) = self.destinations.get(&destination) else { return };
        let Some(shared) = destination.shared_route else { return };
        let health = |id: &EndpointId| self.routes[self.endpoints[id].route].health;
        let mut active = destination.endpoints.iter().filter(|id| self.endpoints[*id].in_service());
        // An excluded endpoint returns only by an operator's command.
        let counted = destination.endpoints.iter().filter(|id| !self.endpoints[*id].excluded);
        let probes =
            counted.filter_map(|id| if let Health::Down(next) = health(id) { Some(next) } else { None });
        if let Some(next) = probes.min()
            && active.all(|id| health(id) != Health::Up)
            && !matches!(self.routes[shared].health, Health::Down(_))
        {
            self.routes[shared].health = Health::Down(next);
        }
    }

    fn update_route(
        &mut self,
        route_id: usize,
        owns_limit: bool,
        sent: Time,
        outcome: Outcome,
        report: Option<Report>,
    ) {
        let (now, jitter) = (self.now, self.random());
        let settings = &self.settings;
        let wait_end = if let Outcome::Full(Some(wait)) = outcome { now.after(wait.0 as f64) } else { now };
        let route = &mut self.routes[route_id];
        if let Some(report) = report.filter(|_| owns_limit) {
            route.known_limit = if report.limit > 0.0 { report.limit } else { route.known_limit };
        }
        let elapsed = now.since(sent) as f64;
        // A later call was answered since: this answer was lost, the endpoint is not slow.
        let overtaken = outcome == Outcome::TimedOut && route.last_success > sent;
        if overtaken && route.endpoint.is_some() {
            self.lost_seen_at = Some(now);
        }
        match outcome {
            Outcome::Success | Outcome::TimedOut if route.latency == 0.0 => {
                (route.latency, route.deviation) = (elapsed, elapsed / 2.0);
            }
            // A lost answer says nothing about the latency.
            Outcome::TimedOut if self.lost_share > LOSSY_SHARE || overtaken => {}
            Outcome::Success | Outcome::TimedOut => {
                route.deviation += SMOOTHING * ((elapsed - route.latency).abs() - route.deviation);
                route.latency += SMOOTHING * (elapsed - route.latency);
            }
            _ => {}
        }
        let previous_health = route.health;
        if route.endpoint.is_some() {
            let unanswered = f64::from(u8::from(matches!(outcome, Outcome::TimedOut | Outcome::Reset)));
            self.lost_share += POOLED_SMOOTHING * (unanswered - self.lost_share);
        }
        let call = Observation { now, sent, elapsed, jitter, owns_limit };
        match outcome {
            Outcome::Cancelled | Outcome::Void => return,
            // Says nothing about the health of a recovering endpoint: the next probe, or slow start, will
            // show it.
            Outcome::NoRoom => {}
            Outcome::Success => route.record_success(&call),
            Outcome::Full(wait) => route.record_rejection(&call, wait, settings),
            Outcome::Failure | Outcome::TimedOut | Outcome::Reset | Outcome::ConnectFailed => {
                route.record_failure(&call, outcome, settings);
            }
        }
        route.last_answer = now;
        if let Health::Down(_) = route.health {
            let gap =
                if route.known_limit > 0.0 { 1e6 } else { 5e5 } * (0.5 + jitter) / route.probe_rate(settings);
            route.health = Health::Down(wait_end.after(gap));
        }
        if previous_health == Health::Up && route.health != Health::Up {
            let endpoint = route.endpoint.map_or(String::new(), |id| format!(" endpoint #{}", id.0));
            self.log.push(format!("destination {}{endpoint} closed: {outcome:?}", route.destination.0));
        }
    }
}
