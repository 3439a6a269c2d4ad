//! Fair scheduling: which destination and message get the next free slot, and the send itself.

use super::state::{Attempt, Call, Health, Progress};
use super::{Sender, seconds};
use crate::interface::{Action, DestinationId, EndpointId, MessageId, Time};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// A waiting message whose turn may come.
struct Candidate {
    value: f64,
    deadline: Time,
    id: MessageId,
}

impl Candidate {
    /// Highest value first, then the earliest deadline: fresh messages before late ones.
    fn by_value_and_deadline(&self, other: &Self) -> Ordering {
        other.value.total_cmp(&self.value).then(self.deadline.cmp(&other.deadline))
    }
}

impl Sender {
    /// Each free slot goes to the waiting destination with the fewest calls in flight.
    pub(super) fn schedule(&mut self, actions: &mut Vec<Action>) {
        if self.calls.len() >= self.settings.slots {
            return;
        }
        let mut waiting: BTreeMap<DestinationId, Vec<Candidate>> = BTreeMap::new();
        for (id, pending) in &self.pending {
            if matches!(pending.progress, Progress::Waiting(at) if at <= self.now)
                && self.rule_ordering(pending)
            {
                let candidate = Candidate { value: 0.0, deadline: pending.deadline, id: *id };
                waiting.entry(pending.message.destination).or_default().push(candidate);
            }
        }
        // A long queue is scanned only where something could be sent: with a thousand messages pending,
        // scanning each in every step would take most of a small share of a core.
        waiting.retain(|destination, _| self.refresh(*destination) && self.accepts_call(*destination));
        for queue in waiting.values_mut() {
            for candidate in &mut *queue {
                candidate.value = self.value_after(&self.pending[&candidate.id], 0.0);
            }
            queue.sort_by(|a, b| a.by_value_and_deadline(b).then(a.id.cmp(&b.id)));
        }
        while self.calls.len() < self.settings.slots {
            let fewest = waiting.iter().min_by(|(a, x), (b, y)| {
                let calls = |d: &DestinationId| self.destinations[d].calls;
                calls(a).cmp(&calls(b)).then(x[0].by_value_and_deadline(&y[0]))
            });
            let Some(destination) = fewest.map(|(d, _)| *d) else { return };
            let Some(queue) = waiting.get_mut(&destination) else { return };
            let choice = (queue.iter().enumerate())
                .find_map(|(index, next)| self.select_endpoint(next.id).map(|endpoint| (index, endpoint)));
            let Some((index, endpoint)) = choice else {
                waiting.remove(&destination);
                continue;
            };
            let Candidate { id, .. } = queue.remove(index);
            let first = actions.len();
            self.send(id, endpoint, None, actions);
            let call = self.next_call - 1;
            let mut capacity = self.batch_limit(endpoint) - 1;
            queue.retain(|Candidate { id, .. }| {
                let joins = capacity > 0 && self.may_send(*id, endpoint, true);
                if joins {
                    capacity -= 1;
                    self.send(*id, endpoint, Some(call), actions);
                }
                !joins
            });
            if self.settings.batches_expire_together {
                self.expire_together(&mut actions[first..]);
            }
            if queue.is_empty() || !self.accepts_call(destination) {
                waiting.remove(&destination);
            }
        }
    }

    /// Whether a new call may go to the destination now, whatever the message.
    pub(super) fn accepts_call(&self, destination: DestinationId) -> bool {
        self.next_call_at(destination).is_some_and(|at| at <= self.now)
    }

    /// A call has one time-out: the latest of its messages' time-outs, but before the earliest deadline of
    /// them.
    fn expire_together(&self, call: &mut [Action]) {
        let (mut longest, mut due) = (Time(0), Time(u64::MAX));
        for action in &*call {
            if let Action::Send { message, expires, .. } = action {
                (longest, due) = (longest.max(*expires), due.min(self.pending[message].deadline));
            }
        }
        let end = longest.min(Time(due.0.saturating_sub(self.settings.period.0)));
        for action in call {
            if let Action::Send { expires, .. } = action {
                *expires = end;
            }
        }
    }

    /// Maximum messages in the next call to an endpoint: one where its health is in doubt.
    fn batch_limit(&self, endpoint: EndpointId) -> usize {
        let at = &self.endpoints[&endpoint];
        let up = self.routes[at.route].health == Health::Up;
        if up { self.settings.kinds[at.kind.0].batch.max(1) } else { 1 }
    }

    fn send(&mut self, id: MessageId, endpoint: EndpointId, join: Option<u64>, actions: &mut Vec<Action>) {
        let at = &self.endpoints[&endpoint];
        let (own, destination) = (at.route, at.destination);
        let shared = self.destinations.get(&destination).and_then(|d| d.shared_route);
        let expires = self.attempt_timeout(&self.pending[&id], &self.routes[own]);
        let call = join.unwrap_or(self.next_call);
        if join.is_none() {
            self.next_call += 1;
            let routes = [Some(own), shared];
            let route = &self.routes[own];
            let idle_s = seconds(self.now.since(route.last_answer));
            if idle_s >= self.trusted_idle_s && route.latency > 0.0 {
                actions.push(Action::CloseIdle(endpoint));
            }
            let concurrency = route.out.len() + 1;
            self.calls.insert(call, Call { sent: self.now, idle_s, concurrency, routes, ..Call::default() });
            for route in routes.into_iter().flatten() {
                self.routes[route].out.push((call, self.now));
                self.routes[route].tokens -= 1.0;
            }
            self.destinations.entry(destination).or_default().calls += 1;
        }
        self.calls.entry(call).and_modify(|call| call.unfinished += 1);
        if let Some(pending) = self.pending.get_mut(&id) {
            (pending.attempts, pending.untried) = (pending.attempts + 1, false);
            pending.progress = Progress::InFlight(Attempt { endpoint, call });
        }
        actions.push(Action::Send { message: id, endpoint, expires });
    }
}
