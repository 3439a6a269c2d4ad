//! Counters, each of which gives every number once.

use crate::limits::{MAX_COUNTERS, are_within_limit};
use fleet_model::CoordinationOutcome;
use std::collections::BTreeMap;

/// The last number that each counter gave.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Counters {
    last_numbers: BTreeMap<String, u64>,
}

impl Counters {
    /// Counters with their last numbers.
    pub(crate) fn restore(last_numbers: BTreeMap<String, u64>) -> Self {
        Self { last_numbers }
    }

    /// Takes the next number of a counter.
    pub(crate) fn next(&mut self, name: &str) -> CoordinationOutcome {
        let last = self.last_numbers.get(name).copied();
        let has_room =
            last.is_some() || (are_within_limit(&[name]) && self.last_numbers.len() < MAX_COUNTERS);
        let Some(value) = last.unwrap_or(0).checked_add(1).filter(|_| has_room) else {
            return CoordinationOutcome::LimitReached;
        };
        match self.last_numbers.get_mut(name) {
            Some(last) => *last = value,
            None => drop(self.last_numbers.insert(name.to_owned(), value)),
        }
        CoordinationOutcome::Number { value }
    }

    /// The counters in the order of their names, with the last number of each.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&str, u64)> {
        self.last_numbers.iter().map(|(name, last)| (name.as_str(), *last))
    }
}
