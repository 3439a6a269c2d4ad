//! The rules of locks, numbers and keys, checked over a [`History`] alone. No process is asked, and no time but the
//! history's own is read.

mod latest;
mod locks;
mod lost;
mod numbers;
mod puts;
mod values;
mod watches;

use super::history::History;
use puts::Puts;

/// A rule of the coordination service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// Two holders of one lock at one moment, or a fencing token that does not rise from one holder to the next.
    One,
    /// Numbers, revisions or events out of order, given twice or skipped.
    Order,
    /// A read below a put that was acknowledged before.
    Stale,
    /// A value or revision that no put accounts for.
    Mixed,
    /// A value whose put was rejected.
    Refused,
    /// Something acknowledged is gone, or there is no answer at the end.
    Lost,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Breach {
    /// When it showed, in microseconds from the start of the run.
    pub at_us: u64,
    /// The rule.
    pub rule: Rule,
    /// What was seen.
    pub what: String,
}

/// All breaches in a history, in the order in which they showed.
pub fn check_history(history: &History) -> Vec<Breach> {
    let puts = Puts::new(history);
    let mut breaches = Vec::new();
    locks::check(history, &mut breaches);
    numbers::check(history, &mut breaches);
    puts.check(&mut breaches);
    watches::check(history, &puts, &mut breaches);
    values::check(history, &puts, &mut breaches);
    lost::check(history, &puts, &mut breaches);
    breaches.sort();
    breaches
}

/// The rules that a history breaks, each once.
pub fn broken_rules(history: &History) -> Vec<Rule> {
    let mut rules: Vec<Rule> = check_history(history).into_iter().map(|breach| breach.rule).collect();
    rules.sort();
    rules.dedup();
    rules
}
