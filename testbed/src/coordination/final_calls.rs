//! The calls at the end of a run, which read back what was acknowledged.

use super::client::{Client, Shared};
use super::history::{Answer, FinalTargets, Request};
use super::plan::{Applications, HOLD_MS};
use crate::coordination::applications::SavedRevision;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout_at};

/// For how long every call is repeated.
pub const FINAL_TIME: Duration = Duration::from_secs(3);
/// Pause between two calls of one task.
const PAUSE: Duration = Duration::from_millis(10);
/// Tasks that share the keys.
const KEY_READERS: usize = 4;
/// The longest time until a watch's answer, in milliseconds.
const WAIT_MS: u64 = 300;

/// Asks for all targets, each until it is answered and all for [`FINAL_TIME`].
pub async fn read_back(shared: &Arc<Shared>, applications: &Applications, saved: &SavedRevision) {
    shared.is_final.store(true, Ordering::Relaxed);
    let targets = applications.final_targets();
    let until = Instant::now() + FINAL_TIME;
    let mut tasks = JoinSet::new();
    for (caller, requests) in (applications.callers()..).zip(fixed_requests(&targets)) {
        tasks.spawn(repeat(Client::new(shared.clone(), caller), requests, until));
    }
    let [.., first_watcher] = applications.first_numbers();
    for watcher in 0..applications.watchers {
        let (group, number) = (applications.watched_group(watcher), first_watcher + watcher);
        let after = saved.resume_from(number);
        tasks.spawn(resume(Client::new(shared.clone(), number), group, after, until));
    }
    while tasks.join_next().await.is_some() {}
}

/// The requests other than watches, for one task each.
fn fixed_requests(targets: &FinalTargets) -> Vec<Vec<Request>> {
    let lock = |lock: &String| Request::Acquire {
        lock: lock.clone(),
        holder: format!("end.{lock}"),
        hold_ms: HOLD_MS,
    };
    let number = |name: &String| Request::Number { name: name.clone() };
    let key = |key: &String| Request::Get { key: key.clone() };
    let mut requests =
        vec![targets.locks.iter().map(lock).collect(), targets.numbers.iter().map(number).collect()];
    let keys_per_reader = targets.keys.len().div_ceil(KEY_READERS).max(1);
    requests.extend(targets.keys.chunks(keys_per_reader).map(|keys| keys.iter().map(key).collect()));
    requests
}

/// Sends the requests in turn; one that was not answered comes again before the next round.
async fn repeat(mut client: Client, requests: Vec<Request>, until: Instant) {
    while Instant::now() < until {
        for request in &requests {
            while timeout_at(until, client.call(request.clone())).await.is_ok_and(|answer| !answer.is_clear())
            {
                sleep(PAUSE).await;
            }
            if Instant::now() >= until {
                return;
            }
        }
        sleep(PAUSE).await;
    }
}

/// Resumes a watch from a saved revision.
async fn resume(mut client: Client, group: String, mut after: u64, until: Instant) {
    while Instant::now() < until {
        let request = Request::Watch { group: group.clone(), after, wait_ms: WAIT_MS };
        match timeout_at(until, client.call(request)).await {
            Ok(Answer::Events { revision, .. }) => after = revision,
            Ok(Answer::Gone) => after = 0,
            _ => {}
        }
        sleep(PAUSE).await;
    }
}
