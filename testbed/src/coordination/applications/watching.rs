//! Watchers, which resume from the revision of their last answer.

use super::super::history::{Answer, Request};
use super::{Caller, RESEND_INTERVAL};
use rand::RngExt;
use std::collections::{HashMap, VecDeque};
use std::ops::Range;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// The longest time until an answer, in milliseconds.
const WAIT_MS: Range<u64> = 200..2_000;
/// How far a watcher goes back when it resumes at the end.
const RESUME_AGE: Duration = Duration::from_secs(8);

/// The revisions that watchers were lately given, by watcher.
#[derive(Default)]
pub struct SavedRevision {
    revisions: Mutex<HashMap<u32, VecDeque<(Instant, u64)>>>,
}

impl SavedRevision {
    fn save(&self, watcher: u32, revision: u64) {
        let mut revisions = self.revisions.lock().unwrap_or_else(PoisonError::into_inner);
        let revisions = revisions.entry(watcher).or_default();
        revisions.retain(|(given, _)| given.elapsed() < RESUME_AGE);
        revisions.push_back((Instant::now(), revision));
    }

    /// The revision from which a watcher resumes at the end; 0 if it was given none lately.
    pub fn resume_from(&self, watcher: u32) -> u64 {
        let revisions = self.revisions.lock().unwrap_or_else(PoisonError::into_inner);
        let oldest = |revisions: &VecDeque<(Instant, u64)>| {
            revisions
                .iter()
                .find(|(given, _)| given.elapsed() < RESUME_AGE * 2)
                .map(|(_, revision)| *revision)
        };
        revisions.get(&watcher).and_then(oldest).unwrap_or_default()
    }
}

/// Watches a group from its present revision on.
pub(super) async fn watch(mut caller: Caller, group: String, saved: std::sync::Arc<SavedRevision>) {
    let mut after = 0;
    loop {
        let wait_ms = caller.rng.random_range(WAIT_MS);
        match caller.client.call(Request::Watch { group: group.clone(), after, wait_ms }).await {
            Answer::Events { revision, .. } => {
                after = revision;
                saved.save(caller.number, revision);
                // A group without any put answers at once.
                if revision == 0 {
                    sleep(RESEND_INTERVAL).await;
                }
            }
            Answer::Gone => after = 0,
            _ => sleep(RESEND_INTERVAL).await,
        }
    }
}
