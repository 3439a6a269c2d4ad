//! The applications: callers of locks, numbers and keys, and watchers, each with a client of its own.

mod data;
mod locks;
mod watching;

use super::client::{Client, Shared};
use super::plan::Applications;
use crate::serving_tier::endpoints::mixed;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

pub use watching::SavedRevision;

/// How long the same request is sent again while it has no clear answer.
const RESEND_TIME: Duration = Duration::from_secs(4);
/// Pause before a request is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(30);

/// What each application has of its own.
struct Caller {
    number: u32,
    client: Client,
    rng: ChaCha8Rng,
    applications: Applications,
}

/// Starts all applications; each runs until it is cancelled. Watchers save their revisions in `saved`.
pub fn start(
    applications: &Applications,
    seed: u64,
    shared: &Arc<Shared>,
    saved: &Arc<SavedRevision>,
) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    let caller = |number: u32| Caller {
        number,
        client: Client::new(shared.clone(), number),
        rng: ChaCha8Rng::seed_from_u64(mixed(seed) ^ u64::from(number)),
        applications: applications.clone(),
    };
    let [lock_callers, candidates, data_callers, watchers] = applications.first_numbers();
    for number in lock_callers..candidates {
        tasks.spawn(locks::hold_for_moments(caller(number)));
    }
    for number in candidates..data_callers {
        let election = (number - candidates) % applications.elections;
        tasks.spawn(locks::stand_for_election(caller(number), election));
    }
    for number in data_callers..watchers {
        tasks.spawn(data::call(caller(number)));
    }
    for number in watchers..applications.callers() {
        let group = applications.watched_group(number - watchers);
        tasks.spawn(watching::watch(caller(number), group, saved.clone()));
    }
    tasks
}
