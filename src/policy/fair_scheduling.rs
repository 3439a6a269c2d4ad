//! Fair scheduling: chooses the destination and message for each free slot, and sends.

use super::state::{Attempt, Call, Health, Progress};
use super::{Sender, seconds};
use crate::interface::{Action, DestinationId, EndpointId, MessageId, Time};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// A waiting message that is due to be sent.
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
    /// Gives each free slot to the waiting destination with the fewest calls in flight.
    pub(super) fn schedule(&mut self, actions: &mut Vec<Action>) {
        if self.calls.len() >= self.settings.slots {
            return;
        }
        let mut waiting: BTreeMap<DestinationId, Vec<Candidate>> = BTreeMap::new();
        for (id, pending) in &self.pending {
            if matches!(pending.progress, Progress::Waiting(until) if until <= self.now)
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
            let fewest = waiting.iter().min_by(|(a, queue_a), (b, queue_b)| {
                let calls = |id: &DestinationId| self.destinations[id].calls;
                calls(a).cmp(&calls(b)).then(queue_a[0].by_value_and_deadline(&queue_b[0]))
            });
            let Some(destination) = fewest.map(|(id, _)| *id) else { return };
            let Some(queue) = waiting.get_mut(&destination) else { return };
            let choice = (queue.iter().enumerate()).find_map(|(index, candidate)| {
                self.select_endpoint(candidate.id).map(|endpoint| (index, endpoint))
            });
            let Some((index, endpoint)) = choice else {
                waiting.remove(&destination);
                continue;
            };
            let Candidate { id, .. } = queue.remove(index);
            let call_start = actions.len();
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
                self.expire_together(&mut actions[call_start..]);
            }
            if queue.is_empty() || !self.accepts_call(destination) {
                waiting.remove(&destination);
            }
        }
    }

    /// Whether a new call may go to the destination now, regardless of the message.
    pub(super) fn accepts_call(&self, destination: DestinationId) -> bool {
        self.next_call_at(destination).is_some_and(|opens_at| opens_at <= self.now)
    }

    /// Gives all messages of a call the same time-out: their latest, but before their earliest deadline.
    fn expire_together(&self, call: &mut [Action]) {
        let (mut latest, mut deadline) = (Time(0), Time(u64::MAX));
        for action in &*call {
            if let Action::Send { message, expires, .. } = action {
                (latest, deadline) = (latest.max(*expires), deadline.min(self.pending[message].deadline));
            }
        }
        let end = latest.min(Time(deadline.0.saturating_sub(self.settings.period.0)));
        for action in call {
            if let Action::Send { expires, .. } = action {
                *expires = end;
            }
        }
    }

    /// Maximum number of messages in the next call to an endpoint: 1 unless it is healthy.
    fn batch_limit(&self, endpoint: EndpointId) -> usize {
        let target = &self.endpoints[&endpoint];
        let up = self.routes[target.route].health == Health::Up;
        if up { self.settings.kinds[target.kind.0].batch.max(1) } else { 1 }
    }

    fn send(
        &mut self,
        id: MessageId,
        endpoint: EndpointId,
        batch_call: Option<u64>,
        actions: &mut Vec<Action>,
    ) {
        let target = &self.endpoints[&endpoint];
        let (own_route, destination) = (target.route, target.destination);
        let shared = self.destinations.get(&destination).and_then(|state| state.shared_route);
        let expires = self.attempt_timeout(&self.pending[&id], &self.routes[own_route]);
        let call = batch_call.unwrap_or(self.next_call);
        if batch_call.is_none() {
            self.next_call += 1;
            let routes = [Some(own_route), shared];
            let route = &self.routes[own_route];
            let idle_s = seconds(self.now.since(route.last_answer));
            if idle_s >= self.trusted_idle_s && route.latency > 0.0 {
                actions.push(Action::CloseIdle(endpoint));
            }
            let concurrency = route.in_flight.len() + 1;
            self.calls.insert(call, Call { sent: self.now, idle_s, concurrency, routes, ..Call::default() });
            for route in routes.into_iter().flatten() {
                self.routes[route].in_flight.push((call, self.now));
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
