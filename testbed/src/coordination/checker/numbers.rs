//! ORDER, as far as numbers go: each value is given once, above all that were given before the call was sent.

use super::super::history::{Answer, Call, History, Request};
use super::latest::Latest;
use super::{Breach, Rule};
use std::collections::{BTreeMap, HashSet};

pub(super) fn check(history: &History, breaches: &mut Vec<Breach>) {
    for (name, given) in given_numbers(history) {
        let latest = latest(&given);
        let mut values = HashSet::new();
        for (call, value) in given {
            let before = latest.before(call.sent_us).filter(|before| value <= *before);
            let what = match before {
                Some(before) => format!("number {name}: {value} is given after {before}"),
                None if !values.insert(value) => format!("number {name}: {value} is given twice"),
                None => continue,
            };
            breaches.push(Breach { at_us: call.ended_us, rule: Rule::Order, what });
        }
    }
}

/// The numbers that were given, by counter.
pub(super) fn given_numbers(history: &History) -> BTreeMap<&str, Vec<(&Call, u64)>> {
    let mut given: BTreeMap<&str, Vec<(&Call, u64)>> = BTreeMap::new();
    for call in &history.calls {
        if let (Request::Number { name }, Answer::Number { value }) = (&call.request, &call.answer) {
            given.entry(name).or_default().push((call, *value));
        }
    }
    given
}

/// The highest number by time.
pub(super) fn latest(given: &[(&Call, u64)]) -> Latest {
    Latest::new(given.iter().map(|(call, value)| (call.ended_us, *value)))
}
