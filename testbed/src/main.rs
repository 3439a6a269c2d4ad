//! The lab's commands.
use clap::{Parser, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;
use testbed::baseline::{self, BaselineError};
use testbed::experiment::{comparison, order};
use testbed::fleet::{FleetError, Program, built_sender};
use testbed::peers::campaign::{self, Break};
use testbed::peers::check::check;
use testbed::peers::history::{self, HistoryError, What};
use testbed::peers::real::Promises;
use testbed::peers::schedule::Fault;
use testbed::peers::shrink::smallest;
use testbed::peers::sim::Cost;
use testbed::report::{ReportError, html};
use testbed::run::{Played, play};
use testbed::scenario::{Baseline, MOST_PROCESSES, ParseError, Scenario, ScenarioError, Variant};
use testbed::serving_tier;
use testbed::sim::{SimError, simulate};
use testbed::system::{self, MUTATIONS, Mutation, Schedule};
use testbed::table::table;
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
    /// Plays the whole tier on loopback, through the loss of a disk, a restart and a new configuration; half a minute.
    Tier {
        /// A folder with the tier's programs; without it, those of this project are built and used.
        #[arg(long)]
        programs: Option<PathBuf>,
        /// A folder with the tier's programs of an earlier build: every other machine starts from it, the second of each
        /// kind and so on.
        #[arg(long)]
        older: Option<PathBuf>,
        /// The earlier build is on the first machine of each kind instead, and on every other one after it.
        #[arg(long, requires = "older")]
        older_first: bool,
        /// Draws other programs and other chances.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How long programs are started and troubles come.
        #[arg(long, default_value_t = 12.0, value_parser = seconds)]
        seconds: f64,
    },
    /// Plays a scenario, each seed once with each variant.
    Run(Plays),
    /// Plays a scenario's variants in turn, as often as it says, and compares them.
    Compare(Plays),
    /// Plays the decision module alone, in simulated time.
    Sim {
        /// The scenario, in TOML.
        file: PathBuf,
        /// So many senders for those of the file.
        #[arg(long)]
        senders: Option<usize>,
        /// Plays this seed only.
        #[arg(long)]
        seed: Option<u64>,
        /// A folder for the plays' figures and the report.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Plays what goes wrong among the senders of a fleet, in simulated time and over their machines alone.
    SimFleet {
        /// The scenario, in TOML, with a part `[peers]`.
        file: PathBuf,
        /// Seeds, from the first up to the last and without it, as `0..1000`.
        #[arg(long, default_value = "0..100", value_parser = seeds)]
        seeds: std::ops::Range<u64>,
        /// So many senders for those of the file.
        #[arg(long)]
        senders: Option<usize>,
        /// A way to break the senders on purpose.
        #[arg(long, value_enum)]
        r#break: Option<Break>,
        /// A plain heartbeat from all to all in place of the fleet's machines.
        #[arg(long)]
        heartbeat: bool,
        /// A file for the history of the first seed, or of the first that breaks a promise.
        #[arg(long)]
        history: Option<PathBuf>,
    },
    /// Plays the whole system in simulated time, by schedules drawn from seeds, until one breaks a rule; that one is made as
    /// short as it can be and written down.
    SimSystem {
        /// So many schedules, each with the next seed.
        #[arg(long, default_value_t = 1_000)]
        schedules: u64,
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// A way to break the system on purpose.
        #[arg(long, value_enum)]
        r#break: Option<Mutation>,
        /// Instead: each way to break it in turn, each for so many seconds at most, and a table.
        #[arg(long)]
        mutations: Option<u64>,
        /// Instead: the cases of a named scenario, and a table of figures; with `--mutations` only the mutations that it is to
        /// catch, in its cases.
        #[arg(long, value_enum)]
        scenario: Option<system::Scenario>,
        /// Instead: plays this schedule again.
        #[arg(long)]
        replay: Option<PathBuf>,
        /// A file for the shortest schedule that breaks a rule.
        #[arg(long, default_value = "system-schedule.json")]
        out: PathBuf,
        /// A file for the history of the schedule that breaks a rule, or of the one that is played again.
        #[arg(long)]
        history: Option<PathBuf>,
    },
    /// Checks the promises of a fleet's view on a history.
    Check {
        /// The history, in JSON lines.
        history: PathBuf,
    },
    /// Plays the schedule of a history again with fewer and fewer faults, until the smallest that still breaks its promise is
    /// left, and writes that as a scenario.
    Shrink {
        /// The history of a play that broke a promise.
        history: PathBuf,
        /// The sender's program, for a play on processes; without it, that of this project is built and used.
        #[arg(long)]
        sender: Option<PathBuf>,
        /// The file for the scenario; beside the history where it is not given.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Writes the report of a folder's plays anew.
    Report {
        /// What --out named.
        folder: PathBuf,
    },
    /// A plain sender to compare with; plays start it themselves.
    #[command(hide = true)]
    BaselineSender {
        /// How it repeats.
        how: Baseline,
    },
}

/// A range of seeds.
fn seeds(text: &str) -> Result<std::ops::Range<u64>, String> {
    let parsed = text.split_once("..").and_then(|(a, b)| Some(a.parse().ok()?..b.parse().ok()?));
    parsed.filter(|range| !range.is_empty()).ok_or_else(|| format!("{text:?} is no range as 0..1000"))
}

/// Seconds of a play of the tier.
fn seconds(text: &str) -> Result<f64, String> {
    let parsed = text.parse().ok().filter(|seconds| (6.0..=600.0).contains(seconds));
    parsed.ok_or_else(|| format!("{text:?} is no number from 6 to 600"))
}

#[derive(clap::Args)]
struct Plays {
    /// The scenario, in TOML.
    file: PathBuf,
    /// The sender's program, for variants that name none.
    #[arg(long)]
    sender: Option<PathBuf>,
    /// Plays this seed only.
    #[arg(long)]
    seed: Option<u64>,
    /// A folder for the plays' figures and the report.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Plays this variant only.
    #[arg(long)]
    variant: Option<String>,
    /// So many senders for those of the file.
    #[arg(long)]
    senders: Option<usize>,
}

#[derive(Debug, thiserror::Error)]
enum LabError {
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    #[error("the lab's own scenario: {0}")]
    Own(#[from] ParseError),
    #[error(transparent)]
    Fleet(#[from] FleetError),
    #[error(transparent)]
    Sim(#[from] SimError),
    #[error(transparent)]
    Baseline(#[from] BaselineError),
    #[error(transparent)]
    Report(#[from] ReportError),
    #[error("{path}: {source}")]
    Out { path: PathBuf, source: std::io::Error },
    #[error("{path} holds no play: {source}")]
    NoPlay { path: PathBuf, source: serde_json::Error },
    #[error("{0} senders are more processes than are started here; `sim` takes them")]
    TooMany(usize),
    #[error("peers.heartbeat: the plain heartbeat is simulated only, by `sim-fleet`")]
    Simulated,
    #[error("{0} does not begin as a history does")]
    NoHistory(PathBuf),
    #[error("writing a scenario: {0}")]
    Unwritable(toml::ser::Error),
    #[error("the scenario has no variant {0:?}")]
    NoVariant(String),
    #[error("{0} has no part [peers]: its senders do not know one another")]
    NoPeers(PathBuf),
    #[error(transparent)]
    History(#[from] HistoryError),
    #[error("{path} holds no schedule: {source}")]
    NoSchedule { path: PathBuf, source: serde_json::Error },
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
            eprintln!("testbed: {e}");
            ExitCode::from(2)
        }
    }
}

/// Whether all plays were clean.
async fn command(command: Command) -> Result<bool, LabError> {
    let stop = interrupts();
    let mut twice = stop.clone();
    let work = async {
        match command {
            Command::Demo { sender, seed } => {
                let scenario = Scenario::parse(include_str!("../scenarios/demo.toml"))?;
                play_all(scenario, sender, seed, None, false, stop).await
            }
            Command::Tier { programs, older, older_first, seed, seconds } => {
                let programs = programs.map_or_else(serving_tier::machines::built_programs, Ok)?;
                println!("tier, seed {seed}:");
                if let Some(older) = &older {
                    let which = if older_first { "first" } else { "second" };
                    println!("every other machine, from the {which} on, starts from {}", older.display());
                }
                let older =
                    older.map(|programs| serving_tier::machines::Older { programs, is_first: older_first });
                let plan = serving_tier::run::Plan { seconds, seed, grace_s: 6.0, tell: true, older };
                let played = serving_tier::run::play(plan, &programs, stop).await?;
                println!("\n{}", serving_tier::table::table(&played));
                println!("{}", if played.is_good() { "all rules kept" } else { "NOT clean" });
                Ok(played.is_good())
            }
            Command::Run(plays) => {
                let scenario = Scenario { repeats: 1, ..chosen(&plays)? };
                play_all(scenario, plays.sender, plays.seed, plays.out, false, stop).await
            }
            Command::Compare(plays) => {
                let scenario = chosen(&plays)?;
                play_all(scenario, plays.sender, plays.seed, plays.out, true, stop).await
            }
            Command::Sim { file, senders, seed, out } => {
                let mut scenario = Scenario::read(&file)?;
                scenario.fleet.senders = senders.unwrap_or(scenario.fleet.senders);
                simulate_all(scenario, seed, out, stop)
            }
            Command::SimFleet { file, seeds, senders, r#break, heartbeat, history } => {
                let mut scenario = Scenario::read(&file)?;
                if let Some(senders) = senders {
                    scenario = scenario.with_senders(senders)?;
                }
                let Some(peers) = &mut scenario.peers else { return Err(LabError::NoPeers(file)) };
                peers.heartbeat |= heartbeat;
                simulate_fleet(&scenario, seeds, r#break, history, stop)
            }
            Command::SimSystem { schedules, seed, r#break, mutations, scenario, replay, out, history } => {
                let stops = || *stop.borrow() > 0;
                match (replay, mutations, scenario) {
                    (Some(path), _, _) => replay_system(&path, r#break, history.as_deref()),
                    (None, Some(_), Some(scenario)) => {
                        mutate_scenario(scenario);
                        Ok(true)
                    }
                    (None, None, Some(scenario)) => {
                        run_scenario(scenario, r#break, &out, history.as_deref(), stops)
                    }
                    (None, Some(seconds), None) => {
                        mutate_system(schedules, seed, seconds, stops);
                        Ok(true)
                    }
                    (None, None, None) => {
                        simulate_system(schedules, seed, r#break, &out, history.as_deref(), stops).await
                    }
                }
            }
            Command::Check { history } => {
                let verdict = check(&history::read(&history)?);
                verdict.broken.iter().for_each(|broken| println!("{broken}"));
                let settled = verdict.settled_ms.map_or("never".to_owned(), |ms| format!("after {ms} ms"));
                println!(
                    "{} events, settled {settled}, {} promises broken",
                    verdict.events,
                    verdict.broken.len()
                );
                Ok(verdict.broken.is_empty())
            }
            Command::Shrink { history, sender, out } => shrink(&history, sender, out, stop).await,
            Command::Report { folder } => {
                let plays = saved(&folder)?;
                let (title, variants) =
                    (plays.first().map_or("", |p| &p.scenario).to_owned(), variants_of(&plays));
                write_report(&folder, &title, &plays, &variants)?;
                Ok(true)
            }
            Command::BaselineSender { how } => {
                baseline::run(how).await.map(|()| true).map_err(LabError::from)
            }
        }
    };
    tokio::select! {
        done = work => done,
        // The runtime is dropped then, and with it each sender's process is killed.
        _ = twice.wait_for(|count| *count > 1) => Ok(false),
    }
}

/// How often a schedule is played on processes before it counts as one that breaks nothing.
const TRIES: usize = 2;

async fn shrink(
    history: &Path,
    sender: Option<PathBuf>,
    out: Option<PathBuf>,
    stop: watch::Receiver<u32>,
) -> Result<bool, LabError> {
    let events = history::read(history)?;
    let first = events.first().map(|event| &event.what);
    let Some(What::Play { seed, faults, simulated, broken, played, .. }) = first else {
        return Err(LabError::NoHistory(history.to_owned()));
    };
    let (seed, simulated, broken) = (*seed, *simulated, *broken);
    let mut scenario: Scenario = serde_json::from_value(played.clone())
        .map_err(|source| LabError::NoPlay { path: history.to_owned(), source })?;
    let Some(promise) = check(&events).broken.first().map(|broken| broken.promise.clone()) else {
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
        for _ in 0..if simulated { 1 } else { TRIES } {
            if breaks || *stop.borrow() > 0 || fault.is_some() {
                break;
            }
            let verdict = match &program {
                None => campaign::one(&fewer, seed, broken).map(|(_, seed)| seed.verdict),
                Some(program) => {
                    match play(&fewer, &variant, seed, program, stop.clone(), false, &again).await {
                        Ok(played) => played.promises.map(|promises| promises.verdict),
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
    let text = toml::to_string(&scenario).map_err(LabError::Unwritable)?;
    std::fs::write(&path, text).map_err(|source| LabError::Out { path: path.clone(), source })?;
    println!("scenario: {}", path.display());
    Ok(true)
}

fn write(path: &Path, text: String) -> Result<(), LabError> {
    std::fs::write(path, text).map_err(|source| LabError::Out { path: path.to_owned(), source })
}

fn write_system(history: Option<&Path>, played: &system::Played) -> Result<(), LabError> {
    let lines = played.history.iter().map(|(at, fact)| format!("{at:6} {fact:?}\n"));
    history.map_or(Ok(()), |path| write(path, lines.collect()))
}

fn tell_system(played: &system::Played) {
    let Schedule { seed, tolerance, faults, .. } = &played.schedule;
    println!("seed {seed}, {tolerance} machines may be lost at once, {} faults:", faults.len());
    faults.iter().for_each(|fault| println!("  {fault}"));
    played.broken.iter().for_each(|broken| println!("broken: {broken}"));
}

/// Whether no schedule broke a rule.
async fn simulate_system(
    schedules: u64,
    seed: u64,
    mutation: Option<Mutation>,
    out: &Path,
    history: Option<&Path>,
    stops: impl Fn() -> bool,
) -> Result<bool, LabError> {
    let mut ended = system::play_until_broken(schedules, seed, mutation, stops);
    ended.settled.sort_unstable();
    println!(
        "{} schedules in {:.1} s: {} turns answered whole, {} looked up, {} configurations acknowledged, settled after {} ms \
         in the middle and {} ms at worst",
        ended.schedules,
        ended.took.as_secs_f64(),
        ended.sums.0,
        ended.sums.1,
        ended.sums.2,
        quantile(&ended.settled, 0.5),
        ended.settled.last().copied().unwrap_or_default(),
    );
    let Some(broken) = ended.broken else {
        println!("no rule broken");
        return Ok(true);
    };
    tell_system(&broken);
    let shortest = system::shortest(&broken, mutation).await;
    println!("the shortest that still breaks it:");
    tell_system(&shortest);
    let text = serde_json::to_string_pretty(&shortest.schedule);
    write(out, text.map_err(|source| LabError::NoSchedule { path: out.to_owned(), source })?)?;
    write_system(history, &shortest)?;
    println!("again: testbed sim-system --replay {}", out.display());
    Ok(false)
}

fn replay_system(path: &Path, mutation: Option<Mutation>, history: Option<&Path>) -> Result<bool, LabError> {
    let text = std::fs::read(path).map_err(|source| LabError::Out { path: path.to_owned(), source })?;
    let schedule: Schedule = serde_json::from_slice(&text)
        .map_err(|source| LabError::NoSchedule { path: path.to_owned(), source })?;
    let played = system::play_one(&schedule, mutation);
    tell_system(&played);
    println!("all as it should be {} ms after the last fault", played.settled_after);
    write_system(history, &played)?;
    Ok(played.broken.is_empty())
}

/// Plays a scenario's cases and prints what each comes to; the first that breaks a rule is written down.
fn run_scenario(
    scenario: system::Scenario,
    mutation: Option<Mutation>,
    out: &Path,
    history: Option<&Path>,
    stops: impl Fn() -> bool,
) -> Result<bool, LabError> {
    let mut kept = true;
    for case in scenario.cases() {
        if stops() {
            break;
        }
        let began = Instant::now();
        let ended = case.play(mutation);
        println!("{} ({:.1} s):", ended.name, began.elapsed().as_secs_f64());
        tell_measured(&ended.measured);
        let broken = !ended.played.broken.is_empty();
        if broken {
            tell_system(&ended.played);
        }
        if broken && kept {
            let text = serde_json::to_string_pretty(&ended.played.schedule);
            write(out, text.map_err(|source| LabError::NoSchedule { path: out.to_owned(), source })?)?;
            write_system(history, &ended.played)?;
        }
        kept &= !broken;
    }
    println!("{}", if kept { "no rule broken" } else { "a rule was broken" });
    Ok(kept)
}

fn tell_measured(measured: &system::Measured) {
    let (catch_up, missed) = measured.catch_up;
    println!(
        "  settled after {} ms; {} orders confirmed, {} of them again, {} refused, {} answers unclear",
        measured.settled_after,
        measured.confirmed,
        measured.confirmed_again,
        measured.refused,
        measured.unclear
    );
    println!(
        "  longest catch-up {catch_up} ms ({missed} versions missed, {} at most); longest change of the storage set {} ms; \
         record {} bytes, payload {} bytes",
        measured.most_missed, measured.longest_set_change, measured.record_bytes, measured.payload_bytes
    );
    let told = |after: Option<u64>| after.map_or("never".to_owned(), |after| format!("{after} ms"));
    for isolated in &measured.isolated {
        println!(
            "  kept from others: the others answer after {}, itself {} clear answers meanwhile, its first {} after its return; \
             longest order {} ms",
            told(isolated.others_clear_after),
            isolated.own_clear_answers,
            told(isolated.own_clear_after),
            isolated.longest_order
        );
    }
}

/// In how many of a scenario's cases each mutation that it is to catch is caught.
fn mutate_scenario(scenario: system::Scenario) {
    for mutation in scenario.mutations() {
        let began = Instant::now();
        let cases = scenario.cases();
        let caught: Vec<String> = cases
            .iter()
            .filter_map(|case| {
                case.play(Some(*mutation)).played.broken.first().map(|broken| format!("{:?}", broken.rule))
            })
            .collect();
        let mut rules = caught.clone();
        rules.sort();
        rules.dedup();
        println!(
            "| {mutation:?} | {} of {} cases | {:.1} | {} |",
            caught.len(),
            cases.len(),
            began.elapsed().as_secs_f64(),
            rules.join(", ")
        );
    }
}

/// After how many schedules each mutation is caught.
fn mutate_system(schedules: u64, seed: u64, seconds: u64, stops: impl Fn() -> bool) {
    let mut rows = vec![["mutation", "schedules", "seconds", "rule"].map(str::to_owned).to_vec()];
    for mutation in MUTATIONS {
        let began = Instant::now();
        let over = || stops() || began.elapsed().as_secs() >= seconds;
        let ended = system::play_until_broken(schedules, seed, Some(mutation), over);
        let rule = ended.broken.as_ref().and_then(|played| played.broken.first());
        rows.push(vec![
            format!("{mutation:?}"),
            ended.schedules.to_string(),
            format!("{:.1}", ended.took.as_secs_f64()),
            rule.map_or("not caught".to_owned(), |broken| format!("{:?}", broken.rule)),
        ]);
    }
    for row in rows {
        println!("| {} |", row.join(" | "));
    }
}

/// The scenario of a file, as the command line changes it.
fn chosen(plays: &Plays) -> Result<Scenario, LabError> {
    let mut scenario = Scenario::read(&plays.file)?;
    if let Some(name) = &plays.variant {
        scenario.variants.retain(|variant| variant.name == *name);
        if scenario.variants.is_empty() {
            return Err(LabError::NoVariant(name.clone()));
        }
    }
    if let Some(senders) = plays.senders {
        scenario = scenario.with_senders(senders)?;
    }
    Ok(scenario)
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
            eprintln!("testbed: ending (once more to end at once)");
        }
    });
    counted
}

fn variants(scenario: &Scenario) -> Vec<Variant> {
    if scenario.variants.is_empty() {
        return vec![Variant { name: "sender".to_owned(), ..Variant::default() }];
    }
    scenario.variants.clone()
}

fn variants_of(plays: &[Played]) -> Vec<Variant> {
    let mut variants: Vec<Variant> = Vec::new();
    for played in plays {
        if !variants.iter().any(|v| v.name == played.variant) {
            variants.push(Variant { name: played.variant.clone(), ..Variant::default() });
        }
    }
    variants
}

async fn play_all(
    mut scenario: Scenario,
    sender: Option<PathBuf>,
    seed: Option<u64>,
    out: Option<PathBuf>,
    brief: bool,
    stop: watch::Receiver<u32>,
) -> Result<bool, LabError> {
    if scenario.fleet.senders > MOST_PROCESSES {
        return Err(LabError::TooMany(scenario.fleet.senders));
    }
    if scenario.peers.as_ref().is_some_and(|peers| peers.heartbeat) {
        return Err(LabError::Simulated);
    }
    scenario.seeds = seed.map_or(scenario.seeds, |seed| vec![seed]);
    let variants = variants(&scenario);
    let own = match sender {
        Some(path) => path,
        None => built_sender()?,
    };
    let mut plays = Vec::new();
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
            std::fs::create_dir_all(out).map_err(|source| LabError::Out { path: out.clone(), source })?;
        }
        let name = format!("{}-{}-{seed}.jsonl", scenario.name.replace(' ', "-"), variant.name);
        let history = folder.join(name);
        let played = play(&scenario, variant, seed, &program, stop.clone(), !brief, &history).await?;
        tell(&played, began.elapsed().as_secs_f64(), brief);
        save(out.as_deref(), plays.len(), &played)?;
        plays.push(played);
        if *stop.borrow() > 0 {
            break;
        }
    }
    finish(&scenario, out.as_deref(), plays, &variants)
}

fn simulate_all(
    mut scenario: Scenario,
    seed: Option<u64>,
    out: Option<PathBuf>,
    stop: watch::Receiver<u32>,
) -> Result<bool, LabError> {
    scenario.seeds = seed.map_or(scenario.seeds, |seed| vec![seed]);
    let mut variants = variants(&scenario);
    variants.retain(|v| v.baseline.is_none() && v.binary.is_none());
    let mut plays = Vec::new();
    // The same seed gives the same play here: once is enough.
    for (seed, variant) in order(&scenario.seeds, 1, &variants) {
        let variant = &variants[variant];
        println!(
            "{}, {}, seed {seed}, {} senders simulated:",
            scenario.name, variant.name, scenario.fleet.senders
        );
        let began = Instant::now();
        let (played, cost) = simulate(&scenario, variant, seed)?;
        let seconds = began.elapsed().as_secs_f64();
        tell(&played, seconds, false);
        println!("{:.0} simulated seconds, {} steps of the module\n", cost.simulated_s, cost.steps);
        save(out.as_deref(), plays.len(), &played)?;
        plays.push(played);
        if *stop.borrow() > 0 {
            break;
        }
    }
    finish(&scenario, out.as_deref(), plays, &variants)
}

/// The given quantile of sorted figures.
fn quantile(sorted: &[u64], share: f64) -> u64 {
    let at = ((sorted.len() as f64 - 1.0) * share).round() as usize;
    sorted.get(at).copied().unwrap_or_default()
}

fn simulate_fleet(
    scenario: &Scenario,
    seeds: std::ops::Range<u64>,
    how: Option<Break>,
    history: Option<PathBuf>,
    stop: watch::Receiver<u32>,
) -> Result<bool, LabError> {
    let began = Instant::now();
    let count = AtomicU64::new(0);
    let played = campaign::many(scenario, seeds, how, &stop, |seed| {
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
        played.iter().filter(|seed| !seed.verdict.broken.is_empty()).map(|seed| seed.seed).collect();
    let mut settled: Vec<u64> = played.iter().filter_map(|seed| seed.verdict.settled_ms).collect();
    settled.sort_unstable();
    let sum = |of: fn(&Cost) -> u64| played.iter().map(|seed| of(&seed.cost)).sum::<u64>();
    let sender_s = (sum(|c| c.simulated_ms) as f64 / 1e3 * scenario.fleet.senders as f64).max(1.0);
    println!(
        "{}: {} seeds of {} senders in {seconds:.1} s; {} broke a promise",
        scenario.name,
        played.len(),
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
        && let Some(seed) = failed.first().copied().or_else(|| played.first().map(|seed| seed.seed))
        && let Some((events, _)) = campaign::one(scenario, seed, how)
    {
        history::write(&path, &events)?;
        println!("history of seed {seed}: {}", path.display());
    }
    Ok(failed.is_empty() && !played.is_empty())
}

/// The comparison and the report of all plays; whether all were clean.
fn finish(
    scenario: &Scenario,
    out: Option<&Path>,
    plays: Vec<Played>,
    variants: &[Variant],
) -> Result<bool, LabError> {
    if variants.len() > 1 {
        println!("{}", comparison(&plays, variants));
    }
    if let Some(folder) = out {
        write_report(folder, &scenario.name, &plays, variants)?;
    }
    Ok(plays.iter().all(|p| p.clean() && !p.cut_short))
}

/// Tells what came of the promises on the fleet.
fn tell_promises(promises: &Promises) {
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

fn tell(played: &Played, seconds: f64, brief: bool) {
    if let Some(promises) = &played.promises {
        tell_promises(promises);
    }
    if !brief {
        println!("\n{}", table(played));
    }
    let word = if played.clean() { "all rules kept" } else { "NOT clean" };
    println!("{word}, service {:.3}; {seconds:.0} s in all", played.verdict.worth.result);
}

/// Keeps a play's figures as soon as it has ended: what follows may be cut short.
fn save(out: Option<&Path>, number: usize, played: &Played) -> Result<(), LabError> {
    let Some(folder) = out else { return Ok(()) };
    let path = folder.join(format!("play-{number:03}.json"));
    let error = |source| LabError::Out { path: path.clone(), source };
    std::fs::create_dir_all(folder).map_err(error)?;
    let text = serde_json::to_vec(played).map_err(|e| error(e.into()))?;
    std::fs::write(&path, text).map_err(error)
}

/// The plays that a folder holds, in their order.
fn saved(folder: &Path) -> Result<Vec<Played>, LabError> {
    let error = |source| LabError::Out { path: folder.to_owned(), source };
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
        let text = std::fs::read(&path).map_err(|source| LabError::Out { path: path.clone(), source })?;
        serde_json::from_slice(&text).map_err(|source| LabError::NoPlay { path, source })
    };
    paths.into_iter().map(read).collect()
}

fn write_report(folder: &Path, title: &str, plays: &[Played], variants: &[Variant]) -> Result<(), LabError> {
    let page = html(title, plays, variants)?;
    let path = folder.join("report.html");
    std::fs::create_dir_all(folder)
        .and_then(|()| std::fs::write(&path, page))
        .map_err(|source| LabError::Out { path: path.clone(), source })?;
    println!("report: {}", path.display());
    Ok(())
}
