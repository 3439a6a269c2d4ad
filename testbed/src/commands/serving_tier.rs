//! A run of the whole serving tier on loopback.

use crate::error::TestbedError;
use std::path::PathBuf;
use testbed::serving_tier::load::Load;
use testbed::serving_tier::machines::built_programs;
use testbed::serving_tier::run::{Faults, Plan, TierSize, run_tier};
use testbed::serving_tier::table::table;
use tokio::sync::watch;

/// How long requests may take after the last fault, in seconds.
const GRACE_S: f64 = 6.0;

/// Time from SIGTERM to SIGKILL and verbosity are those of every run by hand; the rest is left to the caller.
pub(crate) fn base_plan(seed: u64, seconds: f64) -> Plan {
    Plan {
        seconds,
        seed,
        grace_s: GRACE_S,
        verbose: true,
        older: None,
        size: TierSize::default(),
        faults: Faults::default(),
        load: Load::LIGHT,
    }
}

/// Runs the tier of these programs, or of those of this project; returns whether every rule was kept.
pub(crate) async fn run(
    programs: Option<PathBuf>,
    plan: Plan,
    stop: watch::Receiver<u32>,
) -> Result<bool, TestbedError> {
    let programs = programs.map_or_else(built_programs, Ok)?;
    println!("tier, seed {}:", plan.seed);
    if let Some(older) = &plan.older {
        let which = if older.is_first { "first" } else { "second" };
        println!("every other machine, from the {which} on, starts from {}", older.programs.display());
    }
    let result = run_tier(plan, &programs, stop).await?;
    println!("\n{}", table(&result));
    println!("{}", if result.is_good() { "all rules kept" } else { "NOT clean" });
    Ok(result.is_good())
}
