//! Time-outs of attempts, detection of lost answers, and the timer of the next step.

use super::state::{PendingMessage, Progress, Route};
use super::{MIN_TIMER_PERIODS, Sender};
use crate::interface::{Action, DestinationId, Repeat, Span, Time};
use std::collections::BTreeMap;

/// A call is overdue this many mean deviations above the mean latency.
pub(super) const OVERDUE_DEVIATIONS: f64 = 4.0;
/// After silence a probe waits for the slowest healthy latency, doubled at most so often.
const MAX_PROBE_DOUBLINGS: usize = 4;
/// A call times out this many mean deviations above the mean: far in the tail of healthy answers.
const TIMEOUT_DEVIATIONS: f64 = 8.0;
/// Retryable messages: minimum time-out in latency targets, so that one retry still meets the target.
const TIMEOUT_TARGETS: f64 = 1.2;
/// Unsafe messages: time-out in latency targets. A time-out costs their only attempt, lateness only some
/// value.
const UNSAFE_TIMEOUT_TARGETS: f64 = 2.3;
/// An overdue call counts as lost once so many later ones of its endpoint were answered.
const LOST_AFTER_OVERTAKEN: u32 = 6;
/// With this many, answers get lost for certain, before any time-out shows it.
const SURELY_LOST_AFTER: u32 = 12;
/// Learned share of calls without an answer at which answers count as getting lost.
pub(super) const LOSSY_SHARE: f64 = 0.075;
/// Minimum time-out of a retryable message while answers get lost, as a share of the maximum.
const LOSSY_TIMEOUT_SHARE: f64 = 0.2;

impl Route {
    /// Unresponsive for longer than a healthy answer takes, with a call in flight for as long: until when
    /// nothing more is sent. One lost answer must not block the route until its time-out: once all calls in
    /// flight are overdue it is probed, ever more rarely.
    pub(super) fn stalled_until(&self, now: Time) -> Option<Time> {
        let ((_, oldest), (_, youngest)) = (*self.out.first()?, *self.out.last()?);
        let slowest = self.latency_bound(OVERDUE_DEVIATIONS);
        let doublings = (self.out.len() - 1).min(MAX_PROBE_DOUBLINGS) as i32;
        let silent = now.since(self.last_answer.max(oldest)) as f64 > slowest;
        (silent && self.endpoint.is_some() && self.latency > 0.0)
            .then(|| youngest.after(slowest * 2f64.powi(doublings) + 1.0))
    }
}

impl Sender {
    /// A lost answer holds a slot, and a connection of the endpoint, until its call times out. Where others
    /// wait for it, it is cancelled sooner; and where answers were seen to get lost, so are those of
    /// retryable messages, which then still meet their latency target.
    pub(super) fn cancel_lost(&mut self, actions: &mut Vec<Action>) {
        let mut lost = Vec::new();
        let (seen, mut certain) = (self.loses_answers(), false);
        for (id, pending) in self.pending.iter().filter(|_| self.settings.cancel) {
            let Progress::InFlight(attempt) = pending.progress else { continue };
            let route = &self.routes[self.endpoints[&attempt.endpoint].route];
            let Some(call) = self.calls.get(&attempt.call) else { continue };
            let short = self.calls.len() >= self.settings.slots
                || !self.has_slot(pending.message.destination)
                || (route.connection_limit > 0 && route.out.len() >= route.connection_limit);
            let needed = short || (seen && pending.message.class.repeat != Repeat::Unsafe);
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
            certain |= seen;
        }
        if certain {
            self.lost_seen_at = Some(self.now);
        }
    }

    /// Whether an answer was recently seen to be lost for certain.
    fn loses_answers(&self) -> bool {
        self.lost_seen_at.is_some_and(|at| self.now.since(at) < self.settings.rules.slow_start.0)
    }

    /// When an attempt times out.
    pub(super) fn attempt_timeout(&self, pending: &PendingMessage, route: &Route) -> Time {
        let class = &pending.message.class;
        let may_repeat = class.repeat != Repeat::Unsafe;
        let aims = if may_repeat { TIMEOUT_TARGETS } else { UNSAFE_TIMEOUT_TARGETS };
        // While answers get lost, a retryable message waits no longer than for the slowest healthy one.
        let most = 2.0 * class.latency_target.0 as f64 * aims;
        let early =
            may_repeat && (self.loses_answers() || self.lost_share > LOSSY_SHARE) && route.latency > 0.0;
        let least = if early { most * LOSSY_TIMEOUT_SHARE } else { most / 2.0 };
        let span = route.latency_bound(TIMEOUT_DEVIATIONS).clamp(least, most);
        self.now.after(span).min(Time(pending.deadline.0 - self.settings.period.0))
    }

    /// A timer for the first time at which something may be due: many senders mostly sleep. What only a
    /// completed call can unblock needs none.
    pub(super) fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let mut openings = BTreeMap::new();
        let free = self.calls.len() < self.settings.slots;
        let mut opens = |to: DestinationId| {
            let at = free.then(|| *openings.entry(to).or_insert_with(|| self.next_call_at(to)));
            at.flatten().unwrap_or(Time(u64::MAX))
        };
        let due = |h: &PendingMessage| match h.progress {
            Progress::Waiting(at) if at > self.now => Some(at.min(self.latest_end(h))),
            Progress::Waiting(_) => Some(opens(h.message.destination).min(self.latest_end(h))),
            _ => None,
        };
        let lost =
            self.calls.values().filter(|call| call.overtaken_by >= LOST_AFTER_OVERTAKEN && !call.cancelled);
        let late = lost
            .filter_map(|c| Some(c.sent.after(self.routes[c.routes[0]?].latency_bound(TIMEOUT_DEVIATIONS))));
        let late = late.filter(|at| *at > self.now).chain(self.list_request_at);
        let Some(next) = self.pending.values().filter_map(due).chain(late).min() else { return };
        let at = next.max(Time(self.now.0 + MIN_TIMER_PERIODS * self.settings.period.0));
        if self.timer_at.is_none_or(|set| set <= self.now || at < set) {
            self.timer_at = Some(at);
            actions.push(Action::WakeIn(Span(at.0 - self.now.0)));
        }
    }
}
