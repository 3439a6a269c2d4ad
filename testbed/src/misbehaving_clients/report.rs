//! What crowds were told and what endpoints ran: a refusal promises that the request has not run and never will.
use std::collections::{BTreeMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Statuses that promise that a request has not run and never will.
const PROMISES_NOT_RUN: [u16; 6] = [402, 408, 413, 421, 429, 503];

/// What was seen so far.
#[derive(Debug, Default)]
struct Seen {
    run: HashSet<String>,
    refused: HashSet<String>,
    statuses: BTreeMap<u16, usize>,
    closed: usize,
}

/// Requests that endpoints ran and answers that clients got.
#[derive(Debug, Default)]
pub struct Report {
    seen: Mutex<Seen>,
}

impl Report {
    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An endpoint runs the request with this id.
    pub fn ran(&self, attempt: &str) {
        self.seen().run.insert(attempt.to_owned());
    }

    /// A client got this status for the request with this id.
    pub fn answered(&self, attempt: &str, status: u16) {
        let mut seen = self.seen();
        *seen.statuses.entry(status).or_default() += 1;
        if PROMISES_NOT_RUN.contains(&status) {
            seen.refused.insert(attempt.to_owned());
        }
    }

    /// A client's connection ended without an answer.
    pub fn closed(&self) {
        self.seen().closed += 1;
    }

    /// Requests that were refused and ran all the same.
    pub fn broken_promises(&self) -> Vec<String> {
        let seen = self.seen();
        seen.run.intersection(&seen.refused).cloned().collect()
    }

    /// Answers by status, and connections that ended without one.
    pub fn summary(&self) -> String {
        let seen = self.seen();
        format!("answers {:?}, closed without an answer {}", seen.statuses, seen.closed)
    }
}
