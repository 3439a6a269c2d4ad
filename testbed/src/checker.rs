//! Who keeps the rules and what was served: it receives each event at clients, partners and the directory,
//! apart from all of them, and never asks a sender.
use crate::plan::{Micros, Plan, micros};
use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

mod attempts;
mod final_answers;
mod fleet_events;
mod submissions;
mod verdict;

pub use verdict::{Latency, PERCENTILES, ServiceValue, Verdict};

/// A rule of the operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// An accepted message has one end, in its time.
    Lost,
    /// What must not take effect twice does not.
    Doubled,
    /// A message that may have run is not sent again, or given back, beyond what its class allows.
    Resent,
    /// Attempts at a message do not overlap.
    Overlap,
    /// Nothing new goes to what drains or has departed.
    Drain,
    /// An advised wait is respected.
    Wait,
    /// A returning partner is not pushed over by those who saw it fail.
    Fall,
    /// A message goes to its own partner, and comes from a client.
    Astray,
}

/// A rule that was broken.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Breach {
    /// Which.
    pub rule: Rule,
    /// When, in seconds of the run.
    pub at_s: f64,
    /// What was seen.
    pub what: String,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// 200.
    Delivered,
    /// An error.
    Error,
    /// Rejected, with the end of the advised wait.
    Refused(Option<Micros>),
    /// The sender closed the connection, or it broke.
    Cut,
}

/// How a message that was accepted ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Delivered,
    Returned,
    Failed,
}

/// One submission in.
#[derive(Debug)]
struct Submission {
    /// The message that the client first wanted sent.
    first: usize,
    sender: usize,
    class: usize,
    partner: usize,
    /// When its time is up.
    due: Micros,
    accepted: bool,
    end: Option<End>,
    out: usize,
    attempts: u32,
    /// When the first attempt that may have run was begun.
    may_have_run: Option<Micros>,
}

/// A message as its client first wanted it.
#[derive(Debug)]
struct Wanted {
    at: Micros,
    class: usize,
    delivered: Option<Micros>,
    /// The ids under which it was submitted.
    ids: Vec<String>,
    /// When it took effect, and under which id.
    runs: Vec<(Micros, String)>,
    /// Its last word was a refusal, or a failure.
    refused: bool,
    failed: bool,
}

/// Length of the spans for the time lines and the worst stretch.
pub const SPAN: Micros = 1_000_000;
/// The rule on the worst stretch looks at this many spans.
const WORST_SPANS: usize = 10;
/// Time limits on sockets are so much longer.
const SOCKET_SLACK: Micros = 50_000;
/// Calls that come so soon after an advised wait was written are let through.
const WAIT_SLACK: Micros = 100_000;
/// No notice is overdue until so long after its sender is ready again.
const RESTART_SLACK: Micros = 1_500_000;
/// Messages of one rule that are reported in full.
const MAX_REPORTED_BREACHES: usize = 5;
/// A fall breaks the rule if so much of the load came from senders that had seen it fail.
const WITNESS_SHARE: f64 = 2.0 / 3.0;
/// Latencies are recorded up to this, in microseconds, to two digits.
const MAX_LATENCY_US: u64 = 120_000_000;

/// What happened in one span, over the whole fleet.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Span {
    /// Messages that clients wanted sent for the first time.
    pub wanted: u32,
    /// Messages delivered.
    pub delivered: u32,
    /// Refusals to clients: at the door and by notice.
    pub refused: u32,
    /// Messages that failed.
    pub failed: u32,
    /// Calls begun.
    pub calls: u32,
    /// Calls refused by partners.
    pub calls_refused: u32,
    /// Connections made to endpoints.
    pub connections: u32,
}

/// Sees everything.
pub struct RuleChecker {
    scenario: Scenario,
    submissions: HashMap<String, Submission>,
    wanted: Vec<Wanted>,
    /// Ends of the waits that a partner advised a sender of, and when it did.
    waits: HashMap<(usize, usize), (Micros, Micros)>,
    /// When a sender was notified that an endpoint drains or has departed.
    drained: HashMap<(usize, usize, usize), Micros>,
    /// Spans in which a sender was down, until it was ready again.
    down: Vec<(usize, Micros, Micros)>,
    breaches: BTreeMap<Rule, (usize, Vec<Breach>)>,
    spans: Vec<Span>,
    latencies: Vec<Histogram<u64>>,
    slots: usize,
    out: Vec<usize>,
    counts: Counts,
    events: Vec<(f64, String)>,
}

/// Plain counts of a run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Messages that clients wanted sent.
    pub wanted: u64,
    /// Submissions, repeats among them.
    #[serde(rename = "handed_in")]
    pub submitted: u64,
    /// Of those, accepted.
    #[serde(rename = "taken_on")]
    pub accepted: u64,
    /// Rejected on submission.
    #[serde(rename = "turned_away")]
    pub rejected: u64,
    /// Without an answer in time.
    pub unanswered: u64,
    /// Messages delivered.
    pub delivered: u64,
    /// Of those, after the wanted time.
    pub late: u64,
    /// Messages whose last word was a refusal.
    pub refused: u64,
    /// Messages that failed.
    pub failed: u64,
    /// Messages that a client heard nothing certain of.
    pub unknown: u64,
    /// Messages that took effect twice though they must not.
    pub doubled: u64,
    /// The same, where a client submitted its message again under another id, as it may.
    pub doubled_by_clients: u64,
    /// Messages accepted that had no end in time.
    pub lost: u64,
    /// Calls begun.
    pub calls: u64,
    /// Calls refused by partners.
    pub calls_refused: u64,
    /// Calls that ran for nothing: a repeat, or one whose message was over.
    pub wasted: u64,
    /// Connections made to endpoints.
    pub connections: u64,
    /// Partners that fell over.
    pub falls: u64,
    /// Strangers that came.
    pub strangers: u64,
    /// Of those, left with neither an error nor a close in time.
    pub strangers_left: u64,
}

/// What an endpoint does with a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// It is let through; the sender that holds the message, and the work that it takes.
    Through {
        /// The sender.
        sender: usize,
        /// The message that the client first wanted sent.
        first: usize,
    },
    /// No client submitted this here.
    Unknown,
    /// The message is over.
    Over,
    /// It has had all its attempts.
    Spent,
    /// All slots of the sender are taken.
    NoSlot,
}

impl RuleChecker {
    /// A checker of one run.
    pub fn new(scenario: &Scenario, plan: &Plan) -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1000, MAX_LATENCY_US, 2)
                .unwrap_or_else(|_| Histogram::new_from(&empty()))
        };
        Self {
            submissions: HashMap::new(),
            wanted: Vec::new(),
            waits: HashMap::new(),
            drained: HashMap::new(),
            down: Vec::new(),
            breaches: BTreeMap::new(),
            spans: vec![Span::default(); (micros(scenario.seconds) / SPAN) as usize + 1],
            latencies: scenario.classes.iter().map(|_| histogram()).collect(),
            slots: plan.slots,
            out: vec![0; scenario.fleet.senders],
            counts: Counts::default(),
            events: Vec::new(),
            scenario: scenario.clone(),
        }
    }

    fn breach(&mut self, rule: Rule, now: Micros, what: String) {
        let (count, examples) = self.breaches.entry(rule).or_default();
        *count += 1;
        if examples.len() < MAX_REPORTED_BREACHES {
            examples.push(Breach { rule, at_s: now as f64 / 1e6, what });
        }
    }

    fn span(&mut self, now: Micros) -> &mut Span {
        let index = (now / SPAN) as usize;
        if index >= self.spans.len() {
            self.spans.resize(index + 1, Span::default());
        }
        &mut self.spans[index]
    }

    /// Notes something for the report's time line.
    pub fn event(&mut self, now: Micros, what: String) {
        self.events.push((now as f64 / 1e6, what));
    }

    /// What was noted so far, with its time in seconds.
    pub fn events(&self) -> &[(f64, String)] {
        &self.events
    }
}

/// The smallest histogram that there is: its bounds always hold.
fn empty() -> Histogram<u64> {
    Histogram::new(0).expect("zero digits are allowed")
}

#[cfg(test)]
mod tests;
