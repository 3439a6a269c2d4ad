//! Who keeps the rules and what was served: it is told each thing that happens at clients, partners and the directory,
//! apart from all of them, and never asks a sender.
use crate::plan::{Micros, Plan, micros};
use crate::scenario::{Effect, Scenario};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// A rule of the operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// A message taken on has one end, in its time.
    Lost,
    /// What must not take effect twice does not.
    Doubled,
    /// A message that may have run is not sent again, or given back, beyond what its class allows.
    Resent,
    /// Attempts at a message do not overlap.
    Overlap,
    /// Nothing new goes to what drains or is gone.
    Drain,
    /// A told wait is kept.
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
    /// When, in seconds of the play.
    pub at_s: f64,
    /// What was seen.
    pub what: String,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// 200.
    Delivered,
    /// An error.
    Error,
    /// Turned away, with the end of the wait that was told.
    Refused(Option<Micros>),
    /// The sender closed the connection, or it broke.
    Cut,
}

/// How a message that was taken on ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Delivered,
    Returned,
    Failed,
}

/// One handing in.
#[derive(Debug)]
struct Handing {
    /// The message that the client first wanted sent.
    first: usize,
    sender: usize,
    class: usize,
    partner: usize,
    /// When its time is up.
    due: Micros,
    taken_on: bool,
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
    /// Under which it was handed in.
    ids: Vec<String>,
    /// When it took effect, and under which id.
    runs: Vec<(Micros, String)>,
    /// Its last word was a refusal, or a failure.
    refused: bool,
    failed: bool,
}

/// Length of the spans for the time lines and the worst stretch.
pub const SPAN: Micros = 1_000_000;
/// The rule on the worst stretch looks at so many spans.
const WORST_SPANS: usize = 10;
/// Time limits on sockets are so much longer.
const SOCKET_SLACK: Micros = 50_000;
/// Calls that come so soon after a told wait was written are let through.
const WAIT_SLACK: Micros = 100_000;
/// No notice is overdue until so long after its sender is ready again.
const RESTART_SLACK: Micros = 1_500_000;
/// Messages of one rule that are told in full.
const MOST_TOLD: usize = 5;
/// A fall breaks the rule if so much of the load came from senders that had seen it fail.
const WITNESS_SHARE: f64 = 2.0 / 3.0;
/// Latencies are kept up to this, in microseconds, to two digits.
const LONGEST: u64 = 120_000_000;

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
pub struct Judge {
    scenario: Scenario,
    handings: HashMap<String, Handing>,
    wanted: Vec<Wanted>,
    /// Ends of the waits that a sender was told by a partner, and when it was told.
    waits: HashMap<(usize, usize), (Micros, Micros)>,
    /// When a sender was told that an endpoint drains or is gone.
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

/// Plain counts of a play.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Messages that clients wanted sent.
    pub wanted: u64,
    /// Handings in, repeats among them.
    pub handed_in: u64,
    /// Of those, taken on.
    pub taken_on: u64,
    /// Refused at the door.
    pub turned_away: u64,
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
    /// The same, where a client handed its message in again under another id, as it may.
    pub doubled_by_clients: u64,
    /// Messages taken on that had no end in time.
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
    /// No client handed this in here.
    Unknown,
    /// The message is over.
    Over,
    /// It has had all its attempts.
    Spent,
    /// All slots of the sender are taken.
    NoSlot,
}

impl Judge {
    /// A judge of one play.
    pub fn new(scenario: &Scenario, plan: &Plan) -> Self {
        let histogram =
            || Histogram::new_with_bounds(1000, LONGEST, 2).unwrap_or_else(|_| Histogram::new_from(&empty()));
        Self {
            handings: HashMap::new(),
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
        let (count, told) = self.breaches.entry(rule).or_default();
        *count += 1;
        if told.len() < MOST_TOLD {
            told.push(Breach { rule, at_s: now as f64 / 1e6, what });
        }
    }

    fn span(&mut self, now: Micros) -> &mut Span {
        let place = (now / SPAN) as usize;
        if place >= self.spans.len() {
            self.spans.resize(place + 1, Span::default());
        }
        &mut self.spans[place]
    }

    /// Notes something for the report's time line.
    pub fn event(&mut self, now: Micros, what: String) {
        self.events.push((now as f64 / 1e6, what));
    }

    /// What was noted so far, with its time in seconds.
    pub fn events(&self) -> &[(f64, String)] {
        &self.events
    }

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

    /// A client hands a message in, whose time is up at `due`.
    pub fn handed_in(&mut self, id: &str, first: usize, sender: usize, partner: usize, due: Micros) {
        self.counts.handed_in += 1;
        let class = self.wanted[first].class;
        let handing = Handing {
            first,
            sender,
            class,
            partner,
            due,
            taken_on: false,
            end: None,
            out: 0,
            attempts: 0,
            may_have_run: None,
        };
        self.handings.insert(id.to_owned(), handing);
        self.wanted[first].ids.push(id.to_owned());
    }

    /// The client had its answer: whether the message was taken on.
    pub fn answered(&mut self, now: Micros, id: &str, taken_on: bool) {
        let Some(handing) = self.handings.get_mut(id) else { return };
        handing.taken_on = taken_on;
        let (first, class, end) = (handing.first, handing.class, handing.end);
        if taken_on {
            self.counts.taken_on += 1;
            (self.wanted[first].refused, self.wanted[first].failed) = (false, false);
            if end == Some(End::Delivered) {
                self.delivered(now, first, class);
            }
        } else {
            self.counts.turned_away += 1;
            self.wanted[first].refused = true;
            self.span(now).refused += 1;
        }
    }

    /// The client had no answer in time, and goes.
    pub fn unanswered(&mut self, id: &str) {
        self.counts.unanswered += 1;
        if let Some(handing) = self.handings.get_mut(id) {
            // What becomes of it under this id counts for nothing.
            handing.end = handing.end.or(Some(End::Failed));
        }
    }

    /// Whether a client may hand a message in again that came back, or had no answer: what may have taken effect
    /// comes again as its class permits, a keyed one only inside its window.
    pub fn may_come_again(&self, now: Micros, first: usize) -> bool {
        let wanted = &self.wanted[first];
        let class = &self.scenario.classes[wanted.class];
        let ran = wanted.ids.iter().filter_map(|id| self.handings.get(id)?.may_have_run).min();
        ran.is_none_or(|ran| match class.effect {
            Effect::Safe => true,
            Effect::Keyed => now < ran + micros(class.window_ms / 1000.0),
            Effect::Unsafe => false,
        })
    }

    /// A call's last byte has come.
    pub fn begins(&mut self, now: Micros, id: &str, partner: usize, endpoint: usize) -> Admission {
        self.counts.calls += 1;
        self.span(now).calls += 1;
        let Some(handing) = self.handings.get_mut(id) else {
            self.breach(Rule::Astray, now, format!("{id} was never handed in"));
            return Admission::Unknown;
        };
        handing.attempts += 1;
        let (sender, first, class, end) = (handing.sender, handing.first, handing.class, handing.end);
        let (own, out, attempts, ran) =
            (handing.partner, handing.out, handing.attempts, handing.may_have_run);
        if own != partner {
            self.breach(Rule::Astray, now, format!("{id} for partner {own} came to {partner}"));
            return Admission::Unknown;
        }
        if out > 0 {
            self.breach(Rule::Overlap, now, format!("{id}: attempt {attempts} while another is out"));
        }
        let row = &self.scenario.classes[class];
        let resent = ran.is_some_and(|ran| match row.effect {
            Effect::Safe => false,
            Effect::Keyed => now > ran + micros(row.window_ms / 1000.0) + SOCKET_SLACK,
            Effect::Unsafe => true,
        });
        if resent {
            self.breach(Rule::Resent, now, format!("{id}: attempt {attempts} of {}", row.name.clone()));
        }
        let grace = micros(self.scenario.rules.drain_ms / 1000.0) + SOCKET_SLACK;
        if self.drained.get(&(sender, partner, endpoint)).is_some_and(|told| now > told + grace) {
            self.breach(
                Rule::Drain,
                now,
                format!("{id} to endpoint {partner}/{endpoint} by sender {sender}"),
            );
        }
        if let Some((told, until)) = self.waits.get(&(sender, partner))
            && now > told + WAIT_SLACK
            && now + SOCKET_SLACK < *until
        {
            let early = (until - now) as f64 / 1e6;
            self.breach(
                Rule::Wait,
                now,
                format!("{id} to partner {partner} by sender {sender}, {early:.3} s early"),
            );
        }
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
        if let Some(handing) = self.handings.get_mut(id) {
            handing.out += 1;
            // Until its end proves the opposite.
            handing.may_have_run.get_or_insert(now);
        }
        self.out[sender] += 1;
        Admission::Through { sender, first }
    }

    /// A call takes effect; false where a repeat of it is dropped.
    pub fn runs(&mut self, now: Micros, id: &str) -> bool {
        let Some((first, class)) = self.handings.get(id).map(|h| (h.first, h.class)) else { return false };
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
    pub fn ends(&mut self, now: Micros, id: &str, began: Micros, ended: Ended) {
        let Some(handing) = self.handings.get_mut(id) else { return };
        handing.out = handing.out.saturating_sub(1);
        let (sender, partner, first, class) = (handing.sender, handing.partner, handing.first, handing.class);
        if matches!(ended, Ended::Refused(_)) && handing.may_have_run == Some(began) {
            handing.may_have_run = None;
        }
        self.out[sender] = self.out[sender].saturating_sub(1);
        match ended {
            Ended::Delivered if handing.end.is_none() => {
                handing.end = Some(End::Delivered);
                if handing.taken_on {
                    self.delivered(now, first, class);
                }
            }
            Ended::Refused(until) => {
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

    fn delivered(&mut self, now: Micros, first: usize, class: usize) {
        if self.wanted[first].delivered.is_some() {
            return;
        }
        let took = now.saturating_sub(self.wanted[first].at);
        (self.wanted[first].delivered, self.wanted[first].refused) = (Some(now), false);
        self.latencies[class].saturating_record(took.max(1));
        self.span(now).delivered += 1;
    }

    /// A notice has come: which message it ends, if it ends one.
    pub fn noticed(&mut self, now: Micros, id: &str, returned: bool) -> Option<usize> {
        let handing = self.handings.get_mut(id)?;
        if handing.end.is_some() {
            return None;
        }
        handing.end = Some(if returned { End::Returned } else { End::Failed });
        let (first, due, sender, taken_on) = (handing.first, handing.due, handing.sender, handing.taken_on);
        let unsure =
            handing.may_have_run.is_some() && self.scenario.classes[handing.class].effect == Effect::Unsafe;
        if !taken_on {
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
    fn excused(&self, sender: usize, due: Micros, now: Micros) -> bool {
        let allowed = micros(self.scenario.rules.late_end_ms / 1000.0);
        self.down.iter().any(|(who, from, ready)| {
            *who == sender && *from <= due + allowed && now <= ready.saturating_add(RESTART_SLACK)
        })
    }

    /// How long after its time a message's end still counts.
    fn end_slack(&self) -> Micros {
        micros(self.scenario.rules.late_end_ms / 1000.0) + SOCKET_SLACK
    }

    fn lost(&mut self, now: Micros, id: String, how: &str) {
        self.counts.lost += 1;
        self.breach(Rule::Lost, now, format!("{id}: {how}"));
    }

    /// A sender was told that an endpoint drains or is gone, or that it serves again.
    pub fn told(&mut self, now: Micros, sender: usize, partner: usize, endpoint: usize, serves: bool) {
        if serves {
            self.drained.remove(&(sender, partner, endpoint));
        } else {
            self.drained.entry((sender, partner, endpoint)).or_insert(now);
        }
    }

    /// A sender's process has ended.
    pub fn sender_down(&mut self, now: Micros, sender: usize) {
        self.down.push((sender, now, Micros::MAX));
        self.waits.retain(|(who, _), _| *who != sender);
    }

    /// A sender is ready again.
    pub fn sender_ready(&mut self, now: Micros, sender: usize) {
        for (who, _, ready) in self.down.iter_mut().filter(|(_, _, ready)| *ready == Micros::MAX) {
            if *who == sender {
                *ready = now;
            }
        }
    }

    /// A connection was made to an endpoint.
    pub fn connected(&mut self, now: Micros) {
        self.counts.connections += 1;
        self.span(now).connections += 1;
    }

    /// A stranger has gone; whether it had an error or a close in time.
    pub fn stranger(&mut self, served: bool) {
        self.counts.strangers += 1;
        self.counts.strangers_left += u64::from(!served);
    }

    /// A partner fell over.
    pub fn fell(&mut self, now: Micros, partner: usize, by_witnesses: f64) {
        self.counts.falls += 1;
        self.event(now, format!("partner {partner} fell over"));
        if by_witnesses >= WITNESS_SHARE {
            let share = by_witnesses * 100.0;
            self.breach(Rule::Fall, now, format!("partner {partner}: {share:.0}% by those who saw it fail"));
        }
    }

    /// So far: messages wanted, delivered, and words of refusal or failure.
    pub fn so_far(&self) -> [u32; 3] {
        let sum = |of: fn(&Span) -> u32| self.spans.iter().map(of).sum();
        [sum(|s| s.wanted), sum(|s| s.delivered), sum(|s| s.refused + s.failed)]
    }

    /// Messages taken on that have no end yet.
    pub fn open(&self) -> usize {
        self.handings.values().filter(|h| h.taken_on && h.end.is_none()).count()
    }

    /// Whether nothing can come any more: each message taken on has its end, or should have had it.
    pub fn settled(&self, now: Micros) -> bool {
        let slack = self.end_slack();
        !self.handings.values().any(|h| h.taken_on && h.end.is_none() && now <= h.due + slack)
    }

    /// The result, once nothing more happens.
    pub fn verdict(mut self, now: Micros) -> Verdict {
        let open = self.handings.iter().filter(|(_, h)| h.taken_on && h.end.is_none());
        let slack = self.end_slack();
        let lost: Vec<_> = open
            .filter(|(_, h)| now > h.due + slack && !self.excused(h.sender, h.due, now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in lost {
            self.lost(now, id, "no end at all");
        }
        let mut worth = Worth::default();
        let last = (micros(self.scenario.seconds) / SPAN) as usize + 1;
        let mut by_span = vec![(0.0, 0.0); last];
        let mut by_class = vec![(0.0, 0.0); self.scenario.classes.len()];
        for wanted in &self.wanted {
            let class = &self.scenario.classes[wanted.class];
            let served = wanted.delivered.map_or(0.0, |at| {
                let late = (at.saturating_sub(wanted.at)) as f64 / 1000.0 - class.aim_ms;
                let left = 0.5f64.powf(late.max(0.0) / class.aim_ms).max(class.late_worth);
                self.counts.delivered += 1;
                self.counts.late += u64::from(late > 0.0);
                class.worth * left
            });
            if wanted.delivered.is_none() {
                self.counts.refused += u64::from(wanted.refused && !wanted.failed);
                self.counts.failed += u64::from(wanted.failed);
                self.counts.unknown += u64::from(!wanted.refused && !wanted.failed);
            }
            let span = ((wanted.at / SPAN) as usize).min(last - 1);
            for (asked, got) in [&mut by_span[span], &mut by_class[wanted.class]] {
                *asked += class.worth;
                *got += served;
            }
        }
        let share = |of: &[(f64, f64)]| {
            let (asked, got) = of.iter().fold((0.0, 0.0), |sum, x| (sum.0 + x.0, sum.1 + x.1));
            if asked > 0.0 { got / asked } else { 1.0 }
        };
        worth.whole = share(&by_span);
        let stretches = by_span.windows(WORST_SPANS.min(by_span.len()));
        worth.worst_stretch = stretches.map(share).min_by(f64::total_cmp).unwrap_or(worth.whole);
        worth.by_class = by_class.iter().map(|class| share(std::slice::from_ref(class))).collect();
        let worst_class = worth.by_class.iter().copied().min_by(f64::total_cmp).unwrap_or(worth.whole);
        let asked = self.counts.wanted.max(1) as f64;
        worth.price = 0.06 * (self.counts.connections as f64 / asked).min(1.0)
            + 0.05 * (self.counts.wasted as f64 / asked).min(1.0)
            + 0.03 * (self.counts.calls_refused as f64 / asked).min(1.0)
            + 0.3 * self.counts.strangers_left as f64 / self.counts.strangers.max(1) as f64;
        worth.result = 0.5 * worth.whole + 0.3 * worth.worst_stretch + 0.2 * worst_class - worth.price;
        let classes = self.scenario.classes.iter().zip(&self.latencies).map(|(class, latencies)| Latency {
            class: class.name.clone(),
            delivered: latencies.len(),
            percentiles: PERCENTILES.map(|p| latencies.value_at_quantile(p / 100.0) as f64 / 1e6),
            points: (latencies.iter_quantiles(2))
                .map(|v| (v.quantile(), v.value_iterated_to() as f64 / 1e6))
                .collect(),
        });
        Verdict {
            worth,
            latencies: classes.collect(),
            breaches: (self.breaches.iter())
                .map(|(rule, (count, told))| (*rule, *count, told.clone()))
                .collect(),
            spans: self.spans,
            events: self.events,
            counts: self.counts,
        }
    }
}

/// The smallest histogram that there is: its bounds always hold.
fn empty() -> Histogram<u64> {
    Histogram::new(0).expect("zero digits are allowed")
}

/// Percentiles of the time to delivery that are told.
pub const PERCENTILES: [f64; 4] = [50.0, 90.0, 99.0, 99.9];

/// Service, as the operators count it, from 0 to 1.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Worth {
    /// Worth served over worth asked for, over the whole play.
    pub whole: f64,
    /// The same over the worst ten seconds.
    pub worst_stretch: f64,
    /// The same by class.
    pub by_class: Vec<f64>,
    /// For connections, wasted work, calls refused and strangers left unanswered.
    pub price: f64,
    /// Half the whole, three tenths the worst stretch, a fifth the worst class, less the price.
    pub result: f64,
}

/// Times to delivery of one class, in seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Latency {
    /// The class.
    pub class: String,
    /// Messages delivered.
    pub delivered: u64,
    /// By [`PERCENTILES`].
    pub percentiles: [f64; 4],
    /// Quantiles and their times, for a plot.
    pub points: Vec<(f64, f64)>,
}

/// The result of a play.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Verdict {
    /// Service.
    pub worth: Worth,
    /// Plain counts.
    pub counts: Counts,
    /// Times to delivery.
    pub latencies: Vec<Latency>,
    /// Rules broken, how often, and the first of each.
    pub breaches: Vec<(Rule, usize, Vec<Breach>)>,
    /// The play, second by second.
    pub spans: Vec<Span>,
    /// What happened, and when in seconds.
    pub events: Vec<(f64, String)>,
}

#[cfg(test)]
mod tests;
