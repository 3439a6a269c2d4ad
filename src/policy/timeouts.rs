//! Time-outs of attempts, detection of lost answers, and the timer for the next step.

use super::state::{PendingMessage, Progress, Route};
use super::{MIN_TIMER_PERIODS, Sender};
use crate::interface::{Action, DestinationId, Repeat, Span, Time};
use std::collections::BTreeMap;

/// A call is overdue this many mean deviations above the mean latency.
pub(super) const OVERDUE_DEVIATIONS: f64 = 4.0;
/// An unresponsive route is probed after the slowest healthy latency, doubled at most this many times.
const MAX_PROBE_DOUBLINGS: usize = 4;
/// A call times out this many mean deviations above the mean latency: far in the tail of healthy answers.
const TIMEOUT_DEVIATIONS: f64 = 8.0;
/// Retryable messages: minimum time-out in latency targets, so that one retry still meets the target.
const TIMEOUT_TARGETS: f64 = 1.2;
/// Unsafe messages: minimum time-out in latency targets. A time-out costs their only attempt, a delay only
/// some value.
const UNSAFE_TIMEOUT_TARGETS: f64 = 2.3;
/// An overdue call counts as lost once its endpoint has answered this many later ones.
const LOST_AFTER_OVERTAKEN: u32 = 6;
/// With this many, answers certainly get lost, even before a call times out.
const SURELY_LOST_AFTER: u32 = 12;
/// Share of unanswered calls above which answers count as getting lost.
pub(super) const LOSSY_SHARE: f64 = 0.075;
/// Minimum time-out of a retryable message while answers get lost, as a share of the maximum.
const LOSSY_TIMEOUT_SHARE: f64 = 0.2;

impl Route {
    /// Until when nothing more is sent to a route that has been unresponsive, with a call in flight, for
    /// longer than a healthy answer takes. One lost answer must not block the route until its time-out: once
    /// all calls in flight are overdue it is probed, at increasing intervals.
    pub(super) fn stalled_until(&self, now: Time) -> Option<Time> {
        let ((_, oldest), (_, youngest)) = (*self.in_flight.first()?, *self.in_flight.last()?);
        let slowest = self.latency_bound(OVERDUE_DEVIATIONS);
        let doublings = (self.in_flight.len() - 1).min(MAX_PROBE_DOUBLINGS) as i32;
        let unresponsive = now.since(self.last_answer.max(oldest)) as f64 > slowest;
        (unresponsive && self.endpoint.is_some() && self.latency > 0.0)
            .then(|| youngest.after(slowest * 2f64.powi(doublings) + 1.0))
    }
}

impl Sender {
    /// Cancels calls whose answer counts as lost, as they hold a slot and a connection until they time out:
    /// where others wait for these, and, if answers were seen to get lost, those of retryable messages, which
    /// then still meet their latency target.
    pub(super) fn cancel_lost(&mut self, actions: &mut Vec<Action>) {
        let mut lost = Vec::new();
        let (loses_answers, mut certain) = (self.loses_answers(), false);
        for (id, pending) in self.pending.iter().filter(|_| self.settings.cancel) {
            let Progress::InFlight(attempt) = pending.progress else { continue };
            let route = &self.routes[self.endpoints[&attempt.endpoint].route];
            let Some(call) = self.calls.get(&attempt.call) else { continue };
            let scarce = self.calls.len() >= self.settings.slots
                || !self.has_slot(pending.message.destination)
                || (route.connection_limit > 0 && route.in_flight.len() >= route.connection_limit);
            let needed = scarce || (loses_answers && pending.message.class.repeat != Repeat::Unsafe);
            let late = self.now.since(call.sent) as f64 > route.latency_bound(TIMEOUT_DEVIATIONS);
            certain |= late && call.overtaken_by >= SURELY_LOST_AFTER;
            if needed
                && late
                && call.overtaken_by >= LOST_AFTER_OVERTAKEN
                && call.unfinished == 1
                && !call.cancelled
            {
                lost.push((*id, pending.attempts - 1, attempt.call));
            }
        }
        for (message, attempt, call) in lost {
            actions.push(Action::Cancel { message, attempt });
            self.calls.entry(call).and_modify(|call| call.cancelled = true);
            certain |= loses_answers;
        }
        if certain {
            self.lost_seen_at = Some(self.now);
        }
    }

    /// Whether an answer was recently known to be lost.
    fn loses_answers(&self) -> bool {
        self.lost_seen_at.is_some_and(|seen_at| self.now.since(seen_at) < self.settings.rules.slow_start.0)
    }

    /// When an attempt times out.
    pub(super) fn attempt_timeout(&self, pending: &PendingMessage, route: &Route) -> Time {
        let class = &pending.message.class;
        let retryable = class.repeat != Repeat::Unsafe;
        let targets = if retryable { TIMEOUT_TARGETS } else { UNSAFE_TIMEOUT_TARGETS };
        // While answers get lost, a retryable message waits only for the slowest healthy answer.
        let max_timeout = 2.0 * class.latency_target.0 as f64 * targets;
        let shortened =
            retryable && (self.loses_answers() || self.lost_share > LOSSY_SHARE) && route.latency > 0.0;
        let min_timeout = if shortened { max_timeout * LOSSY_TIMEOUT_SHARE } else { max_timeout / 2.0 };
        let timeout = route.latency_bound(TIMEOUT_DEVIATIONS).clamp(min_timeout, max_timeout);
        self.now.after(timeout).min(Time(pending.deadline.0 - self.settings.period.0))
    }

    /// Sets a timer for the first time at which something may be due: most senders are idle. What only a
    /// completed call can unblock needs none.
    pub(super) fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let mut openings = BTreeMap::new();
        let slot_free = self.calls.len() < self.settings.slots;
        let mut opens = |destination: DestinationId| {
            let opens_at = slot_free
                .then(|| *openings.entry(destination).or_insert_with(|| self.next_call_at(destination)));
            opens_at.flatten().unwrap_or(Time(u64::MAX))
        };
        let due = |pending: &PendingMessage| match pending.progress {
            Progress::Waiting(until) if until > self.now => Some(until.min(self.latest_end(pending))),
            Progress::Waiting(_) => Some(opens(pending.message.destination).min(self.latest_end(pending))),
            _ => None,
        };
        let lost =
            self.calls.values().filter(|call| call.overtaken_by >= LOST_AFTER_OVERTAKEN && !call.cancelled);
        let overdue_at = lost.filter_map(|call| {
            Some(call.sent.after(self.routes[call.routes[0]?].latency_bound(TIMEOUT_DEVIATIONS)))
        });
        let other = overdue_at.filter(|time| *time > self.now).chain(self.list_request_at);
        let Some(next) = self.pending.values().filter_map(due).chain(other).min() else { return };
        let timer_at = next.max(Time(self.now.0 + MIN_TIMER_PERIODS * self.settings.period.0));
        if self.timer_at.is_none_or(|set| set <= self.now || timer_at < set) {
            self.timer_at = Some(timer_at);
            actions.push(Action::WakeIn(Span(timer_at.0 - self.now.0)));
        }
    }
}
