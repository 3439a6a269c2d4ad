//! One message sender with little memory: started, watched, and handed an ordinary message.
use super::crowd::Target;
use super::report::Report;
use super::stand_in;
use super::tier::exchange;
use super::usage::UsageWatch;
use crate::fleet::{FleetError, built_sender, free_address, io, spawn_detached};
use crate::process_ends::process_status;
use crate::serving_tier::soak::Fault;
use message_sender::wire::{HAND_IN, READY};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use std::net::{SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::process::{Child, Command};
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// The greatest legal body of a message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024;
/// Headers of a message.
const MESSAGE_HEADERS: &str = "X-Lane: unsafe\r\nX-Remaining: 20\r\nX-Envelope: dest=7\r\n";
/// Request line of a message, up to the version.
const SUBMIT: &str = "POST /api";
/// After SIGTERM a process has so long until SIGKILL.
const TERMINATION_TIMEOUT: Duration = Duration::from_millis(3_700);
/// It is ready within this, or it does not start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// An ordinary message is tried again for so long.
const ORDINARY_TIMEOUT: Duration = Duration::from_secs(60);
/// Between two tries.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// What the sender may use.
#[derive(Clone, Copy, Debug)]
pub struct SenderLimits {
    /// Memory in MB (10^6 bytes).
    pub memory_mb: u64,
    /// File descriptors.
    pub descriptors: usize,
}

/// A sender on loopback, with one partner.
pub struct SmallSender {
    /// Where clients connect.
    pub address: SocketAddrV4,
    /// What crowds were told.
    pub report: Arc<Report>,
    limits: SenderLimits,
    program: PathBuf,
    life: Mutex<Life>,
    messages: AtomicU64,
    _parties: JoinSet<()>,
    folder: TempDir,
}

/// The present process with the watch over it, and what was found in all lives.
#[derive(Default)]
struct Life {
    process: Option<Child>,
    watch: Option<UsageWatch>,
    excesses: Vec<String>,
}

impl SmallSender {
    /// Starts a sender and waits until it is ready.
    pub async fn start(limits: SenderLimits) -> Result<Self, FleetError> {
        debug_assert!(SUBMIT.ends_with(HAND_IN));
        let program = built_sender()?;
        let folder = tempfile::tempdir().map_err(io("making a folder"))?;
        let report = Arc::new(Report::default());
        let mut parties = JoinSet::new();
        let partner = TcpListener::bind("127.0.0.1:0").await.map_err(io("listening"))?;
        let partner_address = partner.local_addr().map_err(io("listening"))?;
        parties.spawn(stand_in::serve(partner, None, report.clone()));
        let SocketAddr::V4(address) = free_address().await? else {
            return Err(FleetError::Build("no IPv4 address".to_owned()));
        };
        let discovery = free_address().await?;
        let file = folder.path().join("config.json");
        let config = configuration(limits, address, discovery, partner_address);
        std::fs::write(&file, config.to_string()).map_err(io("writing a file"))?;
        let state = folder.path().join("state");
        std::fs::create_dir_all(&state).map_err(io("making a folder"))?;
        let messages = AtomicU64::new(0);
        let life = Mutex::default();
        let sender = Self { address, report, limits, program, life, messages, _parties: parties, folder };
        sender.start_process(&mut *sender.life.lock().await)?;
        sender.get_ready().await?;
        Ok(sender)
    }

    fn start_process(&self, life: &mut Life) -> Result<(), FleetError> {
        let path = |name| self.folder.path().join(name);
        let log = std::fs::File::options().create(true).append(true).open(path("log"));
        let mut command = Command::new(&self.program);
        command.env("PROXY_CONFIG", path("config.json")).env("PROXY_STATE", path("state"));
        let log = log.map_err(io("making a log"))?;
        let process = spawn_detached(&mut command, log).map_err(io("starting a sender"))?;
        life.watch = process.id().map(UsageWatch::start);
        life.process = Some(process);
        Ok(())
    }

    /// Goes through a fault, the new start included.
    pub(super) async fn apply(&self, fault: Fault) -> Result<(), FleetError> {
        let mut life = self.life.lock().await;
        match fault {
            Fault::Reload => life.signal(Signal::SIGHUP),
            Fault::Pause { time } => {
                life.signal(Signal::SIGSTOP);
                sleep(time).await;
                life.signal(Signal::SIGCONT);
            }
            Fault::Kill { down } => self.start_again(&mut life, Signal::SIGKILL, down).await?,
            Fault::Restart { down } => self.start_again(&mut life, Signal::SIGTERM, down).await?,
            // Those of a sender are the schedules of `Trouble::Failures`, which has none of these.
            Fault::Start(_) => {}
        }
        Ok(())
    }

    async fn start_again(&self, life: &mut Life, signal: Signal, down: Duration) -> Result<(), FleetError> {
        life.end(signal, self.limits).await;
        sleep(down).await;
        self.start_process(life)
    }

    async fn get_ready(&self) -> Result<(), FleetError> {
        let head = format!("GET {READY} HTTP/1.1\r\nHost: sender\r\n");
        let ready = async {
            while exchange(self.address, &head, 0).await != Some(200) {
                sleep(RETRY_INTERVAL).await;
            }
        };
        let log = || std::fs::read_to_string(self.folder.path().join("log")).unwrap_or_default();
        let ready = timeout(START_TIMEOUT, ready).await;
        ready.map_err(|_| FleetError::NotReady { sender: 0, log: log() })
    }

    /// What of the greatest usage lay over the limits, and whether a process ended by itself or not in its time: nothing if
    /// all is well. Nothing is watched any more after it.
    pub async fn excesses(&self) -> Vec<String> {
        let mut life = self.life.lock().await;
        life.note_crash();
        life.end_watch(self.limits);
        std::mem::take(&mut life.excesses)
    }

    /// Hands in a small message, again until it is accepted or time is over; whether it was.
    pub async fn ordinary_message_accepted(&self) -> bool {
        let accepted = async {
            while !self.try_message(100).await {
                sleep(RETRY_INTERVAL).await;
            }
        };
        timeout(ORDINARY_TIMEOUT, accepted).await.is_ok()
    }

    /// Hands in a message of the greatest legal length; whether it is accepted at the first try.
    pub async fn greatest_message_accepted(&self) -> bool {
        self.try_message(MAX_MESSAGE_BYTES).await
    }

    async fn try_message(&self, length: usize) -> bool {
        let number = self.messages.fetch_add(1, Ordering::Relaxed);
        let head = format!("{SUBMIT} HTTP/1.1\r\nHost: sender\r\nX-Txn: {number:016x}\r\n{MESSAGE_HEADERS}");
        exchange(self.address, &head, length).await == Some(202)
    }

    /// Where clients hand in messages.
    pub fn submissions(&self) -> Target {
        Target {
            address: self.address,
            request: SUBMIT,
            headers: MESSAGE_HEADERS,
            continues: false,
            id_header: "X-Txn",
            max_body_bytes: MAX_MESSAGE_BYTES,
        }
    }
}

impl Life {
    fn signal(&self, signal: Signal) {
        let id = self.process.as_ref().and_then(Child::id);
        // Before its first instruction the kernel ends a process.
        if signal == Signal::SIGHUP && !id.is_some_and(|id| process_status::catches(id, signal)) {
            return;
        }
        let pid = id.and_then(|id| i32::try_from(id).ok());
        // One that has just ended hears nothing.
        let _ = pid.map(|pid| kill(Pid::from_raw(pid), signal));
    }

    /// Ends the process by a signal, and notes if that takes too long.
    async fn end(&mut self, signal: Signal, limits: SenderLimits) {
        self.note_crash();
        self.signal(signal);
        if let Some(mut process) = self.process.take()
            && timeout(TERMINATION_TIMEOUT, process.wait()).await.is_err()
        {
            self.excesses.push(format!("the sender did not end in its time after {signal}"));
            let _ = process.kill().await;
        }
        self.end_watch(limits);
    }

    fn note_crash(&mut self) {
        if !self.process.as_mut().is_some_and(|process| matches!(process.try_wait(), Ok(None))) {
            self.excesses.push("the sender ended by itself".to_owned());
        }
    }

    /// Compares the greatest usage of the life that ends with the limits.
    fn end_watch(&mut self, limits: SenderLimits) {
        let Some(watch) = self.watch.take() else { return };
        let peak = watch.stop();
        println!("message-sender: at most {peak:?}");
        if peak.memory_bytes > limits.memory_mb * 1_000_000 || peak.descriptors > limits.descriptors {
            self.excesses.push(format!("the sender used {peak:?} of {limits:?}"));
        }
    }
}

/// The configuration of a sender with one partner.
pub(crate) fn configuration(
    limits: SenderLimits,
    listen: SocketAddrV4,
    discovery: SocketAddr,
    partner: SocketAddr,
) -> Value {
    let lane = json!({"name": "unsafe", "aim": 1_000_000, "hard_limit": 30_000_000, "worth": 1.0,
        "late_value": 0.3, "repeat": "fragile", "group": "all", "key_ttl": 20_000_000, "fifo_by_key": false});
    let member = json!({"id": "one", "host_port": partner.to_string(), "locality": "a", "flavor": "single",
        "cell": 7, "phase": "SERVING", "size": 1.0, "up_since_ms": 0});
    json!({
        "name": "n1", "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.descriptors, "disk_mb": 64},
        "known": {"revision": 1, "complete": true, "members": [member]},
        "settings": {
            "azs": ["a", "b"], "zone": "a", "discovery": "pushed", "fleet_size": 1,
            "kinds": ["single"], "lanes": [lane],
            "limits": {"cancel": true, "connect_timeout": 1_500_000, "conn_idle": 5_000_000, "max_attempts": 6,
                "most_held": 50, "probes": false},
            "invariants": {"drain_grace": 1_000_000, "cold_share": 0.2, "ramp_time": 9_000_000,
                "overload_factor": 2.0, "fall": 1_500_000, "order_settle": 0, "must_ask_in": 10_000_000},
            "specifics": {"bundle_max": [1], "kind_apart": [false], "decay": "even", "max_calls": 8},
            "tenants": [{"name": "acme", "allowance_per_s": 10.0}],
            "period": 5000, "report": {"how": "none", "names": []}, "weights": "none"
        }
    })
}
