//! A fleet that knows itself, on processes: the faults of the schedule, done to real senders and to the links between them,
//! and what the senders say of their fleet, both written into one history.
use super::check::{Verdict, check};
use super::history::{self, At, Event, HistoryError, SeenMember, What};
use super::links::Links;
use super::schedule::{Kind, Met, Peers};
use crate::clients::Clients;
use crate::environment::Stage;
use crate::fleet::{FleetError, Node};
use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::{Pid, Resource, Rlimit, prlimit};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, interval, sleep, sleep_until, timeout};

/// Each sender is asked this often, and a little less often for each one there is, as the test bed shares their machine.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
const FAST_POLL_INTERVAL: Duration = Duration::from_millis(8);
/// How long an answer is waited for.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);
/// How long operators go on asking for a removal.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(40);
/// How late the last fault's end may leave a view besides the bound, until the run ends.
const SETTLE_MARGIN_S: f64 = 1.0;
/// A starved process runs for so long between two stops.
const STARVED_RUN_TIME: Duration = Duration::from_millis(30);
/// The exit code of a sender whose folder another one has a copy of.
const COPIED_FOLDER_EXIT_CODE: i32 = 3;
/// Lines of all logs that are retained.
const MAX_LOG_LINES: usize = 400_000;

/// The outcome of the fleet's promises.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Promises {
    /// What the checker says.
    pub verdict: Verdict,
    /// The history, with the logs beside it, ending in `.log`.
    pub history: PathBuf,
    /// What the schedule does to folders, so that messages on them are lost, or doubled, by its will.
    pub folders: bool,
    /// Datagrams, bytes of them, bytes over connections: of each sender, a second.
    pub carried: [f64; 3],
}

/// Everything that was done and seen, and what the senders wrote meanwhile.
#[derive(Default)]
struct Record {
    events: Vec<Event>,
    lines: Vec<(At, usize, String)>,
}

/// The rig of one run.
pub struct Rig {
    peers: Peers,
    schedule: Vec<Met>,
    links: Arc<Links>,
    record: Mutex<Record>,
    stage: Arc<Stage>,
    seed: u64,
}

/// A sender under a lock: what is done to it and what it is asked are told apart in time by that.
pub type Shared = Arc<tokio::sync::Mutex<Node>>;

/// A row of `fleet view`.
#[derive(Deserialize)]
struct Viewed {
    number: u64,
    confirmed: bool,
    halted: Option<String>,
    members: Vec<SeenMember>,
}

/// What `fleet mark` says.
#[derive(Clone, PartialEq, Deserialize)]
struct Marked {
    fleet: Option<String>,
    epoch: u32,
    number: u64,
    digest: Option<String>,
    view: String,
    confirmed: bool,
    halted: bool,
}

/// The answer of a sender to a call at its second address; none while it has none.
async fn query(mgmt: SocketAddr, call: &str, max_wait: Duration) -> Option<String> {
    let asking = async {
        let mut stream = TcpStream::connect(mgmt).await.ok()?;
        stream.write_all(format!("{call}\n").as_bytes()).await.ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.ok()?;
        answer.strip_prefix("done").map(|rest| rest.trim().to_owned())
    };
    timeout(max_wait, asking).await.ok().flatten()
}

impl Rig {
    /// A rig for a scenario whose senders know one another; its links are carried by `parties`.
    pub async fn start(
        stage: &Arc<Stage>,
        peers: &Peers,
        seed: u64,
        parties: &mut JoinSet<()>,
    ) -> Result<Arc<Self>, FleetError> {
        let senders = stage.scenario.fleet.senders;
        let schedule = peers.schedule(senders, stage.scenario.seconds, seed);
        let copies = schedule.iter().filter(|met| met.fault.kind == Kind::Copy).count();
        let source = |source| FleetError::Io { what: "raising links", source };
        let (links, ends) = Links::new(senders + copies, seed).await.map_err(source)?;
        for ends in ends {
            parties.spawn(links.clone().carry(ends));
        }
        let (peers, record, stage) = (peers.clone(), Mutex::default(), stage.clone());
        Ok(Arc::new(Self { peers, schedule, links, record, stage, seed }))
    }

    /// The senders on copied folders: whose copy each is of.
    pub fn copies(&self) -> Vec<usize> {
        let copies = self.schedule.iter().filter(|met| met.fault.kind == Kind::Copy);
        copies.filter_map(|met| met.senders.first().copied()).collect()
    }

    /// Senders that are not there from the start.
    pub fn late(&self) -> BTreeSet<usize> {
        let joins = self.schedule.iter().filter(|met| met.fault.kind == Kind::Join);
        joins.flat_map(|met| met.senders.iter().copied()).collect()
    }

    /// An address for a sender, which nobody else takes while it is down.
    pub async fn free(&self, sender: usize) -> Result<SocketAddr, FleetError> {
        let source = |source| FleetError::Io { what: "finding a port", source };
        self.links.free(sender).await.map_err(source)
    }

    /// Adds its part to the configuration of the sender with that number, which is `like` by name.
    pub fn configure(&self, number: usize, like: usize, mgmt: SocketAddr, config: &mut Value) {
        config["mgmt"] = json!(mgmt);
        config["fleet"] = json!({"name": "lab", "member": format!("n{like}"), "listen": self.links.own(number),
            "advertise": self.links.advertised[number], "seeds": self.links.advertised[..self.peers.seeds],
            "zone": self.peers.zone(like), "machine": self.peers.machine(like), "keepers": self.peers.voters,
            "suspect_ms": self.peers.suspect_ms});
    }

    /// When all faults are over and all have had their time to agree, in seconds of the run.
    pub fn ends_at(&self) -> f64 {
        let last = self.schedule.iter().map(|met| met.fault.at_s + met.fault.for_s).fold(0.0, f64::max);
        last.max(self.stage.scenario.seconds) + self.peers.settle_s + SETTLE_MARGIN_S
    }

    fn with<T>(&self, change: impl FnOnce(&mut Record) -> T) -> T {
        change(&mut self.record.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn now(&self) -> At {
        self.stage.now() / 1_000
    }

    fn record_event(&self, what: What) {
        let at = self.now();
        self.with(|record| record.events.push(Event { at, what }));
    }

    /// Takes a line of a sender's log.
    pub fn line(&self, sender: usize, line: &str) {
        let at = self.now();
        self.with(|record| {
            if record.lines.len() < MAX_LOG_LINES {
                record.lines.push((at, sender, line.to_owned()));
            }
        });
    }

    /// Does all that the schedule says, and asks all senders, until it is stopped.
    pub async fn run(self: Arc<Self>, nodes: Vec<Shared>, clients: Arc<Clients>) {
        let scenario = &self.stage.scenario;
        let copies = self.copies();
        let named =
            |n: usize| format!("n{}", n.checked_sub(scenario.fleet.senders).map_or(n, |at| copies[at]));
        self.record_event(What::RunStarted {
            scenario: scenario.name.clone(),
            seed: self.seed,
            senders: (0..nodes.len()).map(named).collect(),
            settle_ms: (self.peers.settle_s * 1e3) as u64,
            faults: self.schedule.iter().map(Met::fixed).collect(),
            simulated: false,
            broken: None,
            full_scenario: serde_json::to_value(scenario).unwrap_or_default(),
        });
        let late = self.late();
        for sender in 0..scenario.fleet.senders {
            if late.contains(&sender) {
                clients.absent(sender);
            } else {
                self.record_event(What::Up { sender, empty_disk: true, copy_of: None });
            }
        }
        let all = Arc::new(nodes);
        let mut work = JoinSet::new();
        for (number, met) in self.schedule.iter().cloned().enumerate() {
            let injector = FaultInjector { rig: self.clone(), nodes: all.clone(), clients: clients.clone() };
            work.spawn(injector.fault(number, met));
        }
        for number in 0..all.len() {
            work.spawn(self.clone().poll_views(number, all[number].clone(), all.len()));
        }
        while work.join_next().await.is_some() {}
    }

    /// Asks one sender again and again, and takes down what changed.
    async fn poll_views(self: Arc<Self>, number: usize, node: Shared, all: usize) {
        let every = POLL_INTERVAL + FAST_POLL_INTERVAL * u32::try_from(all).unwrap_or(0);
        sleep(every * u32::try_from(number).unwrap_or(0) / u32::try_from(all).unwrap_or(1)).await;
        let mut ticks = interval(every);
        let mut known: Option<(u32, Marked)> = None;
        let mut halted = None;
        loop {
            ticks.tick().await;
            let (mgmt, start) = {
                let mut node = node.lock().await;
                if node.exit_code() == Some(COPIED_FOLDER_EXIT_CODE) && halted != Some(node.starts) {
                    halted = Some(node.starts);
                    let why = node.last_lines(1);
                    self.record_event(What::Halted { sender: number, why, copied: true });
                }
                let there = node.running() && !node.active_faults.paused;
                match node.mgmt {
                    Some(mgmt) if there => (mgmt, node.starts),
                    _ => continue,
                }
            };
            let Some(text) = query(mgmt, "fleet mark", QUERY_TIMEOUT).await else { continue };
            let Ok(mark) = serde_json::from_str::<Marked>(&text) else { continue };
            if known.as_ref().is_some_and(|(of, before)| *of == start && *before == mark) {
                continue;
            }
            let Some(text) = query(mgmt, "fleet view", QUERY_TIMEOUT).await else { continue };
            let Ok(view) = serde_json::from_str::<Viewed>(&text) else { continue };
            let mut node = node.lock().await;
            if node.starts != start || !node.running() {
                continue;
            }
            let hex = |text: &Option<String>| text.as_deref().and_then(|t| u64::from_str_radix(t, 16).ok());
            if let (Some(fleet), Some(digest)) = (hex(&mark.fleet), hex(&mark.digest)) {
                let (epoch, digest) = (mark.epoch, u32::try_from(digest).unwrap_or_default());
                self.record_event(What::Roster { sender: number, fleet, epoch, number: mark.number, digest });
            }
            let (of, confirmed, members) = (view.number, view.confirmed, view.members);
            self.record_event(What::Seen { sender: number, number: of, confirmed, members });
            if let Some(why) = view.halted
                && halted != Some(start)
            {
                halted = Some(start);
                self.record_event(What::Halted { sender: number, why, copied: false });
            }
            known = Some((start, mark));
        }
    }

    /// The end: what the checker says, with history and logs on disk.
    pub fn finish(&self, history: &Path) -> Result<Promises, HistoryError> {
        self.record_event(What::End);
        let (events, mut lines) =
            self.with(|record| (std::mem::take(&mut record.events), std::mem::take(&mut record.lines)));
        history::write(history, &events)?;
        lines.sort_by_key(|(at, ..)| *at);
        let mut text = String::new();
        for (at, sender, line) in lines {
            text.push_str(&format!("{:9.3} n{sender:<3} {line}\n", at as f64 / 1e3));
        }
        let log = history.with_extension("log");
        std::fs::write(&log, text).map_err(|source| HistoryError::File { path: log, source })?;
        let sender_s = (self.now() as f64 / 1e3 * self.stage.scenario.fleet.senders as f64).max(1.0);
        let of = |count: &std::sync::atomic::AtomicU64| {
            count.load(std::sync::atomic::Ordering::Relaxed) as f64 / sender_s
        };
        let c = &self.links.carried;
        let folders =
            |met: &Met| matches!(met.fault.kind, Kind::Empty | Kind::Lose | Kind::Remove | Kind::Copy);
        Ok(Promises {
            verdict: check(&events),
            history: history.to_owned(),
            folders: self.schedule.iter().any(folders),
            carried: [of(&c.datagrams), of(&c.datagram_bytes), of(&c.stream_bytes)],
        })
    }
}

/// Does faults to processes.
#[derive(Clone)]
struct FaultInjector {
    rig: Arc<Rig>,
    nodes: Arc<Vec<Shared>>,
    clients: Arc<Clients>,
}

impl FaultInjector {
    async fn fault(self, number: usize, met: Met) {
        let (rig, stage) = (&self.rig, &self.rig.stage);
        let at = |seconds: f64| stage.instant((seconds * 1e6) as u64);
        sleep_until(at(met.fault.at_s)).await;
        let over = at(met.fault.at_s + met.fault.for_s);
        let text = met.fault.to_string();
        stage.lock().checker.event(stage.now(), format!("fault {number}: {text}"));
        rig.record_event(What::Fault { number, text, begins: true });
        let kind = met.fault.kind;
        match kind {
            Kind::Kill | Kind::Term | Kind::Empty | Kind::Lose | Kind::Remove => {
                self.each(&met.senders, |injector, n| injector.take_down(n, kind == Kind::Term)).await;
                sleep_until(over).await;
                self.each(&met.senders, |injector, n| injector.bring_up(n, kind)).await;
                if kind == Kind::Remove {
                    self.remove(&met.senders).await;
                }
            }
            Kind::Pause => {
                self.each(&met.senders, |injector, n| injector.set_paused(n, true)).await;
                sleep_until(over).await;
                self.each(&met.senders, |injector, n| injector.set_paused(n, false)).await;
            }
            Kind::Starve => {
                let max_pause_ms = met.fault.size;
                self.each(&met.senders, |injector, n| injector.starve(n, max_pause_ms, over)).await;
            }
            Kind::Full => {
                self.each(&met.senders, |injector, n| injector.fill(n, true)).await;
                sleep_until(over).await;
                self.each(&met.senders, |injector, n| injector.fill(n, false)).await;
            }
            Kind::Join => self.each(&met.senders, |injector, n| injector.bring_up(n, Kind::Join)).await,
            Kind::Copy => {
                let earlier = rig.schedule[..number].iter().filter(|m| m.fault.kind == Kind::Copy).count();
                self.copy(met.senders[0], stage.scenario.fleet.senders + earlier).await;
            }
            Kind::Cut | Kind::Part => {
                rig.links.begin(number, met.clone());
                rig.record_event(What::Cut { number, from: met.senders, to: met.to });
                sleep_until(over).await;
                rig.links.end(number);
                rig.record_event(What::Healed { number });
            }
            Kind::Lossy | Kind::Delay | Kind::Twice | Kind::Flip | Kind::Reset | Kind::Throttle => {
                rig.links.begin(number, met);
                sleep_until(over).await;
                rig.links.end(number);
            }
            Kind::Garbage => {
                let a_second = met.fault.size;
                self.each(&met.senders, |injector, n| {
                    injector.rig.links.clone().strangers(n, a_second, over)
                })
                .await;
            }
        }
        rig.record_event(What::Fault { number, text: String::new(), begins: false });
    }

    /// Does one thing to several at once.
    async fn each<F>(&self, senders: &[usize], one: impl Fn(FaultInjector, usize) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let mut work = JoinSet::new();
        for sender in senders {
            work.spawn(one(self.clone(), *sender));
        }
        while work.join_next().await.is_some() {}
    }

    async fn take_down(self, sender: usize, in_order: bool) {
        let (rig, stage) = (&self.rig, &self.rig.stage);
        let mut node = self.nodes[sender].lock().await;
        node.active_faults.down += 1;
        if node.running() {
            rig.record_event(What::Down { sender });
            stage.lock().checker.sender_down(stage.now(), sender);
            if in_order {
                self.clients.died(sender, 0.0);
                node.terminate().await;
            } else {
                node.kill().await;
                self.clients.died(sender, 0.5);
            }
        }
    }

    async fn bring_up(self, sender: usize, kind: Kind) {
        let (rig, stage) = (&self.rig, &self.rig.stage);
        let mut node = self.nodes[sender].lock().await;
        node.active_faults.down = node.active_faults.down.saturating_sub(1);
        node.active_faults.departed |= matches!(kind, Kind::Lose | Kind::Remove);
        if kind == Kind::Empty || node.active_faults.departed {
            let emptied =
                std::fs::remove_dir_all(node.state()).and_then(|()| std::fs::create_dir(node.state()));
            if let Err(e) = emptied {
                stage.record_testbed_fault(format!("emptying a folder: {e}"));
            }
        }
        if node.active_faults.down > 0 || node.active_faults.departed {
            return;
        }
        let empty_disk = !node.state().join("fleet.wal").exists();
        node.active_faults.paused = false;
        match node.start().await {
            Ok(()) => {
                rig.record_event(What::Up { sender, empty_disk, copy_of: None });
                stage.lock().checker.sender_ready(stage.now(), sender);
                self.clients.ready(sender);
                if node.active_faults.full {
                    limit(&node, Some(0));
                }
            }
            // One that ran on a copied folder, and lost to the copy, stops permanently.
            Err(_) if node.exit_code() == Some(COPIED_FOLDER_EXIT_CODE) => {
                rig.record_event(What::Up { sender, empty_disk, copy_of: None });
                node.active_faults.departed = true;
            }
            Err(e) => stage.record_testbed_fault(e.to_string()),
        }
    }

    async fn set_paused(self, sender: usize, begins: bool) {
        let (rig, stage) = (&self.rig, &self.rig.stage);
        let mut node = self.nodes[sender].lock().await;
        if begins && node.running() {
            node.signal(Signal::SIGSTOP);
            node.active_faults.paused = true;
            stage.lock().checker.sender_down(stage.now(), sender);
            rig.record_event(What::Paused { sender });
        } else if !begins && std::mem::take(&mut node.active_faults.paused) && node.running() {
            node.signal(Signal::SIGCONT);
            stage.lock().checker.sender_ready(stage.now(), sender);
            rig.record_event(What::Resumed { sender });
        }
    }

    /// Takes the processor from a process for up to this many ms, again and again.
    async fn starve(self, sender: usize, most_ms: f64, over: Instant) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.rig.seed ^ sender as u64);
        while Instant::now() < over {
            let start = {
                let mut node = self.nodes[sender].lock().await;
                if node.running() && !node.active_faults.paused {
                    node.signal(Signal::SIGSTOP);
                }
                node.starts
            };
            sleep(Duration::from_secs_f64(rng.random_range(0.0..=most_ms.max(1.0)) / 1e3)).await;
            let node = self.nodes[sender].lock().await;
            if node.starts == start && !node.active_faults.paused {
                node.signal(Signal::SIGCONT);
            }
            drop(node);
            sleep(STARVED_RUN_TIME).await;
        }
    }

    async fn fill(self, sender: usize, begins: bool) {
        let mut node = self.nodes[sender].lock().await;
        node.active_faults.full = begins;
        if node.running() {
            limit(&node, begins.then_some(0));
        }
    }

    async fn copy(&self, original: usize, copy: usize) {
        let from = self.nodes[original].lock().await.state();
        let mut node = self.nodes[copy].lock().await;
        let copied = std::fs::read_dir(from).and_then(|entries| {
            for entry in entries {
                let entry = entry?;
                if entry.file_type()?.is_file() {
                    std::fs::copy(entry.path(), node.state().join(entry.file_name()))?;
                }
            }
            Ok(())
        });
        if let Err(e) =
            copied.map_err(|e| e.to_string()).and_then(|()| node.spawn().map_err(|e| e.to_string()))
        {
            return self.rig.stage.record_testbed_fault(format!("starting a copy: {e}"));
        }
        self.rig.record_event(What::Up { sender: copy, empty_disk: false, copy_of: Some(original) });
    }

    /// Operators have some removed, by asking those that run one after the other, until one says that it is done.
    async fn remove(&self, senders: &[usize]) {
        let given_up = Instant::now() + ADMIN_TIMEOUT;
        for sender in senders {
            let name = format!("n{sender}");
            self.rig.record_event(What::RemovalRequested { name: name.clone() });
            let mut turn = 0;
            while Instant::now() < given_up {
                turn += 1;
                let admin_address = {
                    let mut node = self.nodes[turn % self.nodes.len()].lock().await;
                    if node.running() { node.mgmt } else { None }
                };
                let Some(mgmt) = admin_address else { continue };
                if query(mgmt, &format!("fleet remove {name}"), ADMIN_TIMEOUT).await.is_some() {
                    break;
                }
                sleep(POLL_INTERVAL).await;
            }
        }
    }
}

/// Has the files of a process grow no further, as on a full disk; none ends that.
fn limit(node: &Node, bytes: Option<u64>) {
    if let Some(pid) = node.pid().and_then(Pid::from_raw) {
        // One that has just ended needs none.
        let _ = prlimit(Some(pid), Resource::Fsize, Rlimit { current: bytes, maximum: None });
    }
}
