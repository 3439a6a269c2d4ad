//! A process of a small tier: what it may use, its usage in each of its lives, and the faults that it goes through.
use super::usage::UsageWatch;
use crate::fleet::FleetError;
use crate::serving_tier::machines::{Machine, Role};
use crate::serving_tier::soak::Fault;
use serde_json::json;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::sleep;

/// From SIGTERM to SIGKILL, in seconds.
pub(super) const GRACE_PERIOD_S: f64 = 6.0;
/// Lines of a log that are shown.
const LOG_LINES: usize = 5;

/// How many machines the tier has, and what each of its processes may use.
#[derive(Clone, Copy, Debug)]
pub struct TierLimits {
    /// Core machines.
    pub core: u8,
    /// Storage machines.
    pub storage: u8,
    /// Edge machines.
    pub edge: u8,
    /// Memory of a process that admits callers, in MB (10^6 bytes).
    pub memory_mb: u64,
    /// Memory of a process on a storage machine, in MB.
    pub storage_memory_mb: u64,
    /// File descriptors of a process.
    pub descriptors: usize,
}

impl TierLimits {
    fn memory_mb_of(self, role: Role) -> u64 {
        if role == Role::StorageNode { self.storage_memory_mb } else { self.memory_mb }
    }

    /// The fields of the settings that state the limits of a process.
    pub(super) fn settings(self, role: Role) -> serde_json::Map<String, serde_json::Value> {
        let fields = json!({"limits": {
            "cpu_share": 1.0, "cpu_cores": 1, "memory_mb": self.memory_mb_of(role),
            "max_file_descriptors": self.descriptors, "link_mbps": 1000.0, "disk_mb": 1000,
        }});
        fields.as_object().cloned().unwrap_or_default()
    }
}

/// A process whose usage is sampled from each start to its end.
pub struct WatchedProcess {
    /// Its role.
    pub role: Role,
    /// Its number among those of the role.
    pub number: usize,
    limits: TierLimits,
    life: Mutex<Life>,
}

/// The machine, the watch over its present process, and what was found in all its lives.
struct Life {
    machine: Machine,
    watch: Option<UsageWatch>,
    excesses: Vec<String>,
}

impl WatchedProcess {
    /// One that is not started yet.
    pub(super) fn new(role: Role, number: usize, machine: Machine, limits: TierLimits) -> Self {
        let life = Mutex::new(Life { machine, watch: None, excesses: Vec::new() });
        Self { role, number, limits, life }
    }

    /// Starts the process.
    pub(super) async fn start(&self) -> Result<(), FleetError> {
        self.life.lock().await.start()
    }

    /// Goes through a fault, the new start included.
    pub async fn apply(&self, fault: Fault) -> Result<(), FleetError> {
        let mut life = self.life.lock().await;
        if life.note_crash() {
            life.end_watch(self.role, self.limits);
            life.start()?;
        }
        match fault {
            Fault::Reload => life.machine.reload(),
            Fault::Pause { time } => {
                life.machine.pause();
                sleep(time).await;
                life.machine.resume();
            }
            Fault::Kill { down } => {
                life.machine.kill().await;
                life.start_again(self, down).await?;
            }
            Fault::Restart { down } => {
                if !life.machine.terminate(Duration::from_secs_f64(GRACE_PERIOD_S)).await {
                    let late = format!("{} did not end in its time after SIGTERM", life.machine.name);
                    life.excesses.push(late);
                }
                life.start_again(self, down).await?;
            }
            Fault::Start(fault) => {
                let late = life.machine.go_through(fault, Duration::from_secs_f64(GRACE_PERIOD_S)).await?;
                life.excesses.extend(late);
                life.end_watch(self.role, self.limits);
                life.watch = life.machine.pid().map(UsageWatch::start);
            }
        }
        Ok(())
    }

    /// Ends the watch; returns what was found in all lives.
    pub(super) async fn excesses(&self) -> Vec<String> {
        let mut life = self.life.lock().await;
        life.note_crash();
        life.end_watch(self.role, self.limits);
        std::mem::take(&mut life.excesses)
    }

    /// The end of its log.
    pub(super) async fn last_lines(&self) -> String {
        let life = self.life.lock().await;
        format!("{}:\n{}\n", life.machine.name, life.machine.last_lines(LOG_LINES))
    }
}

impl Life {
    fn start(&mut self) -> Result<(), FleetError> {
        self.machine.start()?;
        self.watch = self.machine.pid().map(UsageWatch::start);
        Ok(())
    }

    async fn start_again(&mut self, process: &WatchedProcess, down: Duration) -> Result<(), FleetError> {
        self.end_watch(process.role, process.limits);
        sleep(down).await;
        self.start()
    }

    /// Notes that the process has ended by itself, if it has.
    fn note_crash(&mut self) -> bool {
        let crashed = self.machine.crashed();
        if crashed {
            let log = self.machine.last_lines(LOG_LINES);
            self.excesses.push(format!("{} ended by itself:\n{log}", self.machine.name));
        }
        crashed
    }

    /// Compares the greatest usage of the life that ends with the limits.
    fn end_watch(&mut self, role: Role, limits: TierLimits) {
        let Some(watch) = self.watch.take() else { return };
        let peak = watch.stop();
        println!("{}: at most {peak:?}", self.machine.name);
        let memory_bytes = limits.memory_mb_of(role) * 1_000_000;
        if peak.memory_bytes > memory_bytes || peak.descriptors > limits.descriptors {
            self.excesses.push(format!("{} used {peak:?} of {limits:?}", self.machine.name));
        }
    }
}
