//! The commands of `fleetctl`. Each module implements one group: its queries, the verdict on the responses, and the report.

mod account;
mod config;
mod coordination;
mod endpoints;
mod members;
mod processes;
mod roster;
mod turn;

use super::query::Fleet;
use super::table::age;
use super::{Origin, View};
use bpaf::Bpaf;
use serde::Serialize;
use serde_json::json;
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::path::PathBuf;

/// An answer that is older than this was not confirmed in the time in which a change has to be in force.
const STALE_MS: u64 = 2_000;

/// What staff can ask.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
#[bpaf(generate(command))]
pub enum Command {
    /// The machines of the fleet, and who is suspected by whom
    #[bpaf(command("members"))]
    Members,
    /// The operator's configuration
    #[bpaf(command("config"))]
    Config(#[bpaf(external(config_command))] ConfigCommand),
    /// The endpoints as a proxy sees them, and why one is not used
    #[bpaf(command("endpoints"))]
    Endpoints {
        /// The proxy's machine; otherwise the first that answers
        #[bpaf(positional("NODE"), optional)]
        node: Option<String>,
    },
    /// Which storage machines hold a turn
    #[bpaf(command("turn"))]
    Turn {
        /// Its Attempt-Id
        #[bpaf(positional("ATTEMPT-ID"))]
        attempt: String,
    },
    /// The reservations of a program's account, at each of its holders
    #[bpaf(command("account"))]
    Account {
        /// The program
        #[bpaf(positional("PROGRAM"))]
        program: String,
    },
    /// The storage machines that count, a change under way, and those being emptied
    #[bpaf(command("roster"))]
    Roster,
    /// The coordination service: leader, replicas, locks, counters and groups of keys
    #[bpaf(command("coordination"))]
    Coordination,
    /// The configuration's version in force at each process, with its age
    #[bpaf(command("versions"))]
    Versions,
    /// Counters and gauges as exposition text
    #[bpaf(command("figures"))]
    Metrics {
        /// Only those of this machine
        #[bpaf(positional("NODE"), optional)]
        node: Option<String>,
    },
}

/// What staff can ask of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
pub enum ConfigCommand {
    /// The newest configuration that is known, as the operator sent it
    #[bpaf(command("show"))]
    Show,
    /// All that is wrong in a file; asks nobody
    #[bpaf(command("check"))]
    Check {
        /// The file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// What a file would change in the newest configuration that is known
    #[bpaf(command("diff"))]
    Diff {
        /// The file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// The versions that were taken, oldest first
    #[bpaf(command("history"))]
    History,
}

impl ConfigCommand {
    /// Whether it asks nobody.
    pub fn is_local(&self) -> bool {
        matches!(self, Self::Check { .. })
    }
}

/// How a command's answers look.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// Nothing wrong was found.
    Healthy,
    /// Something is.
    Problem,
    /// Nobody answered.
    NoAnswer,
}

impl Verdict {
    /// The exit code.
    pub fn exit_code(self) -> u8 {
        match self {
            Self::Healthy => 0,
            Self::Problem => 1,
            Self::NoAnswer => 3,
        }
    }

    fn problem_if(wrong: bool) -> Self {
        if wrong { Self::Problem } else { Self::Healthy }
    }
}

/// What a command comes to.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// How the answers look.
    pub verdict: Verdict,
    /// For people; ends with a line feed unless it is empty.
    pub text: String,
    /// The same for programs.
    pub json: serde_json::Value,
}

impl Report {
    fn new(verdict: Verdict, text: String, view: impl Serialize) -> Self {
        Self { verdict, text, json: json!(view) }
    }

    fn silent() -> Self {
        Self::new(Verdict::NoAnswer, String::new(), ())
    }
}

/// Executes a command against the fleet.
pub async fn execute(fleet: &Fleet, command: &Command) -> Report {
    match command {
        Command::Members => members::members(fleet).await,
        Command::Config(command) => config::config(fleet, command).await,
        Command::Endpoints { node } => endpoints::endpoints(fleet, node.as_deref()).await,
        Command::Turn { attempt } => turn::turn(fleet, attempt).await,
        Command::Account { program } => account::account(fleet, program).await,
        Command::Roster => roster::roster(fleet).await,
        Command::Coordination => coordination::coordination(fleet).await,
        Command::Versions => processes::versions(fleet).await,
        Command::Metrics { node } => processes::metrics(fleet, node.as_deref()).await,
    }
}

// What several groups need.

/// Whether an answer is older than what has to be in force.
fn is_stale(origin: &Origin) -> bool {
    origin.age_ms.is_none_or(|age_ms| age_ms > STALE_MS)
}

/// Whose answer it is, and its age, in words.
fn provenance(origin: &Origin) -> String {
    format!("as {} knew it {} ago", origin.node, age(origin.age_ms))
}

/// The view of the highest version; among equals the one confirmed last.
fn newest<T>(views: Vec<View<T>>, version: impl Fn(&T) -> u64) -> Option<View<T>> {
    views.into_iter().min_by_key(|view| {
        let was_never_confirmed = view.origin.age_ms.is_none();
        (Reverse(version(&view.body)), was_never_confirmed, view.origin.age_ms)
    })
}

fn join_names(nodes: &BTreeSet<String>) -> String {
    nodes.iter().map(String::as_str).collect::<Vec<_>>().join(" ")
}
