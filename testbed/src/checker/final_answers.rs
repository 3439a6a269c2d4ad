//! Final answers: notices to clients, and messages that have none in time.

use super::{End, RESTART_SLACK, Rule, RuleChecker, SOCKET_SLACK};
use crate::plan::{Micros, micros};
use crate::scenario::Effect;

impl RuleChecker {
    /// A notice has come: which message it ends, if it ends one.
    pub fn noticed(&mut self, now: Micros, id: &str, returned: bool) -> Option<usize> {
        let submission = self.submissions.get_mut(id)?;
        if submission.end.is_some() {
            return None;
        }
        submission.end = Some(if returned { End::Returned } else { End::Failed });
        let (first, due, sender, accepted) =
            (submission.first, submission.due, submission.sender, submission.accepted);
        let unsure = submission.may_have_run.is_some()
            && self.scenario.classes[submission.class].effect == Effect::Unsafe;
        if !accepted {
            return None;
        }
        if returned && unsure {
            self.breach(Rule::Resent, now, format!("{id} was returned though it may have run"));
        }
        let late = now > due + self.end_slack();
        if late && !self.excused(sender, due, now) {
            self.lost(now, id.to_owned(), "its end came late");
        }
        if returned {
            self.wanted[first].refused = true;
            self.span(now).refused += 1;
        } else {
            self.wanted[first].failed = true;
            self.span(now).failed += 1;
        }
        Some(first)
    }

    /// Whether a sender was down, or just back, at some point from when a notice was due until `now`.
    pub(super) fn excused(&self, sender: usize, due: Micros, now: Micros) -> bool {
        let allowed = micros(self.scenario.rules.late_end_ms / 1000.0);
        self.down.iter().any(|(who, from, ready)| {
            *who == sender && *from <= due + allowed && now <= ready.saturating_add(RESTART_SLACK)
        })
    }

    /// How long after its time a message's end still counts.
    pub(super) fn end_slack(&self) -> Micros {
        micros(self.scenario.rules.late_end_ms / 1000.0) + SOCKET_SLACK
    }

    pub(super) fn lost(&mut self, now: Micros, id: String, how: &str) {
        self.counts.lost += 1;
        self.breach(Rule::Lost, now, format!("{id}: {how}"));
    }
}
