//! Whether the tier kept its rules, from a history alone.
use super::history::{Attempt, End, History, Kind, Run, TOKENS_PER_EVENT};
use bytes::Bytes;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// A rule of the tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// What may run once ran once.
    Twice,
    /// What a client was told has not run did not run.
    Refused,
    /// What ran is what a client sent; a turn's body is the chain before it and its input.
    Unasked,
    /// An answer belongs to its request.
    Mixed,
    /// A stream ends complete, or visibly broken.
    Ended,
    /// A turn that a client saw end is there for the next.
    Lost,
    /// A program's tokens stay within its budget and one turn's most.
    Budget,
    /// A request that a sender passed on is answered, unless the sender fails.
    Dropped,
    /// The configuration read back is the newest that was acknowledged.
    Configuration,
}

/// Each rule that was broken, with what was seen.
pub type Breaches = BTreeMap<Rule, Vec<String>>;

/// So many requests may be dropped before the rule counts as broken.
const MAX_DROPPED: usize = 3;
/// A sender that failed counts as disturbed for so long after it is back: `contact_ms`.
const DISTURBED_AFTERWARDS: Duration = Duration::from_secs(5);

/// Of the programs, this many in a hundred have to finish.
pub const MIN_FINISHED_PERCENT: usize = 90;

/// What a history comes to.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// Broken rules.
    pub breaches: Breaches,
    /// Programs started.
    pub started: usize,
    /// Programs that finished.
    pub finished: usize,
}

impl Verdict {
    /// Whether no rule was broken and enough programs finished.
    pub fn is_good(&self) -> bool {
        self.breaches.is_empty()
            && self.started > 0
            && self.finished * 100 >= self.started * MIN_FINISHED_PERCENT
    }
}

/// The data of the complete events in a stream, each with a line feed after it, and their number.
pub fn output(stream: &[u8]) -> (Vec<u8>, u64) {
    let (mut output, mut count) = (Vec::new(), 0);
    let text = String::from_utf8_lossy(stream);
    // What stands after the last blank line is no complete event.
    let complete = text.rfind("\n\n").map_or("", |end| &text[..end]);
    for event in complete.split("\n\n") {
        if let Some(data) = event.lines().find_map(|line| line.strip_prefix("data: ")) {
            output.extend_from_slice(data.as_bytes());
            output.push(b'\n');
            count += 1;
        }
    }
    (output, count)
}

struct HistoryChecker<'a> {
    history: &'a History,
    attempts: HashMap<&'a str, &'a Attempt>,
    runs: HashMap<&'a str, Vec<&'a Run>>,
    breaches: Breaches,
}

/// Checks a history.
pub fn check_history(history: &History) -> Verdict {
    let mut runs: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in &history.runs {
        runs.entry(&run.attempt).or_default().push(run);
    }
    let attempts = history.attempts.iter().map(|t| (t.attempt.as_str(), t)).collect();
    let mut check_history = HistoryChecker { history, attempts, runs, breaches: Breaches::new() };
    history.runs.iter().for_each(|run| check_history.run(run));
    history.attempts.iter().for_each(|t| check_history.check_attempt(t));
    check_history.dropped();
    check_history.budgets();
    check_history.configurations();
    let judged = history.programs.iter().filter(|program| program.number >= history.judged_from);
    let started = if history.judged_from == 0 { history.started } else { judged.clone().count() };
    Verdict {
        breaches: check_history.breaches,
        started,
        finished: judged.filter(|program| program.end.is_ok()).count(),
    }
}

impl<'a> HistoryChecker<'a> {
    fn breach(&mut self, rule: Rule, what: String) {
        self.breaches.entry(rule).or_default().push(what);
    }

    /// Inputs and outputs of a turn and of those before it, as their clients saw them; none if one was not seen completely.
    fn chain(&self, mut last: Option<&'a str>) -> Option<Vec<u8>> {
        let mut parts = Vec::new();
        while let Some(attempt) = last {
            let turn = self.attempts.get(attempt)?;
            let End::Answered { status: 200, body, complete: true, .. } = &turn.end else { return None };
            parts.push([turn.input.to_vec(), output(body).0].concat());
            last = turn.previous.as_deref();
        }
        parts.reverse();
        Some(parts.concat())
    }

    fn run(&mut self, run: &'a Run) {
        let Some(sent) = self.attempts.get(run.attempt.as_str()).copied() else {
            return self.breach(Rule::Unasked, format!("{} ran, and no client sent it", run.attempt));
        };
        let Some(mut body) = self.chain(sent.previous.as_deref()) else {
            return self.breach(Rule::Unasked, format!("{} ran on a turn that has not ended", run.attempt));
        };
        body.extend_from_slice(&sent.input);
        if run.body != body {
            let (found, due) = (run.body.len(), body.len());
            let what =
                format!("{} ran with a body of {found} bytes that is not the one due, {due}", run.attempt);
            self.breach(Rule::Unasked, what);
        }
    }

    fn check_attempt(&mut self, sent: &'a Attempt) {
        let attempt = &sent.attempt;
        let runs = self.runs.get(attempt.as_str()).cloned().unwrap_or_default();
        let once = sent.kind != Kind::Idempotent;
        if once && runs.len() > 1 {
            let at: Vec<_> = runs.iter().map(|run| run.instance.as_str()).collect();
            self.breach(Rule::Twice, format!("{attempt} ran {} times, at {}", runs.len(), at.join(", ")));
        }
        match &sent.end {
            End::Unsent if once && !runs.is_empty() => {
                self.breach(Rule::Refused, format!("{attempt} ran, and was closed unread"));
            }
            End::Unsent | End::Broken | End::Left => {}
            End::Silent => self.breach(Rule::Ended, format!("{attempt} got neither an end nor a break")),
            End::Answered { status, id, seal, body, complete } => {
                if once && matches!(status, 402 | 408 | 421 | 429 | 503) && !runs.is_empty() {
                    self.breach(Rule::Refused, format!("{attempt} ran, and was answered {status}"));
                }
                let known = sent.previous.as_deref().is_some_and(|p| self.chain(Some(p)).is_some());
                if *status == 404 && known {
                    self.breach(Rule::Lost, format!("{attempt} got 404 for a turn that had ended"));
                }
                if id.as_ref().is_some_and(|id| id != attempt) {
                    self.breach(Rule::Mixed, format!("{attempt} was answered as {id:?}"));
                }
                if (200..300).contains(status) || seal.is_some() {
                    self.answer(attempt, &runs, seal.as_deref(), body, *complete);
                }
            }
        }
    }

    /// An endpoint's answer.
    fn answer(&mut self, attempt: &str, runs: &[&Run], seal: Option<&str>, body: &Bytes, complete: bool) {
        let Some(run) = runs.iter().find(|run| Some(run.seal.as_str()) == seal) else {
            return self
                .breach(Rule::Mixed, format!("{attempt} got an answer of no run of its own: {seal:?}"));
        };
        if !run.answer.starts_with(body) {
            self.breach(Rule::Mixed, format!("{attempt} got other bytes than its run gave"));
        } else if complete && run.answer != body {
            let (found, due) = (body.len(), run.answer.len());
            self.breach(Rule::Ended, format!("{attempt} ended as if whole after {found} bytes of {due}"));
        }
    }

    /// Connections that ended without an answer after the request had been passed on.
    fn dropped(&mut self) {
        let is_dropped = |sent: &&Attempt| {
            sent.end == End::Broken
                && self.runs.contains_key(sent.attempt.as_str())
                && !self.is_disturbed(sent)
        };
        let dropped: Vec<_> = self.history.attempts.iter().filter(is_dropped).collect();
        if dropped.len() <= MAX_DROPPED {
            return;
        }
        for sent in dropped {
            let (to, began) = (sent.route.to, sent.route.began.as_secs_f64());
            self.breach(Rule::Dropped, format!("{} to {to:?} at {began:.3} s", sent.attempt));
        }
    }

    /// Whether the sender of an attempt failed while it was under way, or shortly before.
    fn is_disturbed(&self, sent: &Attempt) -> bool {
        let ended_at = sent.route.ended_at.unwrap_or(Duration::MAX);
        self.history.disturbances.iter().any(|disturbance| {
            Some(disturbance.of) == sent.route.to
                && disturbance.from <= ended_at
                && sent.route.began <= disturbance.until + DISTURBED_AFTERWARDS
        })
    }

    fn budgets(&mut self) {
        for program in &self.history.programs {
            let of =
                self.history.attempts.iter().filter(|t| t.program == program.number && t.kind == Kind::Turn);
            let events = of.map(|t| match &t.end {
                End::Answered { status: 200, body, .. } => output(body).1,
                _ => 0,
            });
            let tokens = events.sum::<u64>() * TOKENS_PER_EVENT;
            if tokens > program.budget + program.max_tokens_per_turn {
                let (number, budget, max_tokens_per_turn) =
                    (program.number, program.budget, program.max_tokens_per_turn);
                let what = format!(
                    "program {number} got {tokens} tokens, of {budget} and one turn's {max_tokens_per_turn}"
                );
                self.breach(Rule::Budget, what);
            }
        }
    }

    fn configurations(&mut self) {
        let known = &self.history.configurations;
        let Some(newest) = known.acknowledged.iter().max() else { return };
        let what = match &known.read {
            None => format!("version {newest} could not be read back"),
            // One that was sent and not acknowledged may have been taken.
            Some(read) if known.sent.iter().any(|(version, bytes)| version >= newest && bytes == read) => {
                return;
            }
            Some(read) => format!("{} bytes were read that are not version {newest}", read.len()),
        };
        self.breach(Rule::Configuration, what);
    }
}
