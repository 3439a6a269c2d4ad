//! Recording of outcomes: each call's outcome goes to its routes, their latency, health and limits.

use super::Sender;
use super::outage::{Observation, SMOOTHING};
use super::state::{Attempt, Health};
use super::timeouts::LOSSY_SHARE;
use crate::interface::{DestinationId, EndpointId, Outcome, Report, Time};

/// Weight of one more call in a share that is learned over many routes.
const POOLED_SMOOTHING: f64 = 0.05;

impl Sender {
    /// Records an outcome with the routes of its call; a batch has one outcome and counts once.
    pub(super) fn record_outcome(&mut self, attempt: Attempt, outcome: Outcome, report: Option<Report>) {
        let Some(call) = self.calls.get_mut(&attempt.call) else { return };
        let (sent, routes, first, concurrency) = (call.sent, call.routes, !call.recorded, call.concurrency);
        call.recorded = true;
        call.unfinished -= 1;
        let done = call.unfinished == 0;
        let at = &self.endpoints[&attempt.endpoint];
        let destination = at.destination;
        if outcome == Outcome::Success && first {
            for (before, _) in self.routes[at.route].out.iter().filter(|(_, began)| *began < sent) {
                self.calls.entry(*before).and_modify(|call| call.overtaken_by += 1);
            }
        }
        self.refresh(destination);
        if done {
            self.calls.remove(&attempt.call);
            self.destinations.entry(destination).or_default().calls -= 1;
        }
        let gate = routes[1].or(routes[0]);
        for route in routes.into_iter().flatten() {
            if done {
                self.routes[route].out.retain(|(call, _)| *call != attempt.call);
            }
            if first && !self.limit_connections(route, sent, concurrency, outcome) {
                self.learn(route, gate == Some(route), sent, outcome, report);
            }
            // Each message of a batch may have its own `Retry-After`: the longest applies.
            if let (Outcome::Full(Some(wait)), true) = (outcome, gate == Some(route)) {
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

    /// Endpoints that share a limit can fail one by one; with the last of them the whole destination is down,
    /// and recovers as one.
    fn close_shared_route(&mut self, destination: DestinationId) {
        let Some(d) = self.destinations.get(&destination) else { return };
        let Some(shared) = d.shared_route else { return };
        let health = |e: &EndpointId| self.routes[self.endpoints[e].route].health;
        let mut active = d.endpoints.iter().filter(|e| self.endpoints[*e].in_service());
        // An excluded one returns only by an operator's command.
        let counted = d.endpoints.iter().filter(|e| !self.endpoints[*e].excluded);
        let next = counted.filter_map(|e| if let Health::Down(next) = health(e) { Some(next) } else { None });
        if let Some(next) = next.min()
            && active.all(|e| health(e) != Health::Up)
            && !matches!(self.routes[shared].health, Health::Down(_))
        {
            self.routes[shared].health = Health::Down(next);
        }
    }

    fn learn(&mut self, at: usize, gate: bool, sent: Time, outcome: Outcome, report: Option<Report>) {
        let (now, jitter) = (self.now, self.random());
        let s = &self.settings;
        let wait_end = if let Outcome::Full(Some(wait)) = outcome { now.after(wait.0 as f64) } else { now };
        let route = &mut self.routes[at];
        if let Some(report) = report.filter(|_| gate) {
            route.known_limit = if report.limit > 0.0 { report.limit } else { route.known_limit };
        }
        let elapsed = now.since(sent) as f64;
        // Calls that began later have been answered: this answer got lost, the endpoint is not slow.
        let overtaken = outcome == Outcome::TimedOut && route.last_success > sent;
        if overtaken && route.endpoint.is_some() {
            self.lost_seen_at = Some(now);
        }
        match outcome {
            Outcome::Success | Outcome::TimedOut if route.latency == 0.0 => {
                (route.latency, route.deviation) = (elapsed, elapsed / 2.0);
            }
            // A lost answer says nothing of the latency.
            Outcome::TimedOut if self.lost_share > LOSSY_SHARE || overtaken => {}
            Outcome::Success | Outcome::TimedOut => {
                route.deviation += SMOOTHING * ((elapsed - route.latency).abs() - route.deviation);
                route.latency += SMOOTHING * (elapsed - route.latency);
            }
            _ => {}
        }
        let before = route.health;
        if route.endpoint.is_some() {
            let seen = f64::from(u8::from(matches!(outcome, Outcome::TimedOut | Outcome::Reset)));
            self.lost_share += POOLED_SMOOTHING * (seen - self.lost_share);
        }
        let call = Observation { now, sent, elapsed, jitter, gate };
        match outcome {
            Outcome::Cancelled | Outcome::Void => return,
            // A recovering endpoint has no connection yet: the next probe, or the slow start, finds out.
            Outcome::NoRoom => {}
            Outcome::Success => route.record_success(&call),
            Outcome::Full(wait) => route.record_rejection(&call, wait, s),
            Outcome::Failure | Outcome::TimedOut | Outcome::Reset | Outcome::ConnectFailed => {
                route.record_failure(&call, outcome, s);
            }
        }
        route.last_answer = now;
        if let Health::Down(_) = route.health {
            let gap = if route.known_limit > 0.0 { 1e6 } else { 5e5 } * (0.5 + jitter) / route.probe_rate(s);
            route.health = Health::Down(wait_end.after(gap));
        }
        if before == Health::Up && route.health != Health::Up {
            let endpoint = route.endpoint.map_or(String::new(), |e| format!(" endpoint #{}", e.0));
            self.log.push(format!("destination {}{endpoint} closed: {outcome:?}", route.destination.0));
        }
    }
}
