//! The processes of a run: all machines of the tier, started and ended together, and what was seen of them.
use super::machines::{Addresses, LatestPid, Machine, Programs, Role};
use super::start_faults::FirstStart;
use crate::fleet::{FleetError, io};
use crate::misbehaving_clients::usage::{Usage, peak_resident_bytes};
use std::net::SocketAddrV4;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tempfile::TempDir;
use tokio::sync::Mutex;
use tokio::time::sleep;

/// Between two samples of what processes use.
const USAGE_SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// All processes of the tier.
pub(super) struct Tier {
    /// With the proxies last: they need the others.
    pub(super) machines: Vec<(Role, Mutex<Machine>)>,
    pub(super) crashes: Mutex<Vec<String>>,
    pub(super) late_ends: Mutex<Vec<String>>,
    pub(super) usage: std::sync::Mutex<Vec<(Role, Usage)>>,
    latest_pids: Vec<(Role, LatestPid)>,
    /// Deleted with the tier.
    _folder: TempDir,
}

impl Tier {
    pub(super) fn new(
        programs: Programs<'_>,
        addresses: &Addresses,
        platform: SocketAddrV4,
        grace_s: f64,
    ) -> Result<Self, FleetError> {
        let folder = tempfile::tempdir().map_err(io("making a folder"))?;
        let roles = [
            (Role::ControlNode, addresses.core.len()),
            (Role::StorageNode, addresses.storage.len()),
            (Role::ProxyAgent, addresses.edge.len()),
            (Role::RequestProxy, addresses.edge.len()),
        ];
        let (mut machines, mut latest_pids) = (Vec::new(), Vec::new());
        for (role, count) in roles {
            for number in 0..count {
                let position = (role, number);
                let machine = Machine::new(programs, folder.path(), addresses, position, platform, grace_s)?;
                latest_pids.push((role, machine.latest_pid()));
                machines.push((role, Mutex::new(machine)));
            }
        }
        Ok(Self {
            machines,
            crashes: Mutex::default(),
            late_ends: Mutex::default(),
            usage: std::sync::Mutex::new(roles.map(|(role, _)| (role, Usage::default())).into()),
            latest_pids,
            _folder: folder,
        })
    }

    /// Samples what the processes use until cancelled.
    pub(super) async fn watch_usage(&self) {
        loop {
            for (role, pid) in &self.latest_pids {
                let pid = pid.load(Ordering::Relaxed);
                let Some(mut sample) = Usage::without_unread(pid) else { continue };
                sample.memory_bytes = sample.memory_bytes.max(peak_resident_bytes(pid).unwrap_or_default());
                let mut usage = self.usage.lock().unwrap_or_else(PoisonError::into_inner);
                for (_, peak) in usage.iter_mut().filter(|(other, _)| other == role) {
                    *peak = peak.max(sample);
                }
            }
            sleep(USAGE_SAMPLE_INTERVAL).await;
        }
    }

    /// Kills all processes.
    pub(super) async fn kill_all(&self) {
        for (_, machine) in &self.machines {
            machine.lock().await.kill().await;
        }
    }

    /// Starts all processes again.
    pub(super) async fn start_again(&self) -> Result<(), FleetError> {
        for (_, machine) in &self.machines {
            machine.lock().await.start()?;
        }
        Ok(())
    }

    pub(super) async fn failed_parts(&self) -> Vec<String> {
        let mut failed = Vec::new();
        for (_, machine) in &self.machines {
            failed.extend(machine.lock().await.failed_parts());
        }
        failed
    }

    pub(super) fn machine(&self, role: Role, number: usize) -> &Mutex<Machine> {
        let mut machines_of_role = self.machines.iter().filter(|(other, _)| *other == role);
        &machines_of_role.nth(number).expect("a machine of the play").1
    }

    /// Starts all processes, each in its own way.
    pub(super) async fn start_all(&self, starts: &[FirstStart]) -> Result<(), FleetError> {
        let start = async |machine: &Mutex<Machine>, start| machine.lock().await.start_first(start).await;
        let starting = self.machines.iter().zip(starts).map(|((_, machine), first)| start(machine, *first));
        futures_util::future::try_join_all(starting).await.map(drop)
    }

    /// Numbers of all processes that were started.
    pub(super) async fn pids(&self) -> Vec<u32> {
        let mut pids = Vec::new();
        for (_, machine) in &self.machines {
            pids.extend(&machine.lock().await.pids);
        }
        pids
    }

    pub(super) async fn note_crashes(&self) {
        for (_, machine) in &self.machines {
            let mut machine = machine.lock().await;
            if machine.crashed() {
                self.note_crash(&machine).await;
            }
        }
    }

    pub(super) async fn note_crash(&self, machine: &Machine) {
        let crash = format!("{} ended by itself:\n{}", machine.name, machine.last_lines(5));
        self.crashes.lock().await.push(crash);
    }

    /// Role and number of every process.
    pub(super) fn processes(&self) -> Vec<(Role, usize)> {
        let roles = [Role::ControlNode, Role::StorageNode, Role::ProxyAgent, Role::RequestProxy];
        let count = |role| self.machines.iter().filter(|(other, _)| *other == role).count();
        roles.into_iter().flat_map(|role| (0..count(role)).map(move |number| (role, number))).collect()
    }

    pub(super) async fn logs(&self) -> String {
        let mut logs = String::new();
        for (_, machine) in &self.machines {
            let machine = machine.lock().await;
            logs += &format!("{}:\n{}\n", machine.name, machine.last_lines(3));
        }
        logs
    }
}
