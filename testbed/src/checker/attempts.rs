//! What endpoints see: the begin, the effect and the end of each call, with the rules on attempts.

use super::{Admission, AttemptEnd, End, Rule, RuleChecker, SOCKET_SLACK, WAIT_SLACK};
use crate::plan::{Micros, micros};
use crate::scenario::Effect;

impl RuleChecker {
    /// A call's last byte has come.
    pub fn begins(&mut self, now: Micros, id: &str, partner: usize, endpoint: usize) -> Admission {
        self.counts.calls += 1;
        self.span(now).calls += 1;
        let Some(submission) = self.submissions.get_mut(id) else {
            self.breach(Rule::Astray, now, format!("{id} was never handed in"));
            return Admission::Unknown;
        };
        submission.attempts += 1;
        let (sender, first, class, end) =
            (submission.sender, submission.first, submission.class, submission.end);
        let (own, out, attempts, ran) =
            (submission.partner, submission.out, submission.attempts, submission.may_have_run);
        if own != partner {
            self.breach(Rule::Astray, now, format!("{id} for partner {own} came to {partner}"));
            return Admission::Unknown;
        }
        if out > 0 {
            self.breach(Rule::Overlap, now, format!("{id}: attempt {attempts} while another is out"));
        }
        self.check_resent(now, id, class, ran, attempts);
        self.check_drain(now, id, sender, partner, endpoint);
        self.check_wait(now, id, sender, partner);
        if end.is_some() {
            self.counts.wasted += 1;
            return Admission::Over;
        }
        if attempts > self.scenario.fleet.max_attempts {
            return Admission::Spent;
        }
        if self.out[sender] >= self.slots {
            return Admission::NoSlot;
        }
        if let Some(submission) = self.submissions.get_mut(id) {
            submission.out += 1;
            // Until its end proves the opposite.
            submission.may_have_run.get_or_insert(now);
        }
        self.out[sender] += 1;
        Admission::Through { sender, first }
    }

    fn check_resent(&mut self, now: Micros, id: &str, class: usize, ran: Option<Micros>, attempts: u32) {
        let row = &self.scenario.classes[class];
        let resent = ran.is_some_and(|ran| match row.effect {
            Effect::Safe => false,
            Effect::Keyed => now > ran + micros(row.window_ms / 1000.0) + SOCKET_SLACK,
            Effect::Unsafe => true,
        });
        if resent {
            self.breach(Rule::Resent, now, format!("{id}: attempt {attempts} of {}", row.name.clone()));
        }
    }

    fn check_drain(&mut self, now: Micros, id: &str, sender: usize, partner: usize, endpoint: usize) {
        let grace = micros(self.scenario.rules.drain_ms / 1000.0) + SOCKET_SLACK;
        if self.drained.get(&(sender, partner, endpoint)).is_some_and(|reported_at| now > reported_at + grace)
        {
            self.breach(
                Rule::Drain,
                now,
                format!("{id} to endpoint {partner}/{endpoint} by sender {sender}"),
            );
        }
    }

    fn check_wait(&mut self, now: Micros, id: &str, sender: usize, partner: usize) {
        if let Some((reported_at, until)) = self.waits.get(&(sender, partner))
            && now > reported_at + WAIT_SLACK
            && now + SOCKET_SLACK < *until
        {
            let early = (until - now) as f64 / 1e6;
            self.breach(
                Rule::Wait,
                now,
                format!("{id} to partner {partner} by sender {sender}, {early:.3} s early"),
            );
        }
    }

    /// A call takes effect; false where a repeat of it is dropped.
    pub fn runs(&mut self, now: Micros, id: &str) -> bool {
        let Some((first, class)) = self.submissions.get(id).map(|h| (h.first, h.class)) else { return false };
        let row = &self.scenario.classes[class];
        let window = micros(row.window_ms / 1000.0);
        let (effect, name) = (row.effect, row.name.clone());
        let runs = &self.wanted[first].runs;
        let dropped = effect == Effect::Keyed && runs.last().is_some_and(|(at, _)| now <= at + window);
        // A sender knows nothing of what another one did under another id: that is between it and the client.
        let own = runs.iter().any(|(_, under)| under == id);
        if !runs.is_empty() {
            self.counts.wasted += 1;
        }
        if !dropped && effect != Effect::Safe && !runs.is_empty() {
            self.counts.doubled += u64::from(own);
            self.counts.doubled_by_clients += u64::from(!own);
        }
        if !dropped && effect != Effect::Safe && own {
            self.breach(Rule::Doubled, now, format!("{id} of {name} took effect again"));
        }
        if !dropped {
            self.wanted[first].runs.push((now, id.to_owned()));
        }
        !dropped
    }

    /// A call that was let through has its end.
    pub fn ends(&mut self, now: Micros, id: &str, began: Micros, end: AttemptEnd) {
        let Some(submission) = self.submissions.get_mut(id) else { return };
        submission.out = submission.out.saturating_sub(1);
        let (sender, partner, first, class) =
            (submission.sender, submission.partner, submission.first, submission.class);
        if matches!(end, AttemptEnd::Refused(_)) && submission.may_have_run == Some(began) {
            submission.may_have_run = None;
        }
        self.out[sender] = self.out[sender].saturating_sub(1);
        match end {
            AttemptEnd::Delivered if submission.end.is_none() => {
                submission.end = Some(End::Delivered);
                if submission.accepted {
                    self.delivered(now, first, class);
                }
            }
            AttemptEnd::Refused(until) => {
                self.counts.calls_refused += 1;
                self.span(now).calls_refused += 1;
                if let Some(until) = until {
                    let wait = self.waits.entry((sender, partner)).or_insert((now, until));
                    if until > wait.1 {
                        *wait = (now, until);
                    }
                }
            }
            _ => {}
        }
    }

    pub(super) fn delivered(&mut self, now: Micros, first: usize, class: usize) {
        if self.wanted[first].delivered.is_some() {
            return;
        }
        let took = now.saturating_sub(self.wanted[first].at);
        (self.wanted[first].delivered, self.wanted[first].refused) = (Some(now), false);
        self.latencies[class].saturating_record(took.max(1));
        self.span(now).delivered += 1;
    }
}
