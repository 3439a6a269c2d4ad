//! Time-outs of attempts, detection of lost answers, and the timer of the next step.

use super::state::{Held, Line, Stage};
use super::{HEARTBEAT, Sender};
use crate::interface::{Action, DestinationId, Repeat, Span, Time};
use std::collections::BTreeMap;

/// A call is overdue this many mean deviations past the mean.
pub(super) const OVERDUE_DEVS: f64 = 4.0;
/// Into silence another call goes after the slowest healthy answer's time, doubled so often at the most.
const MOST_TRIAL_DOUBLINGS: usize = 4;
/// A call is given up this many mean deviations past the mean: far in the tail of healthy answers.
const GIVE_UP_DEVS: f64 = 8.0;
/// Repeatable messages: shortest time-out as a share of the aim, so that one retry still makes the aim.
const TIMEOUT_OF_AIM: f64 = 1.2;
/// Unsafe messages: time-out in aims. A time-out costs them their only try, a late answer only some worth.
const UNSAFE_TIMEOUT_OF_AIM: f64 = 2.3;
/// A call is taken for lost, late as above, once so many that its endpoint got later were answered.
const OVERTAKEN: u32 = 6;
/// And this many tell for certain that answers get lost, before any time-out does.
const SURELY_OVERTAKEN: u32 = 12;
/// Learned share of calls without an answer at which answers count as getting lost.
pub(super) const LOST_SHARE: f64 = 0.075;
/// Shortest time-out of a repeatable message while answers get lost, as a share of the longest.
const KNOWN_TIMEOUT: f64 = 0.2;

impl Line {
    /// Silent for longer than a healthy answer takes, with a call out for as long: until when nothing more is
    /// sent. One lost answer must not hold the line until that call times out: once all calls out are overdue
    /// another may try, ever more rarely.
    pub(super) fn stalled_until(&self, now: Time) -> Option<Time> {
        let ((_, oldest), (_, youngest)) = (*self.out.first()?, *self.out.last()?);
        let slowest = self.slowest(OVERDUE_DEVS);
        let doublings = (self.out.len() - 1).min(MOST_TRIAL_DOUBLINGS) as i32;
        let silent = now.since(self.last_answer.max(oldest)) as f64 > slowest;
        (silent && self.endpoint.is_some() && self.latency > 0.0)
            .then(|| youngest.after(slowest * 2f64.powi(doublings) + 1.0))
    }
}

impl Sender {
    /// A lost answer holds a slot, and a place in a table of connections, until its call times out.
    /// Where others wait for the place it is given up sooner; and where answers were seen to get lost, so are
    /// those of messages that may be repeated, which then still make their aim.
    pub(super) fn give_up_lost(&mut self, actions: &mut Vec<Action>) {
        let mut lost = Vec::new();
        let (seen, mut certain) = (self.seen_lost(), false);
        for (id, held) in self.held.iter().filter(|_| self.settings.cancel) {
            let Stage::Out(tried) = held.stage else { continue };
            let line = &self.lines[self.endpoints[&tried.endpoint].line];
            let Some(call) = self.calls.get(&tried.call) else { continue };
            let short = self.calls.len() >= self.settings.slots
                || !self.slots_left(held.message.destination)
                || (line.room > 0 && line.out.len() >= line.room);
            let needed = short || (seen && held.message.class.repeat != Repeat::Unsafe);
            let late = self.now.since(call.sent) as f64 > line.slowest(GIVE_UP_DEVS);
            certain |= late && call.overtaken >= SURELY_OVERTAKEN;
            if needed && late && call.overtaken >= OVERTAKEN && call.left == 1 && !call.given_up {
                lost.push((*id, held.attempts - 1, tried.call));
            }
        }
        for (message, attempt, call) in lost {
            actions.push(Action::Cancel { message, attempt });
            self.calls.entry(call).and_modify(|call| call.given_up = true);
            certain |= seen;
        }
        if certain {
            self.lost_at = Some(self.now);
        }
    }

    /// Whether it was seen lately that an answer got lost for certain.
    fn seen_lost(&self) -> bool {
        self.lost_at.is_some_and(|at| self.now.since(at) < self.settings.rules.slow_start.0)
    }

    /// How long an attempt may take.
    pub(super) fn expiry(&self, held: &Held, line: &Line) -> Time {
        let class = &held.message.class;
        let may_repeat = class.repeat != Repeat::Unsafe;
        let aims = if may_repeat { TIMEOUT_OF_AIM } else { UNSAFE_TIMEOUT_OF_AIM };
        // While answers get lost, a repeatable message waits no longer than for the slowest healthy one.
        let most = 2.0 * class.latency_target.0 as f64 * aims;
        let early = may_repeat && (self.seen_lost() || self.lost > LOST_SHARE) && line.latency > 0.0;
        let least = if early { most * KNOWN_TIMEOUT } else { most / 2.0 };
        let span = line.slowest(GIVE_UP_DEVS).clamp(least, most);
        self.now.after(span).min(Time(held.deadline.0 - self.settings.period.0))
    }

    /// A wake-up for the first moment at which something may be due: many senders mostly sleep. What only an
    /// end can set free needs none.
    pub(super) fn set_alarm(&mut self, actions: &mut Vec<Action>) {
        let mut openings = BTreeMap::new();
        let free = self.calls.len() < self.settings.slots;
        let mut opens = |to: DestinationId| {
            let at = free.then(|| *openings.entry(to).or_insert_with(|| self.next_call_to(to)));
            at.flatten().unwrap_or(Time(u64::MAX))
        };
        let due = |h: &Held| match h.stage {
            Stage::Waiting(at) if at > self.now => Some(at.min(self.last_moment(h))),
            Stage::Waiting(_) => Some(opens(h.message.destination).min(self.last_moment(h))),
            _ => None,
        };
        let lost = self.calls.values().filter(|call| call.overtaken >= OVERTAKEN && !call.given_up);
        let late = lost.filter_map(|c| Some(c.sent.after(self.lines[c.lines[0]?].slowest(GIVE_UP_DEVS))));
        let late = late.filter(|at| *at > self.now).chain(self.ask_list_at);
        let Some(next) = self.held.values().filter_map(due).chain(late).min() else { return };
        let at = next.max(Time(self.now.0 + HEARTBEAT * self.settings.period.0));
        if self.woken_at.is_none_or(|set| set <= self.now || at < set) {
            self.woken_at = Some(at);
            actions.push(Action::WakeIn(Span(at.0 - self.now.0)));
        }
    }
}
