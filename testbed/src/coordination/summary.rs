//! How the calls of a history were answered, by kind.

use super::history::{Answer, Call, History, Phase, Request};
use std::collections::BTreeMap;
use std::fmt::Write;

/// The answers to one kind of request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answers {
    /// Calls that were sent.
    pub sent: usize,
    /// Those with a clear answer.
    pub clear: usize,
    /// Those answered 429 or 503.
    pub refused: usize,
    /// Those with a status or body that the protocol does not have.
    pub unexpected: usize,
    /// Those without a whole answer.
    pub unanswered: usize,
    /// Times of the clear answers in microseconds, sorted.
    pub latencies_us: Vec<u64>,
}

impl Answers {
    /// The share of calls with a clear answer.
    pub fn clear_share(&self) -> f64 {
        self.clear as f64 / self.sent.max(1) as f64
    }
}

/// The answers to calls sent while applications worked, by kind of request.
pub fn answers(history: &History) -> BTreeMap<&'static str, Answers> {
    let mut by_kind: BTreeMap<&'static str, Answers> = BTreeMap::new();
    for call in history.calls.iter().filter(|call| call.phase == Phase::Work) {
        by_kind.entry(kind(&call.request)).or_default().add(call);
    }
    for answers in by_kind.values_mut() {
        answers.latencies_us.sort_unstable();
    }
    by_kind
}

impl Answers {
    fn add(&mut self, call: &Call) {
        self.sent += 1;
        match call.answer {
            Answer::Refused { .. } => self.refused += 1,
            Answer::Unexpected { .. } => self.unexpected += 1,
            Answer::Unanswered => self.unanswered += 1,
            _ => {
                self.clear += 1;
                self.latencies_us.push(call.ended_us - call.sent_us);
            }
        }
    }
}

fn kind(request: &Request) -> &'static str {
    match request {
        Request::Acquire { .. } => "acquire",
        Request::Renew { .. } => "renew",
        Request::Release { .. } => "release",
        Request::Number { .. } => "number",
        Request::Put { .. } => "put",
        Request::Get { .. } => "get",
        Request::Watch { .. } => "watch",
    }
}

/// The answers by kind, for a terminal.
pub fn table(history: &History) -> String {
    let mut text = format!(
        "{:<10}{:>8}{:>8}{:>9}{:>12}{:>12}{:>10}{:>10}\n",
        "call", "sent", "clear", "refused", "unexpected", "unanswered", "p50 ms", "p99 ms"
    );
    for (kind, answers) in answers(history) {
        let Answers { sent, clear, refused, unexpected, unanswered, latencies_us } = answers;
        let _ = writeln!(
            text,
            "{kind:<10}{sent:>8}{clear:>8}{refused:>9}{unexpected:>12}{unanswered:>12}{:>10.1}{:>10.1}",
            quantile_ms(&latencies_us, 0.5),
            quantile_ms(&latencies_us, 0.99)
        );
    }
    text
}

fn quantile_ms(sorted_us: &[u64], share: f64) -> f64 {
    let at = ((sorted_us.len() as f64 - 1.0) * share).round().max(0.0) as usize;
    sorted_us.get(at).map_or(f64::NAN, |us| *us as f64 / 1e3)
}
