//! The checker: the safety and liveness rules of the system, evaluated on a recorded history.

use super::history::{Fact, History, LookupResult};
use super::{order_rules, timing_rules};
use fleet_model::{Ballot, rendezvous_rank};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Deadline for a returned control node to learn what was chosen by then.
const CATCH_UP_MS: u64 = 4_100;
/// Committed versions that a register value remembers.
const MAX_COMMITTED_VERSIONS: usize = 512;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// One ballot chooses one value, and each later value contains all versions of the previous one.
    OneValue,
    /// What was acknowledged is in every value chosen later and in what is read back.
    Acknowledged,
    /// Of two changes on top of one version at most one is acknowledged.
    OneOfTwo,
    /// Within one incarnation a process never returns to an older value, configuration or list.
    Forward,
    /// Each fencing token belongs to one incarnation of one process.
    OneHolder,
    /// A program is served no more tokens than its budget plus the maximum of one turn.
    Budget,
    /// A completed turn is found by later lookups.
    Found,
    /// A lookup returns the texts of the chain's turns, in order.
    Text,
    /// The system converges within the time limit after the last fault.
    Settles,
    /// At most one change is confirmed under a version number.
    OneOrder,
    /// A rejected change is never committed, a committed one is never rejected, and the reason of a rejection is true.
    Refused,
    /// A control node that reaches no majority gives no definite answer.
    Alone,
    /// A connected machine applies an acknowledged configuration within the bound.
    Fresh,
    /// A connected machine applies a new endpoint list within the bound.
    Drain,
    /// While the control nodes are stable an operator receives a definite answer within the bound.
    AnswerTime,
    /// A returned control node learns within the bound all that was chosen by then.
    CatchUp,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// The violated rule.
    pub rule: Rule,
    /// When it was detected, in milliseconds.
    pub at: u64,
    /// Description of the violation.
    pub what: String,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {} ms: {}", self.rule, self.at, self.what)
    }
}

/// Returns the violations in a history: the first of each rule, in order of time.
pub fn check(history: &History) -> Vec<Broken> {
    let mut broken = Vec::new();
    register(history, &mut broken);
    processes(history, &mut broken);
    turns(history, &mut broken);
    order_rules::check(history, &mut broken);
    timing_rules::check(history, &mut broken);
    returns(history, &mut broken);
    for (at, fact) in history {
        if let Fact::Settled { unmet, .. } = fact
            && !unmet.is_empty()
        {
            broken.push(Broken { rule: Rule::Settles, at: *at, what: unmet.join("; ") });
        }
    }
    broken.sort_by_key(|broken| broken.at);
    let mut seen = BTreeSet::new();
    broken.retain(|broken| seen.insert(broken.rule));
    broken
}

/// Checks [`Rule::CatchUp`] for returns without another disturbance at the same time.
fn returns(history: &History, broken: &mut Vec<Broken>) {
    let period = |at: &u64, fact: &Fact| match fact {
        Fact::Disturbed { until, .. } | Fact::PathCut { until, .. } | Fact::Lossy { until } => {
            Some((*at, *until))
        }
        Fact::ProcessStarted { .. } | Fact::Removed { .. } => Some((*at, *at)),
        _ => None,
    };
    let disturbances: Vec<(u64, u64)> = history.iter().filter_map(|(at, fact)| period(at, fact)).collect();
    for (at, fact) in history {
        let Fact::CaughtUp { node, missed, after } = fact else { continue };
        let back = at - after;
        let (since, until) = (back.saturating_sub(1_000), back + CATCH_UP_MS);
        // A disturbance that ends or begins at the moment of the return is the one it returns from.
        let other = |(from, to): &(u64, u64)| *from < until && *to > since && *from != back && *to != back;
        if *after > CATCH_UP_MS && !disturbances.iter().any(other) {
            let what =
                format!("control node {node} had missed {missed} and did not know them after {after} ms");
            broken.push(Broken { rule: Rule::CatchUp, at: *at, what });
        }
    }
}

fn register(history: &History, broken: &mut Vec<Broken>) {
    let mut chosen: BTreeMap<Ballot, (u64, &Vec<u64>, u64)> = BTreeMap::new();
    let mut acknowledged: Vec<(u64, u64)> = Vec::new();
    let mut successors: BTreeMap<u64, u64> = BTreeMap::new();
    for (at, fact) in history {
        match fact {
            Fact::Chosen { ballot, versions, hash, node } => {
                let (_, _, first) = chosen.entry(*ballot).or_insert((*at, versions, *hash));
                if first != hash {
                    let what = format!("keeper {node} takes another value as chosen under {ballot:?}");
                    broken.push(Broken { rule: Rule::OneValue, at: *at, what });
                }
            }
            Fact::Acknowledged { version, on } => {
                acknowledged.push((*at, *version));
                let other = *successors.entry(*on).or_insert(*version);
                if other != *version {
                    let what = format!("{other} and {version} were acknowledged on top of {on}");
                    broken.push(Broken { rule: Rule::OneOfTwo, at: *at, what });
                }
            }
            Fact::ReadBack { started_at, version } => {
                let newest =
                    acknowledged.iter().filter(|(at, _)| at <= started_at).map(|(_, version)| *version).max();
                if newest > Some(*version) {
                    let what = format!("{version} was read back after {newest:?} had been acknowledged");
                    broken.push(Broken { rule: Rule::Acknowledged, at: *at, what });
                }
            }
            _ => {}
        }
    }
    let values: Vec<_> = chosen.iter().collect();
    for pair in values.windows(2) {
        let [(_, (_, before, _)), (ballot, (at, after, _))] = pair else { continue };
        if !continues(before, after) {
            let what = format!("{after:?} under {ballot:?} after {before:?}");
            broken.push(Broken { rule: Rule::OneValue, at: *at, what });
        }
    }
    if let Some((_, (at, last, _))) = values.last() {
        // Only the newest versions are remembered.
        let oldest =
            if last.len() < MAX_COMMITTED_VERSIONS { 0 } else { last.first().copied().unwrap_or_default() };
        for (_, version) in acknowledged {
            if version >= oldest && !last.contains(&version) {
                let what = format!("{version} was acknowledged and is not in the last value");
                broken.push(Broken { rule: Rule::Acknowledged, at: *at, what });
            }
        }
    }
}

/// Whether a value's remembered versions extend those of an earlier value. Only the oldest versions are dropped, and only
/// beyond [`MAX_COMMITTED_VERSIONS`].
fn continues(before: &[u64], after: &[u64]) -> bool {
    if after.len() < MAX_COMMITTED_VERSIONS {
        return after.starts_with(before);
    }
    let Some(newest) = before.last() else { return true };
    match after.iter().position(|version| version == newest) {
        Some(index) => before.ends_with(&after[..=index]),
        None => after.first().is_some_and(|oldest| oldest > newest),
    }
}

fn processes(history: &History, broken: &mut Vec<Broken>) {
    let mut known: BTreeMap<(usize, u64), (Ballot, u64, u64)> = BTreeMap::new();
    let mut lease_holders: BTreeMap<u64, (usize, u64)> = BTreeMap::new();
    for (at, fact) in history {
        match fact {
            Fact::Knows { node, incarnation, ballot, version, list } => {
                let now = (*ballot, *version, *list);
                let before = known.insert((*node, *incarnation), now).unwrap_or_default();
                if now.0 < before.0 || now.1 < before.1 || now.2 < before.2 {
                    let what = format!("process {node} went from {before:?} to {now:?}");
                    broken.push(Broken { rule: Rule::Forward, at: *at, what });
                }
            }
            Fact::Holds { node, incarnation, token } => {
                let lease_holder = *lease_holders.entry(*token).or_insert((*node, *incarnation));
                if lease_holder != (*node, *incarnation) {
                    let what =
                        format!("{lease_holder:?} and {:?} held the duty under {token}", (node, incarnation));
                    broken.push(Broken { rule: Rule::OneHolder, at: *at, what });
                }
            }
            _ => {}
        }
    }
}

fn turns(history: &History, broken: &mut Vec<Broken>) {
    let mut programs: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    let mut completed: BTreeMap<&str, (u64, String)> = BTreeMap::new();
    for (at, fact) in history {
        match fact {
            Fact::Program { program, budget, max_turn_tokens } => {
                programs.insert(program, (budget + max_turn_tokens, 0));
            }
            Fact::Handed { program, tokens } => {
                let Some((bound, handed)) = programs.get_mut(program.as_str()) else { continue };
                *handed += tokens;
                if handed > bound {
                    let what = format!("{program} was handed {handed} tokens of at most {bound}");
                    broken.push(Broken { rule: Rule::Budget, at: *at, what });
                }
            }
            Fact::Completed { attempt, previous, text } => {
                let before = previous.as_ref().and_then(|previous| completed.get(previous.as_str()));
                let chain = before.map(|(_, chain)| chain.clone()).unwrap_or_default() + text;
                completed.insert(attempt, (*at, chain));
            }
            Fact::LookedUp { started_at, attempt, result } => {
                let Some((since, chain)) =
                    completed.get(attempt.as_str()).filter(|(since, _)| since <= started_at)
                else {
                    continue;
                };
                match result {
                    LookupResult::Text(hash) if *hash == rendezvous_rank(chain.as_bytes(), 0) => {}
                    LookupResult::Text(_) => {
                        let what = format!("{attempt}, whole since {since}, came with another text");
                        broken.push(Broken { rule: Rule::Text, at: *at, what });
                    }
                    LookupResult::NoSuchTurn => {
                        let what = format!(
                            "{attempt}, whole since {since}, was asked for at {started_at}: no such turn"
                        );
                        broken.push(Broken { rule: Rule::Found, at: *at, what });
                    }
                    LookupResult::Unavailable => {}
                }
            }
            _ => {}
        }
    }
}
