//! The lab's commands.
use clap::{Parser, Subcommand};
use micadrum_lab::fleet::{FleetError, Program, built_sender};
use micadrum_lab::play::{Played, play};
use micadrum_lab::scenario::{ParseError, Scenario, ScenarioError, Variant};
use micadrum_lab::table::table;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Plays the real sender against stand-in partners, directory and clients on loopback, and judges what it does.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays some hundred messages through one partner outage; half a minute.
    Demo {
        /// The sender's program; without it, that of this project is built and used.
        #[arg(long)]
        sender: Option<PathBuf>,
        /// Draws other messages and other chances.
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Plays a scenario, each seed with each variant.
    Run {
        /// The scenario, in TOML.
        file: PathBuf,
        /// The sender's program, for variants that name none.
        #[arg(long)]
        sender: Option<PathBuf>,
        /// Plays this seed only.
        #[arg(long)]
        seed: Option<u64>,
    },
}

#[derive(Debug, thiserror::Error)]
enum LabError {
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    #[error("the lab's own scenario: {0}")]
    Own(#[from] ParseError),
    #[error(transparent)]
    Fleet(#[from] FleetError),
    #[error("starting: {0}")]
    Start(#[from] std::io::Error),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let done = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(LabError::from)
        .and_then(|runtime| runtime.block_on(command(cli.command)));
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("micadrum-lab: {e}");
            ExitCode::from(2)
        }
    }
}

/// Whether all plays were clean.
async fn command(command: Command) -> Result<bool, LabError> {
    let stop = interrupts();
    let mut twice = stop.clone();
    let (mut scenario, sender, seed) = match command {
        Command::Demo { sender, seed } => {
            (Scenario::parse(include_str!("../scenarios/demo.toml"))?, sender, seed)
        }
        Command::Run { file, sender, seed } => (Scenario::read(&file)?, sender, seed),
    };
    if let Some(seed) = seed {
        scenario.seeds = vec![seed];
    }
    tokio::select! {
        done = run(&scenario, sender, stop) => done,
        // The runtime is dropped then, and with it each sender's process is killed.
        _ = twice.wait_for(|count| *count > 1) => Ok(false),
    }
}

/// Counts interrupts: the first ends a play early, with a report, the second ends the lab at once.
fn interrupts() -> watch::Receiver<u32> {
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
            eprintln!("micadrum-lab: ending (once more to end at once)");
        }
    });
    counted
}

async fn run(
    scenario: &Scenario,
    sender: Option<PathBuf>,
    stop: watch::Receiver<u32>,
) -> Result<bool, LabError> {
    let mut variants = scenario.variants.clone();
    if variants.is_empty() {
        variants.push(Variant { name: "sender".to_owned(), ..Variant::default() });
    }
    let own = match sender {
        Some(path) => path,
        None => built_sender()?,
    };
    let mut clean = true;
    for seed in &scenario.seeds {
        for variant in &variants {
            let program = match (&variant.baseline, &variant.binary) {
                (Some(baseline), _) => Program::Baseline(*baseline),
                (None, binary) => Program::Sender(binary.clone().unwrap_or_else(|| own.clone())),
            };
            println!("{}, {}, seed {seed}:", scenario.name, variant.name);
            let began = Instant::now();
            let played = play(scenario, variant, *seed, &program, stop.clone(), true).await?;
            tell(&played, began.elapsed().as_secs_f64());
            clean &= played.clean() && !played.cut_short;
            if played.cut_short {
                return Ok(false);
            }
        }
    }
    Ok(clean)
}

fn tell(played: &Played, seconds: f64) {
    println!("\n{}", table(played));
    let word = if played.clean() { "all rules kept" } else { "NOT clean" };
    println!("{word}; {seconds:.0} s in all");
}
