//! Soaks of the coordination service on real processes.

use super::write;
use crate::cli::SoakOptions;
use crate::error::TestbedError;
use std::time::Duration;
use testbed::coordination::plan::Plan;
use testbed::coordination::run::{RunResult, run};
use testbed::coordination::summary::table;
use testbed::serving_tier::machines::built_programs;
use tokio::sync::watch;

/// Breaches that are printed.
const MAX_REPORTED_BREACHES: usize = 20;
/// Microseconds in a second.
const US_PER_S: f64 = 1e6;

/// Runs a soak; returns whether every rule was kept.
pub(crate) async fn soak(options: SoakOptions, stop: watch::Receiver<u32>) -> Result<bool, TestbedError> {
    let SoakOptions { seed, seconds, processes, programs, calm, history } = options;
    let programs = programs.map_or_else(built_programs, Ok)?;
    println!("soak, seed {seed}, {processes} control nodes, {seconds} s:");
    let plan = Plan { is_verbose: true, ..Plan::soak(seed, Duration::from_secs_f64(seconds), processes) };
    let plan = Plan { has_faults: !calm, ..plan };
    let result = run(plan, &programs, stop).await?;
    print(&result);
    if let Some(path) = history {
        let text = serde_json::to_string(&result.history)
            .map_err(|source| TestbedError::NotARun { path: path.clone(), source })?;
        write(&path, text)?;
    }
    Ok(result.is_good())
}

fn print(result: &RunResult) {
    println!("\n{}", table(&result.history));
    let (acknowledged, sent) = result.configurations;
    println!("{} faults, {acknowledged} of {sent} configurations acknowledged", result.faults);
    for breach in result.breaches.iter().take(MAX_REPORTED_BREACHES) {
        println!(
            "RULE BROKEN: {:?} at {:.3} s: {}",
            breach.rule,
            breach.at_us as f64 / US_PER_S,
            breach.what
        );
    }
    if result.breaches.len() > MAX_REPORTED_BREACHES {
        println!("and {} more", result.breaches.len() - MAX_REPORTED_BREACHES);
    }
    for crash in &result.crashes {
        println!("PROCESS ENDED: {crash}");
    }
    let verdict = match (result.is_good(), result.is_cut_short) {
        (true, _) => "all rules kept",
        (false, true) => "cut short",
        (false, false) => "NOT clean",
    };
    if !result.is_good() {
        println!("{}", result.logs);
    }
    println!("{verdict}");
}
