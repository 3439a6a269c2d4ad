//! Connection limits of endpoints, and closing of idle connections that are dead or not worth keeping.
//!
//! Where a destination is merely slow or down, closing idle connections and keeping none cost handshakes.

use super::state::{Attempt, Health, Route};
use super::timeouts::OVERDUE_DEVIATIONS;
use super::{Sender, seconds};
use crate::interface::{Action, Outcome, Time};

/// An idle connection is kept if the next call is expected within this many overload tolerances at most ...
pub(super) const MAX_IDLE_TOLERANCES: f64 = 2.0;
/// ... halved with each call that gets no connection, at most this often; others increase it by this share.
const IDLE_KEEP_DECAY: (i32, f64) = (6, 0.02);

impl Sender {
    /// Closes idle connections. One can be dead unnoticed: a call on it is lost though the endpoint is
    /// healthy. After an unanswered call they are closed, and connections idle for as long as that call's are
    /// no longer used; this limit grows again. They also fill small connection tables: a sender that expects
    /// no call within the time for which a kind's tables have capacity keeps none.
    pub(super) fn close_idle(&mut self, attempt: Attempt, outcome: Outcome, actions: &mut Vec<Action>) {
        let endpoint = &self.endpoints[&attempt.endpoint];
        let (route, kind) = (&self.routes[endpoint.route], endpoint.kind);
        let unanswered = matches!(outcome, Outcome::TimedOut | Outcome::Reset);
        let no_connection = matches!(outcome, Outcome::ConnectFailed | Outcome::NoRoom);
        if !unanswered {
            let (idle_tolerances, (max_halvings, growth)) =
                (&mut self.idle_tolerances[kind.0], IDLE_KEEP_DECAY);
            *idle_tolerances *= if no_connection { 0.5 } else { 1.0 + growth };
            *idle_tolerances =
                idle_tolerances.clamp(MAX_IDLE_TOLERANCES * 0.5f64.powi(max_halvings), MAX_IDLE_TOLERANCES);
        }
        let keep_s = self.idle_tolerances[kind.0] * seconds(self.settings.rules.overload_tolerance.0);
        let rarely_called = |route: &Route| {
            self.idle_tolerances[kind.0] < MAX_IDLE_TOLERANCES
                && route.rate * keep_s < 1.0
                && route.in_flight.len() <= 1
        };
        if unanswered || rarely_called(route) {
            actions.push(Action::CloseIdle(attempt.endpoint));
        }
        if outcome == Outcome::NoRoom {
            let others = self
                .endpoints
                .iter()
                .filter(|(_, endpoint)| endpoint.kind == kind && rarely_called(&self.routes[endpoint.route]));
            actions.extend(others.map(|(id, _)| Action::CloseIdle(*id)));
        }
        let slowest_healthy_s = seconds(route.latency_bound(OVERDUE_DEVIATIONS) as u64);
        if let Some(call) =
            self.calls.get(&attempt.call).filter(|call| unanswered && call.idle_s > slowest_healthy_s)
        {
            self.trusted_idle_s = self.trusted_idle_s.min(call.idle_s);
        }
    }

    /// Limits the concurrency of an endpoint that responds but has no free connection, which is no outage, to
    /// what it accepted; later successes raise the limit one by one. True if it handled the outcome.
    pub(super) fn limit_connections(
        &mut self,
        route_id: usize,
        sent: Time,
        concurrency: usize,
        outcome: Outcome,
    ) -> bool {
        let (now, rules) = (self.now, self.settings.rules);
        let answered_quickly = now.since(sent) < self.settings.connect_timeout.0 / 2;
        let route = &mut self.routes[route_id];
        let responding = answered_quickly
            && concurrency > 1
            && sent.since(route.last_success) < rules.overload_tolerance.0;
        match outcome {
            Outcome::NoRoom if route.health != Health::Up => false,
            Outcome::ConnectFailed | Outcome::NoRoom if outcome == Outcome::NoRoom || responding => {
                if route.endpoint.is_some() {
                    let connections = (concurrency - 1).max(1);
                    route.connection_limit = if route.connection_limit == 0 {
                        connections
                    } else {
                        route.connection_limit.min(connections)
                    };
                    route.limit_seen_at = now;
                    // Rejecting connections costs the endpoint work too: all senders together attempt no more
                    // of them than it accepts calls.
                    let equal_share = route.known_limit / self.settings.senders as f64;
                    if equal_share > 0.0 && outcome == Outcome::NoRoom {
                        route.rate_limit = route.rate_limit.min(equal_share.max(route.rate));
                        route.tokens = route.tokens.min(0.0);
                    }
                }
                true
            }
            Outcome::Success if route.connection_limit > 0 && concurrency >= route.connection_limit => {
                if now.since(route.limit_seen_at) >= rules.overload_tolerance.0 {
                    (route.connection_limit, route.limit_seen_at) = (route.connection_limit + 1, now);
                }
                false
            }
            _ => false,
        }
    }
}
