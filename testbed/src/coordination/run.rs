//! One run: control nodes, applications, faults, the final calls and the verdict.

use super::applications::{self, SavedRevision};
use super::checker::{Breach, check_history};
use super::client::Shared;
use super::cluster::Cluster;
use super::final_calls::read_back;
use super::history::History;
use super::memory::wait_for_shortage;
use super::plan::Plan;
use super::schedule::{Fault, Schedule, Step};
use crate::fleet::FleetError;
use crate::serving_tier::history::Recorder as Events;
use crate::serving_tier::operator::{Operator, configuration};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// The control nodes acknowledge a first configuration within this, or they do not start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// How long the operator repeats one change.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(8);
/// From the last return of a machine until the final calls: `catch_up_s`.
const CATCH_UP: Duration = Duration::from_secs(6);

/// The outcome of a run.
#[derive(Debug)]
pub struct RunResult {
    /// The calls of the applications.
    pub history: History,
    /// The rules that they break.
    pub breaches: Vec<Breach>,
    /// Processes that ended by themselves, or not when told, with the end of their logs.
    pub crashes: Vec<String>,
    /// Changes of the configuration that were acknowledged, and that were sent.
    pub configurations: (usize, usize),
    /// Faults that occurred.
    pub faults: usize,
    /// Stopped before its end.
    pub is_cut_short: bool,
    /// The end of each control node's log.
    pub logs: String,
}

impl RunResult {
    /// Whether every rule was kept and no process failed, in a complete run.
    pub fn is_good(&self) -> bool {
        self.breaches.is_empty() && self.crashes.is_empty() && !self.is_cut_short
    }
}

/// What the parts of a run share.
struct Stage {
    plan: Plan,
    cluster: Cluster,
    shared: Arc<Shared>,
    saved: Arc<SavedRevision>,
    events: Arc<Events>,
    operator: Operator,
}

/// Runs a plan with the programs of a folder; `stop`, once over 0, ends it early.
pub async fn run(
    plan: Plan,
    programs: &Path,
    mut stop: watch::Receiver<u32>,
) -> Result<RunResult, FleetError> {
    let cluster = Cluster::new(&plan, programs).await?;
    let events = Arc::new(Events::new(plan.is_verbose));
    let operator = Operator::new(cluster.control_addresses(), events.clone());
    let shared = Shared::new(cluster.nodes());
    let stage = Stage { plan, cluster, shared, saved: Arc::default(), events, operator };
    let schedule = Schedule::draw(&stage.plan);
    let done = tokio::select! {
        done = stage.play(&schedule) => done.map(|()| false),
        _ = stop.wait_for(|count| *count > 0) => Ok(true),
        () = wait_for_shortage(&stage.cluster) => {
            stage.events.event("half of the machine's memory is in use: the run ends");
            Ok(true)
        }
    };
    let crashes = stage.cluster.end().await;
    let logs = stage.cluster.logs().await;
    let is_cut_short = done?;
    let history = stage.shared.recorder.history(Plan::bounds(), stage.plan.applications.final_targets());
    let configurations = stage.events.lock().configurations.clone();
    Ok(RunResult {
        breaches: check_history(&history),
        history,
        crashes,
        configurations: (configurations.acknowledged.len(), configurations.sent.len()),
        faults: schedule.steps.len(),
        is_cut_short,
        logs,
    })
}

impl Stage {
    async fn play(&self, schedule: &Schedule) -> Result<(), FleetError> {
        self.cluster.start().await?;
        let began = async { while !self.operator.put(1, 0, configuration(1, false), START_TIMEOUT).await {} };
        if timeout(START_TIMEOUT, began).await.is_err() {
            return Err(FleetError::NotReady { sender: 0, log: self.cluster.logs().await });
        }
        self.events.event("the control nodes have acknowledged a configuration");
        let mut applications =
            applications::start(&self.plan.applications, self.plan.seed, &self.shared, &self.saved);
        let began = Instant::now();
        let work = sleep_until(began + self.plan.work);
        let ((), faults, ()) = tokio::join!(
            work,
            self.play_faults(&schedule.steps, began),
            self.change_configurations(schedule, began)
        );
        faults?;
        if !schedule.steps.is_empty() {
            sleep(CATCH_UP).await;
        }
        applications.shutdown().await;
        self.events.event("everything is read back");
        read_back(&self.shared, &self.plan.applications, &self.saved).await;
        Ok(())
    }

    /// Plays all faults, each in its time; those that overlap run side by side.
    async fn play_faults(&self, steps: &[Step], began: Instant) -> Result<(), FleetError> {
        let faults = steps.iter().map(|step| self.play_fault(*step, began));
        futures_util::future::try_join_all(faults).await.map(drop)
    }

    async fn play_fault(&self, Step { at, node, fault }: Step, began: Instant) -> Result<(), FleetError> {
        sleep_until(began + at).await;
        self.events.event(format!("control node {node}: {fault:?}"));
        match fault {
            Fault::Restart { down } => self.cluster.restart(node, down).await,
            Fault::Kill { down } => self.cluster.kill(node, down, false).await,
            Fault::Wipe { down } => self.cluster.kill(node, down, true).await,
            Fault::Freeze { time } => {
                self.cluster.freeze(node, time).await;
                Ok(())
            }
            Fault::Replace { by, down } => {
                self.cluster.replace(node, by, down).await?;
                self.shared.set_nodes(self.cluster.nodes());
                Ok(())
            }
        }
    }

    /// Changes the configuration in its times, each change on top of the last acknowledged one.
    async fn change_configurations(&self, schedule: &Schedule, began: Instant) {
        let mut newest = 1;
        for (version, at) in (2..).zip(&schedule.configurations) {
            sleep_until(began + *at).await;
            let body = configuration(version, version.is_multiple_of(2));
            if self.operator.put(version, newest, body, OPERATOR_TIMEOUT).await {
                newest = version;
            } else {
                self.events.event(format!("configuration {version} is not acknowledged"));
                // An order without a clear answer may be in force.
                self.operator.read(OPERATOR_TIMEOUT).await;
                newest = self.version_read().unwrap_or(newest);
            }
        }
    }

    /// The version of the configuration that was last read.
    fn version_read(&self) -> Option<u64> {
        let read = self.events.lock().configurations.read.clone()?;
        serde_json::from_slice::<serde_json::Value>(&read).ok()?["version"].as_u64()
    }
}
