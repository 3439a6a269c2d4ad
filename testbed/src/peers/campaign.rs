//! Many seeds of one fleet scenario in simulated time, on all cores.
use super::check::{Verdict, check};
use super::history::Event;
use super::sim::{Cost, Simulation, simulate};
use crate::scenario::Scenario;
use serde::{Deserialize, Serialize};
use std::ops::Range;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::watch;

/// Ways to break the simulated senders on purpose: each checker is to be seen to catch one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, clap::ValueEnum)]
#[serde(rename_all = "snake_case")]
pub enum Break {
    /// One that does not answer at once is lost at once: V2.
    NoSuspicion,
    /// Those that do not answer are removed from the roster: V3.
    RemovalBySilence,
    /// A start is not counted: V4.
    IncarnationLost,
    /// A voter answers before its disk has it.
    TellsBeforeDisk,
}

/// The outcome of a seed.
#[derive(Clone, Debug)]
pub struct Seed {
    /// The seed.
    pub seed: u64,
    /// What the checker says.
    pub verdict: Verdict,
    /// What it cost.
    pub cost: Cost,
}

/// Runs one seed.
pub fn one(scenario: &Scenario, seed: u64, how: Option<Break>) -> Option<(Vec<Event>, Seed)> {
    let peers = scenario.peers.as_ref()?;
    let (history, cost) = simulate(&Simulation {
        name: &scenario.name,
        peers,
        senders: scenario.fleet.senders,
        seconds: scenario.seconds,
        seed,
        how,
        full_scenario: serde_json::to_value(scenario).unwrap_or_default(),
    });
    let verdict = check(&history);
    Some((history, Seed { seed, verdict, cost }))
}

/// Runs seeds until all are run or it is stopped, on as many threads as there are cores; in the order of the seeds.
pub fn many(
    scenario: &Scenario,
    seeds: Range<u64>,
    how: Option<Break>,
    stop: &watch::Receiver<u32>,
    each: impl Fn(&Seed) + Sync,
) -> Vec<Seed> {
    let next = AtomicU64::new(seeds.start);
    let results = Mutex::new(Vec::new());
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end || *stop.borrow() > 0 {
                        return;
                    }
                    let Some((_, seed)) = one(scenario, seed, how) else { return };
                    each(&seed);
                    results.lock().unwrap_or_else(PoisonError::into_inner).push(seed);
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.sort_by_key(|seed| seed.seed);
    results
}
