//! The six sending rules. Every send passes [`Sender::may_send`], which checks them all.

use super::Sender;
use super::state::{Endpoint, Health, PendingMessage, Progress, Route};
use crate::interface::{EndpointId, MessageId, Time};

impl Sender {
    /// Checks every send. `joins`: it shares a call that was already permitted in this step.
    pub(super) fn may_send(&self, id: MessageId, endpoint: EndpointId, joins: bool) -> bool {
        let (Some(pending), Some(target)) = (self.pending.get(&id), self.endpoints.get(&endpoint)) else {
            return false;
        };
        let shared = self.destinations.get(&target.destination).and_then(|state| state.shared_route);
        let routes = [Some(&self.routes[target.route]), shared.map(|route| &self.routes[route])];
        target.destination == pending.message.destination
            && pending.attempts < self.settings.max_attempts
            && (joins || self.has_slot(target.destination))
            && self.ends_before_shutdown(&self.routes[target.route])
            && self.rule_deadline(pending)
            && self.rule_idempotency(pending, target)
            && self.rule_draining(target)
            && self.rule_ordering(pending)
            && routes.iter().flatten().all(|route| {
                self.rule_retry_after(route)
                    && (joins || (self.rule_slow_start(route) && self.within_limits(route)))
            })
    }

    /// Whether a call delayed by connecting may still be sent: meanwhile a `Retry-After` may have been
    /// reported, draining may have begun, or the deduplication window may have ended.
    pub fn may_begin(&self, now: Time, id: MessageId, endpoint: EndpointId) -> bool {
        let (Some(pending), Some(target)) = (self.pending.get(&id), self.endpoints.get(&endpoint)) else {
            return false;
        };
        let shared = self.destinations.get(&target.destination).and_then(|state| state.shared_route);
        self.rule_draining(target)
            && self.is_retryable(pending, now)
            && now >= self.routes[shared.unwrap_or(target.route)].retry_after_until
    }

    /// Rule 1: only a message that is not complete and has time left.
    fn rule_deadline(&self, pending: &PendingMessage) -> bool {
        matches!(pending.progress, Progress::Waiting(_)) && self.now < self.latest_end(pending)
    }

    /// Rule 3: no new calls to draining, removed or excluded endpoints. Stricter than required: without the
    /// grace time.
    pub(super) fn rule_draining(&self, target: &Endpoint) -> bool {
        target.in_service()
    }

    /// Rule 4: one call at a time in an outage; then slow start, by tokens.
    fn rule_slow_start(&self, route: &Route) -> bool {
        match route.health {
            Health::Up => true,
            Health::Down(next) => self.now >= next && route.in_flight.is_empty(),
            Health::Recovering(_) => route.tokens >= 1.0,
        }
    }

    /// Rule 5: a reported `Retry-After` is observed.
    fn rule_retry_after(&self, route: &Route) -> bool {
        self.now >= route.retry_after_until
    }

    /// Rule 6: only the first message of a key, after the settle time of the previous one.
    pub(super) fn rule_ordering(&self, pending: &PendingMessage) -> bool {
        let Some(key) = pending.message.key.and_then(|key| self.keys.get(&key)) else { return true };
        match key.queue.first() {
            Some(first) if *first == pending.message.id => pending.attempts > 0 || self.now >= key.settles_at,
            _ => !pending.message.class.ordered,
        }
    }
}
