//! The command line of the test bed.

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use testbed::peers::campaign::Break;
use testbed::scenario::Baseline;
use testbed::serving_tier::load::LoadName;
use testbed::serving_tier::soak::Trouble;
use testbed::system::{self, Mutation};

/// Runs the real sender against stand-in partners, directory and clients on loopback, and judges what it does.
#[derive(Parser)]
#[command(version)]
pub(crate) struct Cli {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Runs some hundred messages through one partner outage; half a minute.
    Demo {
        /// The sender's program; without it, that of this project is built and used.
        #[arg(long)]
        sender: Option<PathBuf>,
        /// Draws other messages and other chances.
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Runs the whole tier on loopback, through the loss of a disk, a restart and a new configuration; half a minute.
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
        /// In place of one fault of each kind, series of faults drawn from the seed.
        #[arg(long)]
        soak: Option<Trouble>,
        /// What clients ask for.
        #[arg(long, default_value = "light")]
        load: LoadName,
        /// Core machines.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(3..=9))]
        core: u8,
        /// Storage machines.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(3..=40))]
        storage: u8,
        /// Edge machines, with two processes each.
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u8).range(2..=120))]
        edge: u8,
    },
    /// Runs the tier under crowds of clients that keep to no limit, with faults, and checks that processes live and stay within
    /// their memory and descriptors.
    Misbehave(MisbehaveOptions),
    /// Runs control nodes as real processes under applications of the coordination service, with faults drawn from the
    /// seed, and checks its rules.
    Soak(SoakOptions),
    /// Runs a scenario, each seed once with each variant.
    Run(RunOptions),
    /// Runs a scenario's variants in turn, as often as it says, and compares them.
    Compare(RunOptions),
    /// Runs the decision module alone, in simulated time.
    Sim {
        /// The scenario, in TOML.
        file: PathBuf,
        /// So many senders for those of the file.
        #[arg(long)]
        senders: Option<usize>,
        /// Runs this seed only.
        #[arg(long)]
        seed: Option<u64>,
        /// A folder for the plays' figures and the report.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Runs what goes wrong among the senders of a fleet, in simulated time and over their machines alone.
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
    /// Runs the whole system in simulated time, by schedules drawn from seeds, until one breaks a rule; that one is made as
    /// short as it can be and written down.
    SimSystem(SystemSimulation),
    /// Checks the promises of a fleet's view on a history.
    Check {
        /// The history, in JSON lines.
        history: PathBuf,
    },
    /// Runs the schedule of a history again with fewer and fewer faults, until the smallest that still breaks its promise is
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

#[derive(clap::Args)]
pub(crate) struct RunOptions {
    /// The scenario, in TOML.
    pub(crate) file: PathBuf,
    /// The sender's program, for variants that name none.
    #[arg(long)]
    pub(crate) sender: Option<PathBuf>,
    /// Runs this seed only.
    #[arg(long)]
    pub(crate) seed: Option<u64>,
    /// A folder for the plays' figures and the report.
    #[arg(long)]
    pub(crate) out: Option<PathBuf>,
    /// Runs this variant only.
    #[arg(long)]
    pub(crate) variant: Option<String>,
    /// So many senders for those of the file.
    #[arg(long)]
    pub(crate) senders: Option<usize>,
}

/// Options of a soak of the coordination service.
#[derive(clap::Args)]
pub(crate) struct SoakOptions {
    /// Draws the calls of the applications and the faults.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// How long applications work, in seconds.
    #[arg(long, default_value_t = 60.0, value_parser = seconds)]
    pub(crate) seconds: f64,
    /// Control nodes in service at once.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u8).range(3..=9))]
    pub(crate) processes: u8,
    /// A folder with the tier's programs; without it, those of this project are built and used.
    #[arg(long)]
    pub(crate) programs: Option<PathBuf>,
    /// No faults: the calls alone.
    #[arg(long)]
    pub(crate) calm: bool,
    /// A file for the history, in JSON.
    #[arg(long)]
    pub(crate) history: Option<PathBuf>,
}

/// Options of soaks with clients that misbehave.
#[derive(clap::Args)]
pub(crate) struct MisbehaveOptions {
    /// Seeds, from the first up to the last and without it, as `0..50`, one after another.
    #[arg(long, default_value = "1..2", value_parser = seeds)]
    pub(crate) seeds: std::ops::Range<u64>,
    /// How long crowds and faults come in each, in seconds.
    #[arg(long, default_value_t = 20.0, value_parser = seconds)]
    pub(crate) seconds: f64,
    /// Which faults there are beside the crowds.
    #[arg(long, default_value = "failures")]
    pub(crate) trouble: Trouble,
    /// Memory of a process that admits callers, in MB; on a storage machine it is twice as much.
    #[arg(long, default_value_t = 64)]
    pub(crate) memory_mb: u64,
    /// Core machines.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(3..=9))]
    pub(crate) core: u8,
    /// Storage machines.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(3..=40))]
    pub(crate) storage: u8,
    /// Edge machines, with two processes each.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u8).range(1..=100))]
    pub(crate) edge: u8,
    /// Has endpoints misbehave in place of clients: answers without end.
    #[arg(long, conflicts_with = "sender")]
    pub(crate) endpoints: bool,
    /// After each soak of the tier, one of the message sender.
    #[arg(long)]
    pub(crate) sender: bool,
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

/// Options of the simulation of the whole system.
#[derive(clap::Args)]
pub(crate) struct SystemSimulation {
    /// So many schedules, each with the next seed.
    #[arg(long, default_value_t = 1_000)]
    pub(crate) schedules: u64,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// A way to break the system on purpose.
    #[arg(long, value_enum)]
    pub(crate) r#break: Option<Mutation>,
    /// Instead: each way to break it in turn, each for so many seconds at most, and a table.
    #[arg(long)]
    pub(crate) mutations: Option<u64>,
    /// Instead: the cases of a named scenario, and a table of figures; with `--mutations` only the mutations that it is to
    /// catch, in its cases.
    #[arg(long, value_enum)]
    pub(crate) scenario: Option<system::Scenario>,
    /// Instead: plays this schedule again.
    #[arg(long)]
    pub(crate) replay: Option<PathBuf>,
    /// A file for the shortest schedule that breaks a rule.
    #[arg(long, default_value = "system-schedule.json")]
    pub(crate) out: PathBuf,
    /// A file for the history of the schedule that breaks a rule, or of the one that is played again.
    #[arg(long)]
    pub(crate) history: Option<PathBuf>,
}
