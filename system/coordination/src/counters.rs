//! Named counters: each issues the numbers from 1 upwards, each number once.

use crate::limits::{MAX_COUNTERS, fit_text_limit};
use fleet_model::CoordinationOutcome;
use std::collections::BTreeMap;

/// All counters. A counter exists once it has issued a number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Counters {
    last_issued: BTreeMap<String, u64>,
}

impl Counters {
    /// Restores the counters from the last number that each has issued.
    pub(crate) fn restore(last_issued: BTreeMap<String, u64>) -> Self {
        Self { last_issued }
    }

    /// Issues the next number of a counter; creates the counter if the limits allow it.
    pub(crate) fn next(&mut self, name: &str) -> CoordinationOutcome {
        let last = self.last_issued.get(name).copied();
        let is_within_limits =
            last.is_some() || (fit_text_limit(&[name]) && self.last_issued.len() < MAX_COUNTERS);
        let Some(value) = last.unwrap_or(0).checked_add(1).filter(|_| is_within_limits) else {
            return CoordinationOutcome::LimitReached;
        };
        match self.last_issued.get_mut(name) {
            Some(last) => *last = value,
            None => drop(self.last_issued.insert(name.to_owned(), value)),
        }
        CoordinationOutcome::Number { value }
    }

    /// The counters in order of name, each with the last number that it issued.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&str, u64)> {
        self.last_issued.iter().map(|(name, last)| (name.as_str(), *last))
    }
}
