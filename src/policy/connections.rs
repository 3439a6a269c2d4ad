//! Connection limits of endpoints, and idle connections that are dead or not worth keeping.
//!
//! Both closing idle connections and keeping none cost handshakes where a destination is merely slow or down.

use super::state::{Attempt, Health, Route};
use super::timeouts::OVERDUE_DEVIATIONS;
use super::{Sender, seconds};
use crate::interface::{Action, Outcome, Time};

/// Longest expected wait for the next call, in overload tolerances, for which an idle connection is kept ...
pub(super) const MAX_IDLE_KEEP: f64 = 2.0;
/// ... halved with each call that finds no connection, at most so often; it grows by this share with others.
const IDLE_KEEP_DECAY: (i32, f64) = (6, 0.02);

impl Sender {
    /// Idle connections can be dead unnoticed: each call on one is lost, though the endpoint is healthy.
    /// After silence they are closed, and connections idle for as long as the lost call's are no longer
    /// used, a span that grows again. They also fill small connection tables: a sender that expects no call
    /// within the time for which a kind's tables have capacity keeps none.
    pub(super) fn close_idle(&mut self, attempt: Attempt, outcome: Outcome, actions: &mut Vec<Action>) {
        let at = &self.endpoints[&attempt.endpoint];
        let (route, kind) = (&self.routes[at.route], at.kind);
        let silent = matches!(outcome, Outcome::TimedOut | Outcome::Reset);
        let crowded = matches!(outcome, Outcome::ConnectFailed | Outcome::NoRoom);
        if !silent {
            let (keep, (halvings, growth)) = (&mut self.idle_keep[kind.0], IDLE_KEEP_DECAY);
            *keep *= if crowded { 0.5 } else { 1.0 + growth };
            *keep = keep.clamp(MAX_IDLE_KEEP * 0.5f64.powi(halvings), MAX_IDLE_KEEP);
        }
        let span = self.idle_keep[kind.0] * seconds(self.settings.rules.overload_tolerance.0);
        let rare = |route: &Route| {
            self.idle_keep[kind.0] < MAX_IDLE_KEEP && route.rate * span < 1.0 && route.out.len() <= 1
        };
        if silent || rare(route) {
            actions.push(Action::CloseIdle(attempt.endpoint));
        }
        if outcome == Outcome::NoRoom {
            let others = self.endpoints.iter().filter(|(_, e)| e.kind == kind && rare(&self.routes[e.route]));
            actions.extend(others.map(|(endpoint, _)| Action::CloseIdle(*endpoint)));
        }
        let healthy = seconds(route.latency_bound(OVERDUE_DEVIATIONS) as u64);
        if let Some(call) = self.calls.get(&attempt.call).filter(|call| silent && call.idle_s > healthy) {
            self.trusted_idle_s = self.trusted_idle_s.min(call.idle_s);
        }
    }

    /// An endpoint that responds but has no connection for one more call is full, not in an outage: its
    /// concurrency is limited to what it accepted, and after a while probed with one more.
    pub(super) fn limit_connections(
        &mut self,
        at: usize,
        sent: Time,
        concurrency: usize,
        outcome: Outcome,
    ) -> bool {
        let (now, rules) = (self.now, self.settings.rules);
        let quick = now.since(sent) < self.settings.connect_timeout.0 / 2;
        let route = &mut self.routes[at];
        let answers = quick && concurrency > 1 && sent.since(route.last_success) < rules.overload_tolerance.0;
        match outcome {
            Outcome::NoRoom if route.health != Health::Up => false,
            Outcome::ConnectFailed | Outcome::NoRoom if outcome == Outcome::NoRoom || answers => {
                if route.endpoint.is_some() {
                    let connections = (concurrency - 1).max(1);
                    route.connection_limit = if route.connection_limit == 0 {
                        connections
                    } else {
                        route.connection_limit.min(connections)
                    };
                    route.limit_seen_at = now;
                    // Rejected connections cost the endpoint work too: all senders together try no more of
                    // them than it accepts calls.
                    let part = route.known_limit / self.settings.senders as f64;
                    if part > 0.0 && outcome == Outcome::NoRoom {
                        route.pace_limit = route.pace_limit.min(part.max(route.rate));
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
