//! Applications of the coordination service on real control nodes on loopback.

use std::time::Duration;
use testbed::coordination::plan::Plan;
use testbed::coordination::run::{RunResult, run};
use testbed::coordination::summary::{answers, table};
use testbed::serving_tier::machines::built_programs;
use tokio::sync::{Mutex, watch};

/// The share of calls of each kind that have a clear answer while nothing fails.
const MIN_CLEAR_SHARE: f64 = 0.9;
/// The seed of the soak.
const SOAK_SEED: u64 = 1;

/// Runs share their machine's processors: one at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

async fn played(plan: Plan) -> RunResult {
    let _one = ONE_AT_A_TIME.lock().await;
    let programs = built_programs().expect("programs that can be built");
    let (_stop, stopped) = watch::channel(0);
    run(plan, &programs, stopped).await.expect("a run that can be begun")
}

#[tokio::test(flavor = "multi_thread")]
async fn applications_get_answers_from_the_coordination_service() {
    let result = played(Plan::new(1, Duration::from_secs(8))).await;
    let table = table(&result.history);
    for kind in ["acquire", "release", "number", "put", "get", "watch"] {
        let answers = answers(&result.history).remove(kind).unwrap_or_default();
        assert!(answers.clear_share() >= MIN_CLEAR_SHARE, "{kind}:\n{table}");
    }
    assert!(result.is_good(), "{:?} {:?}\n{table}", result.breaches, result.crashes);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_soak_with_faults_keeps_the_rules_of_locks_numbers_and_keys() {
    let result = played(Plan::soak(SOAK_SEED, Duration::from_secs(40), 5)).await;
    assert!(result.is_good(), "{:?} {:?}\n{}", result.breaches, result.crashes, table(&result.history));
}
