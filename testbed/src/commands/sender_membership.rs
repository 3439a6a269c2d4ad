//! Simulated fleets of senders: campaigns over seeds, the check of a history, and the search for its smallest schedule.

use super::{quantile, sender_runs::variants};
use crate::error::TestbedError;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;
use testbed::fleet::{Program, built_sender};
use testbed::peers::campaign::{self, Break};
use testbed::peers::check;
use testbed::peers::history::{self, What};
use testbed::peers::schedule::Fault;
use testbed::peers::shrink::smallest;
use testbed::peers::sim::Cost;
use testbed::run::run_scenario;
use testbed::scenario::Scenario;
use tokio::sync::watch;

pub(crate) fn simulate_fleet(
    scenario: &Scenario,
    seeds: std::ops::Range<u64>,
    how: Option<Break>,
    history: Option<PathBuf>,
    stop: watch::Receiver<u32>,
) -> Result<bool, TestbedError> {
    let began = Instant::now();
    let count = AtomicU64::new(0);
    let results = campaign::many(scenario, seeds, how, &stop, |seed| {
        for broken in &seed.verdict.broken {
            println!("seed {}: {broken}", seed.seed);
        }
        let count = count.fetch_add(1, Ordering::Relaxed) + 1;
        if count.is_multiple_of(2_000) {
            println!("{count} seeds after {:.0} s", began.elapsed().as_secs_f64());
        }
    });
    let seconds = began.elapsed().as_secs_f64();
    let failed: Vec<u64> =
        results.iter().filter(|seed| !seed.verdict.broken.is_empty()).map(|seed| seed.seed).collect();
    let mut settled: Vec<u64> = results.iter().filter_map(|seed| seed.verdict.settled_ms).collect();
    settled.sort_unstable();
    let sum = |of: fn(&Cost) -> u64| results.iter().map(|seed| of(&seed.cost)).sum::<u64>();
    let sender_s = (sum(|c| c.simulated_ms) as f64 / 1e3 * scenario.fleet.senders as f64).max(1.0);
    println!(
        "{}: {} seeds of {} senders in {seconds:.1} s; {} broke a promise",
        scenario.name,
        results.len(),
        scenario.fleet.senders,
        failed.len()
    );
    println!(
        "settled after the last fault, ms: median {}, 99th percentile {}, worst {}",
        quantile(&settled, 0.5),
        quantile(&settled, 0.99),
        quantile(&settled, 1.0)
    );
    println!(
        "each sender, a second: {:.1} datagrams, {:.2} frames, {:.0} bytes",
        sum(|c| c.datagrams) as f64 / sender_s,
        sum(|c| c.frames) as f64 / sender_s,
        sum(|c| c.bytes) as f64 / sender_s
    );
    if let Some(path) = history
        && let Some(seed) = failed.first().copied().or_else(|| results.first().map(|seed| seed.seed))
        && let Some((events, _)) = campaign::one(scenario, seed, how)
    {
        history::write(&path, &events)?;
        println!("history of seed {seed}: {}", path.display());
    }
    Ok(failed.is_empty() && !results.is_empty())
}

/// How often a schedule is run on processes before it counts as one that breaks nothing.
const MAX_PROCESS_RUNS: usize = 2;

pub(crate) async fn shrink(
    history: &Path,
    sender: Option<PathBuf>,
    out: Option<PathBuf>,
    stop: watch::Receiver<u32>,
) -> Result<bool, TestbedError> {
    let events = history::read(history)?;
    let first = events.first().map(|event| &event.what);
    let Some(What::RunStarted { seed, faults, simulated, broken, full_scenario, .. }) = first else {
        return Err(TestbedError::NoHistory(history.to_owned()));
    };
    let (seed, simulated, broken) = (*seed, *simulated, *broken);
    let mut scenario: Scenario = serde_json::from_value(full_scenario.clone())
        .map_err(|source| TestbedError::NotARun { path: history.to_owned(), source })?;
    let Some(promise) = check::check(&events).broken.first().map(|broken| broken.promise.clone()) else {
        println!("no promise is broken in this history: there is nothing to shrink");
        return Ok(false);
    };
    let program = match sender {
        _ if simulated => None,
        Some(path) => Some(Program::Sender(path)),
        None => Some(Program::Sender(built_sender()?)),
    };
    let variant = variants(&scenario).swap_remove(0);
    let again = std::env::temp_dir().join(format!("shrink-{}.jsonl", std::process::id()));
    println!("{promise} broken by {} faults, seed {seed}", faults.len());
    let with = |faults: &[Fault]| {
        let mut fewer = scenario.clone();
        if let Some(peers) = &mut fewer.peers {
            (peers.faults, peers.chaos) = (faults.to_vec(), None);
        }
        fewer
    };
    let mut fault = None;
    let left = smallest(faults.clone(), async |faults: &[Fault]| {
        let fewer = with(faults);
        let mut breaks = false;
        for _ in 0..if simulated { 1 } else { MAX_PROCESS_RUNS } {
            if breaks || *stop.borrow() > 0 || fault.is_some() {
                break;
            }
            let verdict = match &program {
                None => campaign::one(&fewer, seed, broken).map(|(_, seed)| seed.verdict),
                Some(program) => {
                    match run_scenario(&fewer, &variant, seed, program, stop.clone(), false, &again).await {
                        Ok(result) => result.promises.map(|promises| promises.verdict),
                        Err(e) => {
                            fault = Some(e);
                            None
                        }
                    }
                }
            };
            breaks = verdict.is_some_and(|verdict| verdict.broken.iter().any(|b| b.promise == promise));
        }
        println!("  {} faults: {}", faults.len(), if breaks { "still broken" } else { "kept" });
        breaks
    })
    .await;
    if let Some(e) = fault {
        return Err(e.into());
    }
    println!("left: {} faults", left.len());
    left.iter().for_each(|fault| println!("  {fault}"));
    scenario = with(&left);
    scenario.seeds = vec![seed];
    let path = out.unwrap_or_else(|| history.with_extension("shrunk.toml"));
    let text = toml::to_string(&scenario).map_err(TestbedError::Unwritable)?;
    std::fs::write(&path, text).map_err(|source| TestbedError::Out { path: path.clone(), source })?;
    println!("scenario: {}", path.display());
    Ok(true)
}

/// Checks the promises of a fleet's view on a history.
pub(crate) fn check(history: &Path) -> Result<bool, TestbedError> {
    let verdict = check::check(&history::read(history)?);
    verdict.broken.iter().for_each(|broken| println!("{broken}"));
    let settled = verdict.settled_ms.map_or("never".to_owned(), |ms| format!("after {ms} ms"));
    println!("{} events, settled {settled}, {} promises broken", verdict.events, verdict.broken.len());
    Ok(verdict.broken.is_empty())
}
