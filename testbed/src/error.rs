//! Why a command of the test bed could not be carried out.

use std::path::PathBuf;
use testbed::baseline::BaselineError;
use testbed::fleet::FleetError;
use testbed::peers::history::HistoryError;
use testbed::report::ReportError;
use testbed::scenario::{ParseError, ScenarioError};
use testbed::sim::SimError;

#[derive(Debug, thiserror::Error)]
pub(crate) enum TestbedError {
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
    NotARun { path: PathBuf, source: serde_json::Error },
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
