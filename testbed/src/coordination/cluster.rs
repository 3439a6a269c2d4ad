//! The control nodes of a run: real processes on loopback addresses, with spare machines at addresses of their own.

use super::client::Node;
use super::plan::{HISTORY, Plan, RELEASE_MS};
use crate::fleet::{FleetError, io};
use crate::serving_tier::endpoints::Platform;
use crate::serving_tier::load::Load;
use crate::serving_tier::machines::{Addresses, Machine, Programs, Role};
use serde_json::{Value, json};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::sync::{Mutex as SyncMutex, PoisonError};
use std::time::Duration;
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

/// From SIGTERM until SIGKILL.
const GRACE: Duration = Duration::from_secs(8);
/// Where the platform's list is served.
const PLATFORM_IP: Ipv4Addr = Ipv4Addr::new(127, 0, 40, 1);
/// Lines of a log that a report shows.
const REPORTED_LINES: usize = 5;

/// All machines, in service or spare.
pub struct Cluster {
    machines: Vec<Mutex<Machine>>,
    addresses: Addresses,
    in_service: SyncMutex<Vec<usize>>,
    crashes: SyncMutex<Vec<String>>,
    /// Serves the platform's list, until the cluster is dropped.
    _platform: JoinSet<()>,
    /// Holds the disks; deleted with the cluster.
    _folder: TempDir,
}

impl Cluster {
    /// Machines for a plan, none of them started.
    pub async fn new(plan: &Plan, programs: &Path) -> Result<Self, FleetError> {
        let count = plan.control_nodes + plan.spares;
        let addresses = Addresses::reserve(count, 0, 0, plan.seed).await?;
        let folder = tempfile::tempdir().map_err(io("making a folder"))?;
        let listener = TcpListener::bind((PLATFORM_IP, 0)).await.map_err(io("listening"))?;
        let port = listener.local_addr().map_err(io("listening"))?.port();
        let mut platform = JoinSet::new();
        platform.spawn(std::sync::Arc::new(Platform::new(Vec::new(), &Load::LIGHT)).serve(listener));
        let platform_address = SocketAddrV4::new(PLATFORM_IP, port);
        let programs = Programs { present: programs, older: None };
        let mut machines = Vec::new();
        for number in 0..usize::from(count) {
            let position = (Role::ControlNode, number);
            let grace_s = GRACE.as_secs_f64();
            let mut machine =
                Machine::new(programs, folder.path(), &addresses, position, platform_address, grace_s)?;
            machine.configure(settings(plan, number < usize::from(plan.control_nodes)));
            machines.push(Mutex::new(machine));
        }
        Ok(Self {
            machines,
            addresses,
            in_service: SyncMutex::new((0..usize::from(plan.control_nodes)).collect()),
            crashes: SyncMutex::default(),
            _platform: platform,
            _folder: folder,
        })
    }

    /// Starts the machines in service.
    pub async fn start(&self) -> Result<(), FleetError> {
        for number in self.in_service() {
            self.machines[number].lock().await.start()?;
        }
        Ok(())
    }

    /// The machines in service.
    fn in_service(&self) -> Vec<usize> {
        self.in_service.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The operator's list.
    pub fn nodes(&self) -> Vec<Node> {
        self.in_service().into_iter().map(|number| (number, self.addresses.control(number))).collect()
    }

    /// Where all machines, spare ones too, are called.
    pub fn control_addresses(&self) -> Vec<SocketAddrV4> {
        (0..self.machines.len()).map(|number| self.addresses.control(number)).collect()
    }

    /// SIGTERM, and a new start after `down`.
    pub async fn restart(&self, number: usize, down: Duration) -> Result<(), FleetError> {
        let mut machine = self.machines[number].lock().await;
        if !self.note_crash(&mut machine) && !machine.terminate(GRACE).await {
            self.note(format!(
                "{} did not end after SIGTERM:\n{}",
                machine.name,
                machine.last_lines(REPORTED_LINES)
            ));
        }
        tokio::time::sleep(down).await;
        machine.start()
    }

    /// SIGKILL, and a new start after `down`, on an empty disk where `wipes`.
    pub async fn kill(&self, number: usize, down: Duration, wipes: bool) -> Result<(), FleetError> {
        let mut machine = self.machines[number].lock().await;
        self.note_crash(&mut machine);
        machine.kill().await;
        if wipes {
            machine.wipe().await?;
        }
        tokio::time::sleep(down).await;
        machine.start()
    }

    /// SIGSTOP, and SIGCONT after `time`.
    pub async fn freeze(&self, number: usize, time: Duration) {
        let mut machine = self.machines[number].lock().await;
        self.note_crash(&mut machine);
        machine.pause();
        tokio::time::sleep(time).await;
        machine.resume();
    }

    /// Takes a machine away for good and starts an empty one in its place, at another address, after `down`.
    pub async fn replace(&self, number: usize, by: usize, down: Duration) -> Result<(), FleetError> {
        let mut machine = self.machines[number].lock().await;
        self.note_crash(&mut machine);
        machine.kill().await;
        tokio::time::sleep(down).await;
        self.machines[by].lock().await.start()?;
        let mut in_service = self.in_service.lock().unwrap_or_else(PoisonError::into_inner);
        in_service.retain(|other| *other != number);
        in_service.push(by);
        Ok(())
    }

    /// Kills all processes; returns those that ended by themselves during the run.
    pub async fn end(&self) -> Vec<String> {
        for machine in &self.machines {
            let mut machine = machine.lock().await;
            self.note_crash(&mut machine);
            machine.kill().await;
        }
        std::mem::take(&mut *self.crashes.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Process numbers of the machines that run.
    pub async fn pids(&self) -> Vec<u32> {
        let mut pids = Vec::new();
        for machine in &self.machines {
            // One that is locked undergoes a fault, during which it grows little.
            pids.extend(machine.try_lock().ok().and_then(|machine| machine.pid()));
        }
        pids
    }

    /// The last lines of all logs.
    pub async fn logs(&self) -> String {
        let mut logs = String::new();
        for machine in &self.machines {
            let machine = machine.lock().await;
            logs += &format!("{}:\n{}\n", machine.name, machine.last_lines(REPORTED_LINES));
        }
        logs
    }

    /// Notes a process that has ended by itself; whether it has.
    fn note_crash(&self, machine: &mut Machine) -> bool {
        let has_crashed = machine.crashed();
        if has_crashed {
            self.note(format!("{} ended by itself:\n{}", machine.name, machine.last_lines(REPORTED_LINES)));
        }
        has_crashed
    }

    fn note(&self, crash: String) {
        self.crashes.lock().unwrap_or_else(PoisonError::into_inner).push(crash);
    }
}

/// Fields of the settings that deployments with applications have besides.
fn settings(plan: &Plan, is_founder: bool) -> serde_json::Map<String, Value> {
    let fields = json!({
        "first_start": is_founder,
        "counted_loss": true,
        "contracts": ["base", "drain", "config", "recover", "coord"],
        "fault_tolerance": {"machines": plan.tolerated_losses, "zones": 0, "regions": 0},
        "bounds": {"grace_period_s": GRACE.as_secs(), "drain_ms": 4000, "catch_up_s": 6, "config_apply_ms": 2500,
            "recovery_s": 15, "contact_ms": 4000, "ack_ms": 5000, "max_stretch_ms": 6000,
            "history_s": HISTORY.as_secs(), "release_ms": RELEASE_MS},
    });
    match fields {
        Value::Object(fields) => fields,
        _ => serde_json::Map::new(),
    }
}
