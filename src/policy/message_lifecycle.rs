//! The lifecycle of a message: accepted or resumed, attempted, then delivered, refused, failed or cancelled.

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

    /// Resumes a message of an earlier process, with its attempts and its first possible execution.
    pub(super) fn resume(&mut self, resumed: &Resumed) {
        let Resumed { message, attempts, ran, ended } = *resumed;
        self.accept(message);
        if ended {
            self.release(message.id);
            return;
        }
        // Jitter spreads the retries of senders that an outage restarts together.
        let wait = message.class.latency_target.0 as f64 * BACKOFF_TARGET_SHARE * self.random();
        let retry_at = if attempts > 0 { self.now.after(wait) } else { self.now };
        let Some(pending) = self.pending.get_mut(&message.id) else { return };
        (pending.attempts, pending.untried) = (attempts, attempts == 0);
        pending.progress = Progress::Waiting(retry_at);
        pending.executed = ran.map(|(sent, zone)| FirstExecution { sent, zone });
        if let Some(key) = message.key.filter(|_| ran.is_some()).and_then(|key| self.keys.get_mut(&key)) {
            key.settles_at = Time(self.now.0 + self.settings.rules.order_settle.0);
        }
    }

    pub(super) fn attempt_completed(&mut self, event: &Event, actions: &mut Vec<Action>) {
        let Event::AttemptCompleted { message: id, attempt: attempt_number, outcome, last, report, .. } =
            *event
        else {
            return;
        };
        let Some(pending) = self.pending.get_mut(&id) else { return };
        let (Progress::InFlight(attempt) | Progress::Abandoned(attempt)) = pending.progress else { return };
        if attempt_number + 1 != pending.attempts {
            return;
        }
        let complete = last || matches!(pending.progress, Progress::Abandoned(_));
        pending.progress = Progress::Waiting(self.now);
        let may_have_executed = outcome.may_have_executed();
        let zone = self.endpoints[&attempt.endpoint].zone;
        if may_have_executed && pending.executed.is_none() {
            pending.executed = Some(FirstExecution {
                sent: self.calls.get(&attempt.call).map_or(Time(0), |call| call.sent),
                zone,
            });
        }
        if may_have_executed
            && outcome != Outcome::Failure
            && let Some(key) = pending.message.key.and_then(|key| self.keys.get_mut(&key))
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

    /// Drops an undelivered message; releases its ordering key once the client has acknowledged the outcome.
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

    /// Refuses or fails a message; nothing else chooses between the two. A refusal promises that nothing
    /// executed, or that submitting again is harmless.
    pub(super) fn end_undelivered(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&id) else { return };
        let safe_to_resubmit = match pending.message.class.repeat {
            Repeat::Safe | Repeat::Keyed { group: Group::All, .. } => true,
            Repeat::Keyed { .. } | Repeat::Unsafe => pending.executed.is_none(),
        };
        // Submitting again may succeed once some endpoint of the destination accepts calls.
        let opening = self.opening(pending.message.destination, |route| Some(route.closed_until()));
        let retry_at = opening.filter(|time| self.now < *time && *time < pending.deadline);
        let after = retry_at.map(|time| Span(time.since(self.now)));
        actions.push(if safe_to_resubmit { Action::Refuse { message: id, after } } else { Action::Fail(id) });
        self.release(id);
    }

    /// When a waiting message must be ended: the next timer would fire after its deadline.
    pub(super) fn latest_end(&self, pending: &PendingMessage) -> Time {
        Time(pending.deadline.0.saturating_sub(2 * MIN_TIMER_PERIODS * self.settings.period.0))
    }

    pub(super) fn end_expired(&mut self, actions: &mut Vec<Action>) {
        let expired = |pending: &PendingMessage| match pending.progress {
            Progress::Waiting(until) => self.is_exhausted(pending, until.max(self.now)),
            _ => false,
        };
        let ids: Vec<_> =
            self.pending.iter().filter(|(_, pending)| expired(pending)).map(|(id, _)| *id).collect();
        for id in ids {
            self.end_undelivered(id, actions);
        }
    }
}
