//! What clients do: messages that they want sent, submissions and their answers.

use super::{End, RuleChecker, Submission, Wanted};
use crate::plan::{Micros, micros};
use crate::scenario::Effect;

impl RuleChecker {
    /// A client wants a message sent: its number.
    pub fn wants(&mut self, now: Micros, class: usize) -> usize {
        self.counts.wanted += 1;
        self.span(now).wanted += 1;
        self.wanted.push(Wanted {
            at: now,
            class,
            delivered: None,
            ids: Vec::new(),
            runs: Vec::new(),
            refused: false,
            failed: false,
        });
        self.wanted.len() - 1
    }

    /// A client submits a message, whose time is up at `due`.
    pub fn submitted(&mut self, id: &str, first: usize, sender: usize, partner: usize, due: Micros) {
        self.counts.submitted += 1;
        let class = self.wanted[first].class;
        let submission = Submission {
            first,
            sender,
            class,
            partner,
            due,
            accepted: false,
            end: None,
            out: 0,
            attempts: 0,
            may_have_run: None,
        };
        self.submissions.insert(id.to_owned(), submission);
        self.wanted[first].ids.push(id.to_owned());
    }

    /// The client had its answer: whether the message was accepted.
    pub fn answered(&mut self, now: Micros, id: &str, accepted: bool) {
        let Some(submission) = self.submissions.get_mut(id) else { return };
        submission.accepted = accepted;
        let (first, class, end) = (submission.first, submission.class, submission.end);
        if accepted {
            self.counts.accepted += 1;
            (self.wanted[first].refused, self.wanted[first].failed) = (false, false);
            if end == Some(End::Delivered) {
                self.delivered(now, first, class);
            }
        } else {
            self.counts.rejected += 1;
            self.wanted[first].refused = true;
            self.span(now).refused += 1;
        }
    }

    /// The client had no answer in time, and goes.
    pub fn unanswered(&mut self, id: &str) {
        self.counts.unanswered += 1;
        if let Some(submission) = self.submissions.get_mut(id) {
            // What becomes of it under this id counts for nothing.
            submission.end = submission.end.or(Some(End::Failed));
        }
    }

    /// Whether a client may hand a message in again that came back, or had no answer: what may have taken effect
    /// comes again as its class permits, a keyed one only inside its window.
    pub fn may_resubmit(&self, now: Micros, first: usize) -> bool {
        let wanted = &self.wanted[first];
        let class = &self.scenario.classes[wanted.class];
        let ran = wanted.ids.iter().filter_map(|id| self.submissions.get(id)?.may_have_run).min();
        ran.is_none_or(|ran| match class.effect {
            Effect::Safe => true,
            Effect::Keyed => now < ran + micros(class.window_ms / 1000.0),
            Effect::Unsafe => false,
        })
    }
}
