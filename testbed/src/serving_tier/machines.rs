//! The tier's machines: real processes on loopback addresses, each with a settings file and, where it has a disk, a folder.
use super::endpoints::mixed;
use crate::built::build_folder;
use crate::fleet::{FleetError, io, spawn_detached};
use crate::process_ends::process_status;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::process::{Child, Command};
use tokio::time::timeout;

/// Ports of all machines: the first four are those among processes.
const FIRST_PORT: u16 = 7_380;
const LAST_PORT: u16 = FIRST_PORT + 15;
const CONTROL_PORT: u16 = 8_144;
const FRONT_PORT: u16 = 8_149;
const READINESS_PORT: u16 = 8_141;
/// Held for as long as the addresses of a run are in use, so that no other run takes them.
const RESERVATION_PORT: u16 = 7_379;
/// Blocks of 256 addresses that are tried for a run.
const MAX_BLOCK_SEARCHES: u64 = 200;
/// Last bytes of the addresses of each class of machines, from the first on, and of the reservation.
const FIRST_CORE: u8 = 1;
const FIRST_STORAGE: u8 = 20;
const FIRST_EDGE: u8 = 80;
const RESERVATION: u8 = 254;

/// Zones with their region.
const ZONES: [&str; 3] = ["lab-a", "lab-b", "lab-c"];

/// A program of the tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// On core machines.
    ControlNode,
    /// On storage machines.
    StorageNode,
    /// On edge machines, beside each proxy.
    ProxyAgent,
    /// On edge machines.
    RequestProxy,
}

impl Role {
    /// Its program's name.
    pub fn program(self) -> &'static str {
        match self {
            Self::ControlNode => "control-node",
            Self::StorageNode => "storage-node",
            Self::ProxyAgent => "proxy-agent",
            Self::RequestProxy => "request-proxy",
        }
    }

    /// What its program was called before, where a build from then is run beside the present one.
    fn former_program(self) -> &'static str {
        match self {
            Self::ControlNode => "config-keeper",
            Self::StorageNode => "turn-keeper",
            Self::ProxyAgent => "proxy-agent",
            Self::RequestProxy => "request-proxy",
        }
    }

    /// What its program is called in a folder of programs.
    fn program_in(self, programs: &Path) -> &'static str {
        let is_former =
            !programs.join(self.program()).exists() && programs.join(self.former_program()).exists();
        if is_former { self.former_program() } else { self.program() }
    }

    fn class(self) -> (&'static str, &'static [&'static str]) {
        match self {
            Self::ControlNode => ("core", &["control_plane"]),
            Self::StorageNode => ("storage", &["storage"]),
            Self::ProxyAgent => ("edge", &[]),
            Self::RequestProxy => ("edge", &["edge"]),
        }
    }

    fn has_disk(self) -> bool {
        matches!(self, Self::ControlNode | Self::StorageNode)
    }
}

/// Programs of an earlier build, on every other machine: what a tier is in the middle of an upgrade.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Older {
    /// The folder with that build's programs.
    pub programs: PathBuf,
    /// Whether they are on the first machine of each kind and each second one after it, or on those between.
    pub is_first: bool,
}

/// Where the machines have their programs from.
#[derive(Clone, Copy, Debug)]
pub struct Programs<'a> {
    /// The folder with the present build's programs.
    pub present: &'a Path,
    /// The earlier build, where there is one.
    pub older: Option<&'a Older>,
}

impl Programs<'_> {
    /// The folder that machines with this number start from, and whether that is the earlier build's.
    pub fn of(&self, number: usize) -> (&Path, bool) {
        match self.older {
            Some(older) if number.is_multiple_of(2) == older.is_first => (&older.programs, true),
            _ => (self.present, false),
        }
    }
}

/// Addresses of all machines, each with an address of its own and the same ports.
#[derive(Clone, Debug)]
pub struct Addresses {
    /// Core machines.
    pub core: Vec<Ipv4Addr>,
    /// Storage machines.
    pub storage: Vec<Ipv4Addr>,
    /// Edge machines.
    pub edge: Vec<Ipv4Addr>,
    _reservation: Arc<TcpListener>,
}

impl Addresses {
    /// Addresses for this many machines, which no other run uses until they are dropped.
    pub async fn reserve(core: u8, storage: u8, edge: u8, seed: u64) -> Result<Self, FleetError> {
        for search in 0..MAX_BLOCK_SEARCHES {
            let [high, low, ..] = mixed(mixed(seed) ^ u64::from(std::process::id()) ^ search).to_le_bytes();
            // Apart from the addresses of stand-ins, and from 127.0.0.0/24.
            let ip = |last: u8| Ipv4Addr::new(127, 128 | high, low, last);
            let Ok(reservation) = TcpListener::bind((ip(RESERVATION), RESERVATION_PORT)).await else {
                continue;
            };
            let ips = |first: u8, count: u8| (first..first + count).map(ip).collect();
            return Ok(Self {
                core: ips(FIRST_CORE, core),
                storage: ips(FIRST_STORAGE, storage),
                edge: ips(FIRST_EDGE, edge),
                _reservation: Arc::new(reservation),
            });
        }
        Err(FleetError::Io { what: "finding free addresses", source: std::io::ErrorKind::AddrInUse.into() })
    }

    /// Where the operator calls a core machine.
    pub fn control(&self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.core[number], CONTROL_PORT)
    }

    /// Where clients call an edge machine.
    pub fn front(&self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.edge[number], FRONT_PORT)
    }

    /// Where the platform asks an edge machine whether it is ready.
    pub fn readiness(&self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.edge[number], READINESS_PORT)
    }

    /// The settings of a process.
    fn settings(&self, role: Role, number: usize, platform: SocketAddrV4, grace_s: f64) -> Value {
        let (class, serves) = role.class();
        let ip = match class {
            "core" => self.core[number],
            "storage" => self.storage[number],
            _ => self.edge[number],
        };
        let listen = match role {
            Role::ControlNode => json!({"control_plane": self.control(number)}),
            Role::RequestProxy => json!({"front": self.front(number), "readiness": self.readiness(number)}),
            Role::StorageNode | Role::ProxyAgent => json!({}),
        };
        let seeds: Vec<_> = (0..self.core.len().min(3)).map(|number| self.control(number)).collect();
        let zones: serde_json::Map<_, _> =
            ZONES.iter().map(|zone| ((*zone).to_owned(), json!("lab"))).collect();
        json!({
            "node_name": format!("{class}-{number}"), "role": role.program(), "machine_class": class,
            "serves": serves, "ip_address": ip, "zone": ZONES[number % ZONES.len()], "region": "lab",
            "zones": zones, "listen_addresses": listen, "internal_port_range": [FIRST_PORT, LAST_PORT],
            "seed_nodes": seeds, "first_start": true, "counted_loss": false,
            "limits": {"cpu_share": 1.0, "cpu_cores": 1, "memory_mb": 400, "max_file_descriptors": 4100,
                "link_mbps": 1000.0, "disk_mb": if role.has_disk() { 1000 } else { 0 }},
            "data_directory": null, "discovery": "cloud_api", "entry_mode": "virtual_ip",
            "heartbeat_interval_ms": 1000,
            "contracts": ["base", "drain", "config", "recover", "agent", "stream", "engine"],
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {"grace_period_s": grace_s, "drain_ms": 2000, "catch_up_s": 4.0, "config_apply_ms": 2000,
                "recovery_s": 12},
            "cloud_api": {"address": platform, "rate_per_s": 10.0, "duties": [], "max_lag_ms": 500},
        })
    }
}

/// The folder with the tier's programs, built if they are not up to date, in the profile of the test bed itself.
pub fn built_programs() -> Result<PathBuf, FleetError> {
    let roles = [Role::ControlNode, Role::StorageNode, Role::ProxyAgent, Role::RequestProxy];
    build_folder(&["-p", "system-programs", "--bins"], roles.map(Role::program))
}

/// One process of the tier. Dropping it kills the process.
pub struct Machine {
    /// Its role and its number among those of the role.
    pub name: String,
    program: PathBuf,
    folder: PathBuf,
    settings: Value,
    starts: u32,
    /// Numbers of all its processes.
    pub pids: Vec<u32>,
    latest_pid: LatestPid,
    child: Option<Child>,
}

/// The number of a machine's latest process, readable while the machine goes through a fault; 0 before the first.
pub type LatestPid = Arc<AtomicU32>;

/// How a log line begins that tells of a panic or of a failed part, after its time and level.
const FAILED_PART_MARKS: [&str; 2] = ["ERROR panic:", "ERROR part failed"];

impl Machine {
    /// One in a folder of its own below `folder`, not yet started.
    pub fn new(
        programs: Programs<'_>,
        folder: &Path,
        addresses: &Addresses,
        (role, number): (Role, usize),
        platform: SocketAddrV4,
        grace_s: f64,
    ) -> Result<Self, FleetError> {
        let name = format!("{}-{number}", role.program());
        let folder = folder.join(&name);
        let (programs, is_older) = programs.of(number);
        let program = role.program_in(programs);
        let mut settings = addresses.settings(role, number, platform, grace_s);
        if is_older {
            settings["role"] = json!(program);
        }
        let data = folder.join("data");
        std::fs::create_dir_all(&data).map_err(io("making a folder"))?;
        if role.has_disk() {
            settings["data_directory"] = json!(data);
        }
        Ok(Self {
            name,
            program: programs.join(program),
            folder,
            settings,
            starts: 0,
            pids: Vec::new(),
            latest_pid: LatestPid::default(),
            child: None,
        })
    }

    /// Starts the process with its settings, and with what its folder holds.
    pub fn start(&mut self) -> Result<(), FleetError> {
        self.write_settings()?;
        self.start_with_present_settings()
    }

    /// Starts the process while its settings file is empty.
    pub fn start_without_settings(&mut self) -> Result<(), FleetError> {
        self.write_text("")?;
        self.start_with_present_settings()
    }

    /// Writes its settings.
    pub fn write_settings(&mut self) -> Result<(), FleetError> {
        // JSON is YAML.
        self.write_text(&self.settings.to_string())?;
        // Whatever comes after this is no first start.
        self.set_restarted();
        Ok(())
    }

    /// No start from now on is a first start.
    pub(super) fn set_restarted(&mut self) {
        self.settings["first_start"] = json!(false);
    }

    /// Writes the first half of its settings.
    pub fn write_half_of_the_settings(&self) -> Result<(), FleetError> {
        let text = self.settings.to_string();
        self.write_text(&text[..text.len() / 2])
    }

    fn settings_file(&self) -> PathBuf {
        self.folder.join("node.yaml")
    }

    fn write_text(&self, text: &str) -> Result<(), FleetError> {
        std::fs::write(self.settings_file(), text).map_err(io("writing a file"))
    }

    fn start_with_present_settings(&mut self) -> Result<(), FleetError> {
        let log = std::fs::File::options().create(true).append(true).open(self.folder.join("log"));
        let mut command = Command::new(&self.program);
        command.env("SEDGEWOOD_BOOT", self.settings_file());
        let log = log.map_err(io("making a log"))?;
        let child = spawn_detached(&mut command, log).map_err(io("starting a program"))?;
        self.starts += 1;
        self.pids.extend(child.id());
        self.latest_pid.store(child.id().unwrap_or_default(), Ordering::Relaxed);
        self.child = Some(child);
        Ok(())
    }

    /// Replaces fields of its settings by those of `fields`, in each start from now on.
    pub fn configure(&mut self, fields: serde_json::Map<String, Value>) {
        for (name, value) in fields {
            self.settings[name.as_str()] = value;
        }
    }

    /// SIGHUP, unless the process does not handle it yet: before its first instruction the kernel ends it.
    pub fn reload(&self) {
        if self.catches(Signal::SIGHUP) {
            self.signal(Signal::SIGHUP);
        }
    }

    /// SIGSTOP: it keeps its memory and its connections, and does nothing.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid().and_then(|id| i32::try_from(id).ok()) {
            // One that has just ended hears nothing.
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }

    /// Whether it was started and has ended by itself.
    pub fn crashed(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// SIGKILL, and waits for the end.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }

    /// SIGTERM, and a new process while the former is still ending; true if that ended within `max_wait`.
    pub async fn start_beside_the_former(&mut self, max_wait: Duration) -> Result<bool, FleetError> {
        self.signal(Signal::SIGTERM);
        let former = self.child.take();
        self.start()?;
        let Some(mut former) = former else { return Ok(true) };
        let exited = timeout(max_wait, former.wait()).await.is_ok();
        if !exited {
            let _ = former.kill().await;
        }
        Ok(exited)
    }

    /// Whether the process handles a signal now, rather than being ended by it.
    pub fn catches(&self, signal: Signal) -> bool {
        self.pid().is_some_and(|pid| process_status::catches(pid, signal))
    }

    /// SIGTERM, waits for the end, and SIGKILL where it does not come within `max_wait`; true if it came.
    pub async fn terminate(&mut self, max_wait: Duration) -> bool {
        let Some(mut child) = self.child.take() else { return false };
        if let Some(pid) = child.id().and_then(|id| i32::try_from(id).ok()) {
            // One that has just ended hears nothing.
            let _ = kill(Pid::from_raw(pid), Signal::SIGTERM);
        }
        let exited = timeout(max_wait, child.wait()).await.is_ok();
        if !exited {
            let _ = child.kill().await;
        }
        exited
    }

    /// Gives it an empty disk; the former one is deleted with the run. Its process must have ended.
    pub async fn wipe(&self) -> Result<(), FleetError> {
        let data = self.folder.join("data");
        // Removing a folder waits for the disk; renaming it seldom does.
        let lost = self.folder.join(format!("lost-{}", self.starts));
        tokio::fs::rename(&data, &lost).await.map_err(io("emptying a folder"))?;
        tokio::fs::create_dir(&data).await.map_err(io("making a folder"))
    }

    /// Its process's number.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    /// The number of its latest process, kept up to date.
    pub fn latest_pid(&self) -> LatestPid {
        self.latest_pid.clone()
    }

    /// Lines of its log that tell of a panic, or of a part that failed.
    pub fn failed_parts(&self) -> Vec<String> {
        let text = std::fs::read(self.folder.join("log")).unwrap_or_default();
        let is_failure = |line: &&str| FAILED_PART_MARKS.iter().any(|mark| line.contains(mark));
        let lines = String::from_utf8_lossy(&text);
        lines.lines().filter(is_failure).map(|line| format!("{}: {line}", self.name)).collect()
    }

    /// The end of its log.
    pub fn last_lines(&self, count: usize) -> String {
        let text = std::fs::read(self.folder.join("log")).unwrap_or_default();
        let text = String::from_utf8_lossy(&text);
        let lines: Vec<_> = text.lines().collect();
        lines[lines.len().saturating_sub(count)..].join("\n")
    }
}
