//! The senders of a run: real processes with a folder and a configuration each, ended with the run.
use crate::built::build_folder;
use crate::directory::invariants;
use crate::plan::Plan;
use crate::scenario::{Baseline, Effect, Scenario, Variant};
use message_sender::wire::READY;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;
use tempfile::TempDir;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep, timeout};

/// The sender's program.
const SENDER: &str = "message-sender";
/// A sender that is not ready by then does not start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// After SIGTERM a process has so long until SIGKILL.
const TERMINATION_TIMEOUT: Duration = Duration::from_millis(3700);
/// Time for the last lines of a sender that has ended to come.
const LAST_LINES: Duration = Duration::from_millis(200);
/// Pause between questions whether a sender is ready.
const ADMIN_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Starts a process without input and output that is killed when the result is dropped. It has a group of its own: ctrl-C is for
/// the test bed, which then ends its processes.
pub(crate) fn spawn_detached(command: &mut Command, stderr: impl Into<Stdio>) -> std::io::Result<Child> {
    command
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(stderr)
        .process_group(0)
        .kill_on_drop(true)
        .spawn()
}

/// Why a fleet cannot be had.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The sender's program could not be built.
    #[error("building the sender: {0}")]
    Build(String),
    /// Something of the machine's.
    #[error("{what}: {source}")]
    Io {
        /// What was tried.
        what: &'static str,
        /// Why it failed.
        source: std::io::Error,
    },
    /// The history could not be stored.
    #[error(transparent)]
    History(#[from] crate::peers::history::HistoryError),
    /// A sender did not get ready.
    #[error("sender {sender} did not start; its log ends with:\n{log}")]
    NotReady {
        /// Which.
        sender: usize,
        /// The end of its log.
        log: String,
    },
    /// Not all proxies of a serving tier got ready.
    #[error("{ready} of {all} proxies got ready; the logs end with:\n{logs}")]
    TierNotReady {
        /// Proxies that did.
        ready: usize,
        /// All proxies.
        all: usize,
        /// The end of all logs.
        logs: String,
    },
    /// A variant sets a key that is no place in a configuration.
    #[error("variant {variant:?}: {key:?} is no key of a configuration")]
    NoKey {
        /// The variant.
        variant: String,
        /// The key.
        key: String,
    },
}

/// An error of the machine's, by what was tried.
pub(crate) fn io(what: &'static str) -> impl FnOnce(std::io::Error) -> FleetError {
    move |source| FleetError::Io { what, source }
}

/// What a variant runs.
#[derive(Clone, Debug)]
pub enum Program {
    /// A sender.
    Sender(PathBuf),
    /// A plain sender of the test bed.
    Baseline(Baseline),
}

/// The sender of this project, built if it is not up to date, in the profile of the test bed itself.
pub fn built_sender() -> Result<PathBuf, FleetError> {
    let folder = build_folder(&["--bin", SENDER], [SENDER])?;
    Ok(folder.join(SENDER))
}

/// The faults that are injected into a sender's process at present.
#[derive(Clone, Copy, Debug, Default)]
pub struct ActiveFaults {
    /// How many faults keep it down at present.
    pub down: usize,
    /// It does not come back.
    pub departed: bool,
    /// It gets no processor time.
    pub paused: bool,
    /// Its disk takes nothing.
    pub full: bool,
}

/// Takes the lines that a sender writes to its log.
pub type Sink = Arc<dyn Fn(usize, &str) + Send + Sync>;

/// One sender.
pub struct Node {
    /// What faults do to it.
    pub active_faults: ActiveFaults,
    /// How often it was started.
    pub starts: u32,
    /// Its second address, where it has one.
    pub mgmt: Option<SocketAddr>,
    sink: Option<Sink>,
    /// Its number.
    pub number: usize,
    /// Where clients connect.
    pub address: SocketAddr,
    folder: TempDir,
    child: Option<Child>,
    program: Program,
}

/// Addresses that were free a moment ago.
pub async fn free_address() -> Result<SocketAddr, FleetError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.map_err(io("finding a port"))?;
    listener.local_addr().map_err(io("finding a port"))
}

/// What a sender is told, as the deployment page has it.
pub fn configuration(
    scenario: &Scenario,
    plan: &Plan,
    number: usize,
    addresses: (SocketAddr, SocketAddr),
    known: &Value,
    seed: u64,
) -> Value {
    let lane = |c: &crate::scenario::Class| {
        let (repeat, group) = match c.effect {
            Effect::Safe => ("retryable", None),
            Effect::Keyed => ("dedup", Some("all")),
            Effect::Unsafe => ("fragile", None),
        };
        let us = |ms: f64| (ms * 1000.0) as u64;
        json!({"name": c.name, "aim": us(c.latency_target_ms), "hard_limit": us(c.deadline_ms), "worth": c.value,
            "late_value": c.late_value, "repeat": repeat, "group": group,
            "key_ttl": (c.effect == Effect::Keyed).then(|| us(c.window_ms)), "fifo_by_key": false})
    };
    let f = &scenario.fleet;
    json!({
        "name": format!("n{number}"), "listen": addresses.0.to_string(), "discovery": addresses.1.to_string(),
        "seed": format!("{:016x}", seed.wrapping_mul(0x9E37_79B9_7F4A_7C15).wrapping_add(number as u64)),
        "limits": {"cores": 1.0, "memory_mb": f.memory_mb, "sockets": f.sockets, "disk_mb": f.disk_mb},
        "known": known,
        "settings": {
            "azs": ["a"], "zone": "a", "discovery": "on_request", "fleet_size": f.senders,
            "kinds": scenario.partners.iter().map(|k| k.name.as_str()).collect::<Vec<_>>(),
            "lanes": scenario.classes.iter().map(lane).collect::<Vec<_>>(),
            "limits": {"cancel": true, "connect_timeout": 1_000_000, "conn_idle": 5_000_000,
                "max_attempts": f.max_attempts, "most_held": plan.max_pending, "probes": false},
            "invariants": invariants(&scenario.rules),
            "specifics": {"decay": "by_half", "max_calls": plan.slots},
            "period": 5000, "report": {"how": "none", "names": []}, "weights": "nominal"
        }
    })
}

/// Sets a key of a configuration by its path. Objects on the way must be there.
fn set_key(config: &mut Value, path: &str, value: &toml::Value) -> Option<()> {
    let mut at = config;
    let mut parts = path.split('.').peekable();
    while let Some(part) = parts.next() {
        let object = at.as_object_mut()?;
        if parts.peek().is_none() {
            object.insert(part.to_owned(), serde_json::to_value(value).ok()?);
            return Some(());
        }
        at = object.get_mut(part)?;
    }
    None
}

/// Sets the keys of a variant.
pub fn apply(variant: &Variant, config: &mut Value) -> Result<(), FleetError> {
    for (key, value) in &variant.set {
        set_key(config, key, value)
            .ok_or_else(|| FleetError::NoKey { variant: variant.name.clone(), key: key.clone() })?;
    }
    Ok(())
}

impl Node {
    /// A sender, not yet started.
    pub fn new(
        number: usize,
        address: SocketAddr,
        program: Program,
        mut config: Value,
        variant: &Variant,
    ) -> Result<Self, FleetError> {
        apply(variant, &mut config)?;
        let folder = tempfile::tempdir().map_err(io("making a folder"))?;
        std::fs::create_dir(folder.path().join("state")).map_err(io("making a folder"))?;
        std::fs::write(folder.path().join("config.json"), config.to_string())
            .map_err(io("writing a file"))?;
        let mgmt = config["mgmt"].as_str().and_then(|address| address.parse().ok());
        let active_faults = ActiveFaults::default();
        Ok(Self { active_faults, starts: 0, mgmt, sink: None, number, address, folder, child: None, program })
    }

    /// Hands on its log line by line; else it goes to a file alone.
    pub fn set_log_sink(&mut self, sink: Sink) {
        self.sink = Some(sink);
    }

    /// The folder that outlasts its process.
    pub fn state(&self) -> PathBuf {
        self.folder.path().join("state")
    }

    /// Starts the process on what its folder holds, and waits until it is ready.
    pub async fn start(&mut self) -> Result<(), FleetError> {
        self.spawn()?;
        let deadline = Instant::now() + START_TIMEOUT;
        while Instant::now() < deadline && !self.has_exited() {
            if ready(self.address).await {
                return Ok(());
            }
            sleep(ADMIN_RETRY_INTERVAL).await;
        }
        // Its last lines may be on their way.
        sleep(LAST_LINES).await;
        Err(FleetError::NotReady { sender: self.number, log: self.last_lines(5) })
    }

    /// Starts the process.
    pub fn spawn(&mut self) -> Result<(), FleetError> {
        self.starts += 1;
        let log = std::fs::File::options().create(true).append(true).open(self.log_path());
        let mut command = match &self.program {
            // A write past a limit on files is to fail, as on a full disk, and not to end the process.
            Program::Sender(path) if self.sink.is_some() => {
                let mut shell = Command::new("/bin/sh");
                shell.args(["-c", "trap '' XFSZ; exec \"$0\""]).arg(path);
                shell
            }
            Program::Sender(path) => Command::new(path),
            Program::Baseline(baseline) => {
                let mut lab = Command::new(std::env::current_exe().map_err(io("finding this program"))?);
                lab.arg("baseline-sender").arg(baseline.word());
                lab
            }
        };
        let mut log = Some(log.map_err(io("making a log"))?);
        let stderr = match &self.sink {
            Some(_) => Stdio::piped(),
            None => log.take().map_or_else(Stdio::null, Stdio::from),
        };
        command
            .env("PROXY_CONFIG", self.folder.path().join("config.json"))
            .env("PROXY_STATE", self.folder.path().join("state"));
        let mut child = spawn_detached(&mut command, stderr).map_err(io("starting a sender"))?;
        if let (Some(sink), Some(stderr), Some(mut log)) = (&self.sink, child.stderr.take(), log) {
            let (sink, number) = (sink.clone(), self.number);
            tokio::spawn(async move {
                let mut lines = BufReader::new(stderr).lines();
                while let Ok(Some(line)) = lines.next_line().await {
                    // The file is for the end of the log alone.
                    let _ = writeln!(log, "{line}");
                    sink(number, &line);
                }
            });
        }
        self.child = Some(child);
        Ok(())
    }

    /// Whether a process of it runs.
    pub fn running(&mut self) -> bool {
        !self.has_exited()
    }

    /// The code that its process ended with by itself.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.as_mut()?.try_wait().ok()??.code()
    }

    /// Its process's number.
    pub fn pid(&self) -> Option<i32> {
        self.child.as_ref().and_then(Child::id).and_then(|id| i32::try_from(id).ok())
    }

    fn log_path(&self) -> PathBuf {
        self.folder.path().join("log")
    }

    /// The end of its log.
    pub fn last_lines(&self, count: usize) -> String {
        let text = std::fs::read(self.log_path()).unwrap_or_default();
        let text = String::from_utf8_lossy(&text);
        let lines: Vec<_> = text.lines().collect();
        lines[lines.len().saturating_sub(count)..].join("\n")
    }

    /// Whether its process has ended, by itself or not.
    pub fn has_exited(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Sends a signal to its process.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            // One that has just ended hears nothing.
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }

    /// SIGKILL, and waits for the end.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }

    /// SIGTERM, waits for the end, and SIGKILL where it does not come.
    pub async fn terminate(&mut self) {
        self.signal(Signal::SIGTERM);
        if let Some(child) = self.child.as_mut()
            && timeout(TERMINATION_TIMEOUT, child.wait()).await.is_ok()
        {
            self.child = None;
            return;
        }
        self.kill().await;
    }
}

/// Whether a sender says that it is to be used.
async fn ready(address: SocketAddr) -> bool {
    let ask = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let request = format!("GET {READY} HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).await.ok()?;
        Some(answer.ends_with(b"200"))
    };
    timeout(Duration::from_millis(500), ask).await.ok().flatten().unwrap_or(false)
}
