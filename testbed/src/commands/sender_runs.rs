//! Runs of the message sender on processes or in simulated time, with their figures and reports.

use crate::cli::RunOptions;
use crate::error::TestbedError;
use std::path::{Path, PathBuf};
use std::time::Instant;
use testbed::experiment::{comparison, order};
use testbed::fleet::{Program, built_sender};
use testbed::peers::real::Promises;
use testbed::report::html;
use testbed::run::{RunResult, run_scenario};
use testbed::scenario::{MAX_PROCESSES, Scenario, Variant};
use testbed::sim::simulate;
use testbed::table::table;
use tokio::sync::watch;

/// The scenario of a file, as the command line changes it.
pub(crate) fn selected_scenario(options: &RunOptions) -> Result<Scenario, TestbedError> {
    let mut scenario = Scenario::read(&options.file)?;
    if let Some(name) = &options.variant {
        scenario.variants.retain(|variant| variant.name == *name);
        if scenario.variants.is_empty() {
            return Err(TestbedError::NoVariant(name.clone()));
        }
    }
    if let Some(senders) = options.senders {
        scenario = scenario.with_senders(senders)?;
    }
    Ok(scenario)
}

pub(crate) fn variants(scenario: &Scenario) -> Vec<Variant> {
    if scenario.variants.is_empty() {
        return vec![Variant { name: "sender".to_owned(), ..Variant::default() }];
    }
    scenario.variants.clone()
}

fn variants_of(results: &[RunResult]) -> Vec<Variant> {
    let mut variants: Vec<Variant> = Vec::new();
    for result in results {
        if !variants.iter().any(|v| v.name == result.variant) {
            variants.push(Variant { name: result.variant.clone(), ..Variant::default() });
        }
    }
    variants
}

pub(crate) async fn run_all(
    mut scenario: Scenario,
    sender: Option<PathBuf>,
    seed: Option<u64>,
    out: Option<PathBuf>,
    brief: bool,
    stop: watch::Receiver<u32>,
) -> Result<bool, TestbedError> {
    if scenario.fleet.senders > MAX_PROCESSES {
        return Err(TestbedError::TooMany(scenario.fleet.senders));
    }
    if scenario.peers.as_ref().is_some_and(|peers| peers.heartbeat) {
        return Err(TestbedError::Simulated);
    }
    scenario.seeds = seed.map_or(scenario.seeds, |seed| vec![seed]);
    let variants = variants(&scenario);
    let own = match sender {
        Some(path) => path,
        None => built_sender()?,
    };
    let mut results = Vec::new();
    for (seed, variant) in order(&scenario.seeds, scenario.repeats, &variants) {
        let variant = &variants[variant];
        let program = match (&variant.baseline, &variant.binary) {
            (Some(baseline), _) => Program::Baseline(*baseline),
            (None, binary) => Program::Sender(binary.clone().unwrap_or_else(|| own.clone())),
        };
        println!("{}, {}, seed {seed}:", scenario.name, variant.name);
        let began = Instant::now();
        let folder = out.clone().unwrap_or_else(std::env::temp_dir);
        if let Some(out) = &out {
            std::fs::create_dir_all(out).map_err(|source| TestbedError::Out { path: out.clone(), source })?;
        }
        let name = format!("{}-{}-{seed}.jsonl", scenario.name.replace(' ', "-"), variant.name);
        let history = folder.join(name);
        let result = run_scenario(&scenario, variant, seed, &program, stop.clone(), !brief, &history).await?;
        print_run(&result, began.elapsed().as_secs_f64(), brief);
        write_run(out.as_deref(), results.len(), &result)?;
        results.push(result);
        if *stop.borrow() > 0 {
            break;
        }
    }
    finish(&scenario, out.as_deref(), results, &variants)
}

pub(crate) fn simulate_all(
    mut scenario: Scenario,
    seed: Option<u64>,
    out: Option<PathBuf>,
    stop: watch::Receiver<u32>,
) -> Result<bool, TestbedError> {
    scenario.seeds = seed.map_or(scenario.seeds, |seed| vec![seed]);
    let mut variants = variants(&scenario);
    variants.retain(|v| v.baseline.is_none() && v.binary.is_none());
    let mut results = Vec::new();
    // The same seed gives the same run here: once is enough.
    for (seed, variant) in order(&scenario.seeds, 1, &variants) {
        let variant = &variants[variant];
        println!(
            "{}, {}, seed {seed}, {} senders simulated:",
            scenario.name, variant.name, scenario.fleet.senders
        );
        let began = Instant::now();
        let (result, cost) = simulate(&scenario, variant, seed)?;
        let seconds = began.elapsed().as_secs_f64();
        print_run(&result, seconds, false);
        println!("{:.0} simulated seconds, {} steps of the module\n", cost.simulated_s, cost.steps);
        write_run(out.as_deref(), results.len(), &result)?;
        results.push(result);
        if *stop.borrow() > 0 {
            break;
        }
    }
    finish(&scenario, out.as_deref(), results, &variants)
}

/// The comparison and the report of all runs; whether all were clean.
fn finish(
    scenario: &Scenario,
    out: Option<&Path>,
    results: Vec<RunResult>,
    variants: &[Variant],
) -> Result<bool, TestbedError> {
    if variants.len() > 1 {
        println!("{}", comparison(&results, variants));
    }
    if let Some(folder) = out {
        write_report(folder, &scenario.name, &results, variants)?;
    }
    Ok(results.iter().all(|p| p.clean() && !p.cut_short))
}

/// Prints the outcome of the promises on the fleet.
fn print_promises(promises: &Promises) {
    for broken in &promises.verdict.broken {
        println!("{broken}");
    }
    let settled = promises.verdict.settled_ms.map_or("never".to_owned(), |ms| format!("after {ms} ms"));
    let [datagrams, bytes, streams] = promises.carried;
    println!(
        "promises on the fleet: {} broken; settled {settled}; each sender, a second: {datagrams:.1} datagrams of {bytes:.0} bytes in all, {streams:.0} bytes over connections",
        promises.verdict.broken.len()
    );
    println!("history: {}, all senders' logs beside it", promises.history.display());
}

fn print_run(result: &RunResult, seconds: f64, brief: bool) {
    if let Some(promises) = &result.promises {
        print_promises(promises);
    }
    if !brief {
        println!("\n{}", table(result));
    }
    let conclusion = if result.clean() { "all rules kept" } else { "NOT clean" };
    println!("{conclusion}, service {:.3}; {seconds:.0} s in all", result.verdict.value.result);
}

/// Stores a run's figures as soon as it has ended: what follows may be cut short.
fn write_run(out: Option<&Path>, number: usize, result: &RunResult) -> Result<(), TestbedError> {
    let Some(folder) = out else { return Ok(()) };
    let path = folder.join(format!("play-{number:03}.json"));
    let error = |source| TestbedError::Out { path: path.clone(), source };
    std::fs::create_dir_all(folder).map_err(error)?;
    let text = serde_json::to_vec(result).map_err(|e| error(e.into()))?;
    std::fs::write(&path, text).map_err(error)
}

/// The runs that a folder holds, in their order.
fn read_runs(folder: &Path) -> Result<Vec<RunResult>, TestbedError> {
    let error = |source| TestbedError::Out { path: folder.to_owned(), source };
    let mut paths = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(error)? {
        let path = entry.map_err(error)?.path();
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
        if name.starts_with("play-") && name.ends_with(".json") {
            paths.push(path);
        }
    }
    paths.sort();
    let read = |path: PathBuf| {
        let text = std::fs::read(&path).map_err(|source| TestbedError::Out { path: path.clone(), source })?;
        serde_json::from_slice(&text).map_err(|source| TestbedError::NotARun { path, source })
    };
    paths.into_iter().map(read).collect()
}

fn write_report(
    folder: &Path,
    title: &str,
    results: &[RunResult],
    variants: &[Variant],
) -> Result<(), TestbedError> {
    let page = html(title, results, variants)?;
    let path = folder.join("report.html");
    std::fs::create_dir_all(folder)
        .and_then(|()| std::fs::write(&path, page))
        .map_err(|source| TestbedError::Out { path: path.clone(), source })?;
    println!("report: {}", path.display());
    Ok(())
}

/// Writes the report of a folder's runs anew.
pub(crate) fn report(folder: &Path) -> Result<bool, TestbedError> {
    let results = read_runs(folder)?;
    let (title, variants) = (results.first().map_or("", |p| &p.scenario).to_owned(), variants_of(&results));
    write_report(folder, &title, &results, &variants)?;
    Ok(true)
}
