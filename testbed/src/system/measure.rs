//! Measurements of a run, computed from its history.

use super::history::{Fact, History, OrderAnswer};
use std::collections::BTreeMap;

/// Measurements of an isolated machine. Times are milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Isolated {
    /// Time from the start of the isolation to the first definite answer of another machine.
    pub others_clear_after: Option<u64>,
    /// Definite answers of the machine to requests sent during the isolation.
    pub own_clear_answers: usize,
    /// Time from the end of the isolation to the machine's first definite answer.
    pub own_clear_after: Option<u64>,
    /// Longest time from a change's first request to its first definite answer, of changes first sent during the isolation.
    pub longest_order: u64,
}

/// What changed since a processor quota was first spent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ThrottledChanges {
    /// Leases acquired.
    pub leases: usize,
    /// Changes of the set of storage nodes.
    pub rosters: usize,
    /// Changes of a process's upstream of the state feed.
    pub upstreams: usize,
}

impl ThrottledChanges {
    fn of(history: &History) -> Self {
        let is_throttle =
            |(_, fact): &&(u64, Fact)| matches!(fact, Fact::Fault(what) if what.contains("Throttle"));
        let Some(since) = history.iter().find(is_throttle).map(|(at, _)| *at) else { return Self::default() };
        let count = |counts: fn(&Fact) -> bool| {
            history.iter().filter(|(at, fact)| *at >= since && counts(fact)).count()
        };
        Self {
            leases: count(|fact| matches!(fact, Fact::Holds { .. })),
            rosters: count(|fact| matches!(fact, Fact::Roster { .. })),
            upstreams: count(|fact| matches!(fact, Fact::UpstreamChanged { .. })),
        }
    }
}

/// Measurements of a run. Times are milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Measured {
    /// Time until convergence after the last fault.
    pub settled_after: u64,
    /// Confirmed changes.
    pub confirmed: usize,
    /// Answers that rejected a change.
    pub refused: usize,
    /// Attempts of unknown outcome.
    pub unclear: usize,
    /// Repeated confirmations of changes that had been confirmed before.
    pub confirmed_again: usize,
    /// 99th percentile of the time from a change's first request to its first definite answer.
    pub order_p99: u64,
    /// Leases acquired, members of the storage set changed and upstreams of the feed changed, each since a processor quota was
    /// first spent.
    pub changed_while_throttled: ThrottledChanges,
    /// Longest catch-up of a returned control node, and the number of versions that it had missed.
    pub catch_up: (u64, u64),
    /// Maximum number of versions that one had missed.
    pub most_missed: u64,
    /// Longest change of the set of storage nodes.
    pub longest_set_change: u64,
    /// Bytes of the longest record of an acceptor.
    pub record_bytes: usize,
    /// Bytes of the longest payload.
    pub payload_bytes: usize,
    /// The isolated machines.
    pub isolated: Vec<Isolated>,
}

/// An operator's request and whether its answer was definite.
struct Answer {
    machine: usize,
    started_at: u64,
    at: u64,
    clear: bool,
}

impl Measured {
    /// Computes the measurements of a history.
    pub fn of(history: &History) -> Self {
        let mut measured = Self::default();
        let mut confirmed: BTreeMap<u64, usize> = BTreeMap::new();
        let mut set_change = None;
        for (at, fact) in history {
            match fact {
                Fact::Settled { after, .. } => measured.settled_after = *after,
                Fact::Ordered { order, answer, .. } => match answer {
                    OrderAnswer::Confirmed => *confirmed.entry(*order).or_default() += 1,
                    OrderAnswer::Unclear => measured.unclear += 1,
                    OrderAnswer::OtherVersion(_) | OrderAnswer::NotAbove => measured.refused += 1,
                },
                Fact::CaughtUp { missed, after, .. } => {
                    measured.catch_up = measured.catch_up.max((*after, *missed));
                    measured.most_missed = measured.most_missed.max(*missed);
                }
                Fact::Roster { next, .. } => match (next, set_change) {
                    (Some(_), None) => set_change = Some(*at),
                    (None, Some(since)) => {
                        measured.longest_set_change = measured.longest_set_change.max(at - since);
                        set_change = None;
                    }
                    _ => {}
                },
                Fact::Sizes { record, payload } => {
                    (measured.record_bytes, measured.payload_bytes) = (*record, *payload);
                }
                _ => {}
            }
        }
        measured.confirmed = confirmed.len();
        measured.confirmed_again = confirmed.values().sum::<usize>() - confirmed.len();
        measured.order_p99 = p99(&order_latencies(history, 0, u64::MAX));
        measured.changed_while_throttled = ThrottledChanges::of(history);
        measured.isolated = isolated(history);
        measured
    }

    /// Merges another run: the worse of both times and sizes, and the sums of counts.
    pub fn join(&mut self, other: Self) {
        self.settled_after = self.settled_after.max(other.settled_after);
        self.confirmed += other.confirmed;
        self.refused += other.refused;
        self.unclear += other.unclear;
        self.confirmed_again += other.confirmed_again;
        self.order_p99 = self.order_p99.max(other.order_p99);
        self.catch_up = self.catch_up.max(other.catch_up);
        self.most_missed = self.most_missed.max(other.most_missed);
        self.longest_set_change = self.longest_set_change.max(other.longest_set_change);
        self.record_bytes = self.record_bytes.max(other.record_bytes);
        self.payload_bytes = self.payload_bytes.max(other.payload_bytes);
        self.isolated.extend(other.isolated);
    }
}

fn answers(history: &History) -> Vec<Answer> {
    let answer = |(at, fact): &(u64, Fact)| match fact {
        Fact::Ordered { machine, started_at, answer, .. } => Some(Answer {
            machine: *machine,
            started_at: *started_at,
            at: *at,
            clear: *answer != OrderAnswer::Unclear,
        }),
        Fact::Read { machine, started_at, clear } => {
            Some(Answer { machine: *machine, started_at: *started_at, at: *at, clear: *clear })
        }
        _ => None,
    };
    history.iter().filter_map(answer).collect()
}

fn isolated(history: &History) -> Vec<Isolated> {
    let answers = answers(history);
    let clear = |answer: &&Answer| answer.clear;
    let measure = |since: u64, until: u64, machine: usize| {
        let others = answers.iter().filter(clear).filter(|answer| answer.machine != machine);
        let own = answers.iter().filter(clear).filter(|answer| answer.machine == machine);
        let later = own.clone().filter(|answer| answer.started_at >= until);
        Isolated {
            others_clear_after: others
                .filter(|answer| answer.started_at >= since)
                .map(|answer| answer.at - since)
                .min(),
            own_clear_answers: own.filter(|answer| answer.started_at >= since && answer.at < until).count(),
            own_clear_after: later.map(|answer| answer.at - until).min(),
            longest_order: order_latencies(history, since, until).last().copied().unwrap_or(0),
        }
    };
    let measured = history.iter().filter_map(|(at, fact)| match fact {
        Fact::Isolated { machine, until } => Some(measure(*at, *until, *machine)),
        _ => None,
    });
    measured.collect()
}

/// Times from the first request of a change to its first definite answer, of changes first sent from `since` to `until`; sorted.
fn order_latencies(history: &History, since: u64, until: u64) -> Vec<u64> {
    let mut first: BTreeMap<u64, u64> = BTreeMap::new();
    let mut latencies = Vec::new();
    for (at, fact) in history {
        let Fact::Ordered { order, started_at, answer, .. } = fact else { continue };
        let sent = *first.entry(*order).or_insert(*started_at);
        if *answer != OrderAnswer::Unclear && (since..until).contains(&sent) {
            latencies.push(at - sent);
            // Only the first clear answer counts.
            first.insert(*order, u64::MAX);
        }
    }
    latencies.sort_unstable();
    latencies
}

/// The latency that 99 of 100 do not exceed; 0 of none.
fn p99(sorted: &[u64]) -> u64 {
    sorted.get((sorted.len() * 99 / 100).min(sorted.len().saturating_sub(1))).copied().unwrap_or(0)
}
