//! The life of a message: accepted or resumed, attempted, then delivered, refused, failed or cancelled.

use super::retry::BACKOFF_TARGET_SHARE;
use super::state::{FirstExecution, PendingMessage, Progress};
use super::{MIN_TIMER_PERIODS, Sender};
use crate::interface::{
    Action, Event, Group, Message, MessageId, OrderKey, Outcome, Repeat, Resumed, Span, Time,
};

impl Sender {
    pub(super) fn accept(&mut self, message: Message) {
        if let Some(key) = message.key.filter(|_| message.class.ordered) {
            self.keys.entry(key).or_default().queue.push(message.id);
        }
        let deadline = Time(self.now.0 + message.budget.0);
        let (progress, attempts) = (Progress::Waiting(self.now), 0);
        self.pending.insert(
            message.id,
            PendingMessage { message, deadline, attempts, progress, executed: None, untried: false },
        );
    }

    /// A message of an earlier process: its attempts count, and what may have executed is known.
    pub(super) fn resume(&mut self, resumed: &Resumed) {
        let Resumed { message, attempts, ran, ended } = *resumed;
        self.accept(message);
        if ended {
            self.release(message.id);
            return;
        }
        // All senders that restart in an outage return together: jitter spreads them.
        let wait = message.class.latency_target.0 as f64 * BACKOFF_TARGET_SHARE * self.random();
        let at = if attempts > 0 { self.now.after(wait) } else { self.now };
        let Some(pending) = self.pending.get_mut(&message.id) else { return };
        (pending.attempts, pending.untried) = (attempts, attempts == 0);
        pending.progress = Progress::Waiting(at);
        pending.executed = ran.map(|(sent, zone)| FirstExecution { sent, zone });
        if let Some(key) = message.key.filter(|_| ran.is_some()).and_then(|k| self.keys.get_mut(&k)) {
            key.settles_at = Time(self.now.0 + self.settings.rules.order_settle.0);
        }
    }

    pub(super) fn attempt_completed(&mut self, event: &Event, actions: &mut Vec<Action>) {
        let Event::AttemptCompleted { message: id, attempt: number, outcome, last, report, .. } = *event
        else {
            return;
        };
        let Some(pending) = self.pending.get_mut(&id) else { return };
        let (Progress::InFlight(attempt) | Progress::Abandoned(attempt)) = pending.progress else { return };
        if number + 1 != pending.attempts {
            return;
        }
        let complete = last || matches!(pending.progress, Progress::Abandoned(_));
        pending.progress = Progress::Waiting(self.now);
        let may_have_executed = outcome.may_have_executed();
        let zone = self.endpoints[&attempt.endpoint].zone;
        if may_have_executed && pending.executed.is_none() {
            pending.executed = Some(FirstExecution {
                sent: self.calls.get(&attempt.call).map_or(Time(0), |c| c.sent),
                zone,
            });
        }
        if may_have_executed
            && outcome != Outcome::Failure
            && let Some(key) = pending.message.key.and_then(|k| self.keys.get_mut(&k))
        {
            key.settles_at = Time(self.now.0 + self.settings.rules.order_settle.0);
        }
        self.close_idle(attempt, outcome, actions);
        self.record_outcome(attempt, outcome, report);
        if complete {
            self.remove_pending(id);
        } else {
            self.retry(id, outcome, actions);
        }
    }

    pub(super) fn cancel(&mut self, id: MessageId) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        match pending.progress {
            Progress::InFlight(attempt) => pending.progress = Progress::Abandoned(attempt),
            Progress::Waiting(_) => self.remove_pending(id),
            Progress::Abandoned(_) => {}
        }
    }

    fn remove_pending(&mut self, id: MessageId) {
        let Some(pending) = self.pending.remove(&id) else { return };
        if let Some(key) = pending.message.key {
            self.release_key(id, key);
        }
    }

    pub(super) fn release_key(&mut self, id: MessageId, key: OrderKey) {
        if let Some(key) = self.keys.get_mut(&key) {
            key.queue.retain(|other| *other != id);
            self.keys.retain(|_, key| !key.queue.is_empty() || key.settles_at > self.now);
        }
    }

    /// Drops an undelivered message; its ordering key is free once the client has acknowledged the outcome.
    fn release(&mut self, id: MessageId) {
        let key = self.pending.get(&id).and_then(|pending| pending.message.key);
        match key.filter(|_| self.settings.outcomes_acknowledged) {
            Some(key) => {
                self.pending.remove(&id);
                self.unacknowledged.insert(id, key);
            }
            None => self.remove_pending(id),
        }
    }

    /// The only place that chooses between refusing and failing: a refusal promises that nothing executed, or
    /// that submitting again is harmless.
    pub(super) fn end_undelivered(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&id) else { return };
        let harmless = match pending.message.class.repeat {
            Repeat::Safe | Repeat::Keyed { group: Group::All, .. } => true,
            Repeat::Keyed { .. } | Repeat::Unsafe => pending.executed.is_none(),
        };
        // Submitting again may succeed once some endpoint of the destination accepts calls.
        let opening = self.opening(pending.message.destination, |route| Some(route.closed_until()));
        let retry_at = opening.filter(|at| self.now < *at && *at < pending.deadline);
        let after = retry_at.map(|at| Span(at.since(self.now)));
        actions.push(if harmless { Action::Refuse { message: id, after } } else { Action::Fail(id) });
        self.release(id);
    }

    /// A waiting message must be ended by then: the next timer would come too late.
    pub(super) fn latest_end(&self, pending: &PendingMessage) -> Time {
        Time(pending.deadline.0.saturating_sub(2 * MIN_TIMER_PERIODS * self.settings.period.0))
    }

    pub(super) fn end_expired(&mut self, actions: &mut Vec<Action>) {
        let expired = |pending: &PendingMessage| match pending.progress {
            Progress::Waiting(at) => self.is_exhausted(pending, at.max(self.now)),
            _ => false,
        };
        let ids: Vec<_> = self.pending.iter().filter(|(_, p)| expired(p)).map(|(id, _)| *id).collect();
        for id in ids {
            self.end_undelivered(id, actions);
        }
    }
}
