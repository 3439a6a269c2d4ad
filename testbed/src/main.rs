//! The test bed's command line: runs, simulations, checks and reports.

mod cli;
mod commands;
mod error;

use clap::Parser;
use cli::{Cli, Command, SystemSimulation};
use commands::{
    coordination, misbehaving_clients, sender_membership, sender_runs, serving_tier, system_simulation,
};
use error::TestbedError;
use std::process::ExitCode;
use testbed::baseline;
use testbed::scenario::Scenario;
use testbed::serving_tier::machines::Older;
use testbed::serving_tier::run::{Faults, Plan, TierSize};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

fn main() -> ExitCode {
    let cli = Cli::parse();
    let done = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(TestbedError::from)
        .and_then(|runtime| runtime.block_on(run_until_interrupted(cli.command)));
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("testbed: {e}");
            ExitCode::from(2)
        }
    }
}

/// Carries out a command; returns whether every run kept every rule. A second interrupt ends it at once.
async fn run_until_interrupted(command: Command) -> Result<bool, TestbedError> {
    let interrupts = count_interrupts();
    let mut second = interrupts.clone();
    tokio::select! {
        done = run(command, interrupts) => done,
        // The runtime is dropped then, and with it each sender's process is killed.
        _ = second.wait_for(|count| *count > 1) => Ok(false),
    }
}

async fn run(command: Command, stop: watch::Receiver<u32>) -> Result<bool, TestbedError> {
    match command {
        Command::Demo { sender, seed } => {
            let scenario = Scenario::parse(include_str!("../scenarios/demo.toml"))?;
            sender_runs::run_all(scenario, sender, seed, None, false, stop).await
        }
        Command::Tier { programs, older, older_first, seed, seconds, soak, load, core, storage, edge } => {
            let older = older.map(|programs| Older { programs, is_first: older_first });
            let size = TierSize { core, storage, edge };
            let faults = soak.map_or(Faults::OneOfEach, Faults::Soak);
            let plan =
                Plan { older, size, faults, load: load.into(), ..serving_tier::base_plan(seed, seconds) };
            serving_tier::run(programs, plan, stop).await
        }
        Command::Misbehave(options) => misbehaving_clients::run(options, stop).await,
        Command::Soak(options) => coordination::soak(options, stop).await,
        Command::Run(options) => {
            let scenario = Scenario { repeats: 1, ..sender_runs::selected_scenario(&options)? };
            sender_runs::run_all(scenario, options.sender, options.seed, options.out, false, stop).await
        }
        Command::Compare(options) => {
            let scenario = sender_runs::selected_scenario(&options)?;
            sender_runs::run_all(scenario, options.sender, options.seed, options.out, true, stop).await
        }
        Command::Sim { file, senders, seed, out } => {
            let mut scenario = Scenario::read(&file)?;
            scenario.fleet.senders = senders.unwrap_or(scenario.fleet.senders);
            sender_runs::simulate_all(scenario, seed, out, stop)
        }
        Command::SimFleet { file, seeds, senders, r#break, heartbeat, history } => {
            let mut scenario = Scenario::read(&file)?;
            if let Some(senders) = senders {
                scenario = scenario.with_senders(senders)?;
            }
            let Some(peers) = &mut scenario.peers else { return Err(TestbedError::NoPeers(file)) };
            peers.heartbeat |= heartbeat;
            sender_membership::simulate_fleet(&scenario, seeds, r#break, history, stop)
        }
        Command::SimSystem(options) => simulate_system(options, &stop).await,
        Command::Check { history } => sender_membership::check(&history),
        Command::Shrink { history, sender, out } => {
            sender_membership::shrink(&history, sender, out, stop).await
        }
        Command::Report { folder } => sender_runs::report(&folder),
        Command::BaselineSender { how } => {
            baseline::run(how).await.map(|()| true).map_err(TestbedError::from)
        }
    }
}

async fn simulate_system(
    options: SystemSimulation,
    stop: &watch::Receiver<u32>,
) -> Result<bool, TestbedError> {
    let SystemSimulation { schedules, seed, r#break, mutations, scenario, replay, out, history } = options;
    let stops = || *stop.borrow() > 0;
    match (replay, mutations, scenario) {
        (Some(path), _, _) => system_simulation::replay_system(&path, r#break, history.as_deref()),
        (None, Some(_), Some(scenario)) => {
            system_simulation::mutate_scenario(scenario);
            Ok(true)
        }
        (None, None, Some(scenario)) => {
            system_simulation::run_scenario(scenario, r#break, &out, history.as_deref(), stops)
        }
        (None, Some(seconds), None) => {
            system_simulation::mutate_system(schedules, seed, seconds, stops);
            Ok(true)
        }
        (None, None, None) => {
            system_simulation::simulate_system(schedules, seed, r#break, &out, history.as_deref(), stops)
                .await
        }
    }
}

/// Counts interrupts: the first ends a run early, with a report, the second ends the program at once.
fn count_interrupts() -> watch::Receiver<u32> {
    let (count, counted) = watch::channel(0);
    tokio::spawn(async move {
        let mut terminate = signal(SignalKind::terminate()).ok();
        loop {
            let terminated = async {
                match terminate.as_mut() {
                    Some(terminate) => terminate.recv().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                _ = tokio::signal::ctrl_c() => {}
                _ = terminated => {}
            }
            count.send_modify(|count| *count += 1);
            eprintln!("testbed: ending (once more to end at once)");
        }
    });
    counted
}
