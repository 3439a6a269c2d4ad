//! One run of the tier: all machines and stand-ins on loopback, the faults in their time, and the verdict.
use super::checker::{Verdict, check_history};
use super::clients::{Clients, Front};
use super::endpoints::{self, Endpoint, Platform};
use super::history::{History, Recorder};
use super::load::Load;
use super::machines::{Addresses, Older, Programs, Role};
use super::operator::{Operator, configuration};
use super::soak::Trouble;
use super::tier::Tier;
use crate::fleet::{FleetError, io};
use crate::misbehaving_clients::usage::Usage;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// The tier is ready within this, or it does not start.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Between two programs that start after the faults.
const FINAL_PROGRAM_INTERVAL: Duration = Duration::from_millis(120);
/// One program in this many loops until its budget is spent.
const LOOPING_PROGRAM_STRIDE: usize = 12;
/// How long a program has.
const PROGRAM_TIMEOUT: Duration = Duration::from_secs(20);
/// The last program starts so long before the end.
pub(super) const QUIET_TAIL_SHARE: f64 = 0.15;
/// The version of the first configuration.
pub(super) const FIRST_VERSION: u64 = 4;
/// How long the operator retries.
pub(super) const OPERATOR_TIMEOUT: Duration = Duration::from_secs(5);
/// From the last fault of a soak until programs have to finish: `recovery_s`.
const RECOVERY: Duration = Duration::from_secs(12);
/// The number of the first program after a soak's faults.
const FIRST_FINAL_PROGRAM: usize = 1_000_000;
/// Programs after a soak's faults.
const FINAL_PROGRAMS: usize = 20;

/// How many machines of each class a tier has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TierSize {
    /// Core machines.
    pub core: u8,
    /// Storage machines.
    pub storage: u8,
    /// Edge machines, with two processes each.
    pub edge: u8,
}

impl Default for TierSize {
    fn default() -> Self {
        Self { core: 3, storage: 3, edge: 2 }
    }
}

/// What happens to the tier during a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Faults {
    /// One of each kind: a lost disk, a restarted proxy, a new configuration, an endpoint that begins anew.
    #[default]
    OneOfEach,
    /// Series drawn from the seed.
    Soak(Trouble),
}

/// What is run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// How long, in seconds.
    pub seconds: f64,
    /// Draws other programs and other random events.
    pub seed: u64,
    /// From SIGTERM to SIGKILL, in seconds.
    pub grace_s: f64,
    /// Whether its progress is printed.
    pub verbose: bool,
    /// The earlier build whose programs are on half of the machines.
    pub older: Option<Older>,
    /// Its machines.
    pub size: TierSize,
    /// What happens to them.
    pub faults: Faults,
    /// What clients ask for.
    pub load: Load,
}

/// The outcome of a run.
#[derive(Debug)]
pub struct RunResult {
    /// What endpoints ran and clients saw.
    pub history: History,
    /// What that comes to.
    pub verdict: Verdict,
    /// Processes that ended by themselves, with the end of their logs.
    pub crashes: Vec<String>,
    /// Processes that did not end within their time after SIGTERM, with the same.
    pub late_ends: Vec<String>,
    /// Panics and failed parts of processes that live on, from their logs.
    pub failed_parts: Vec<String>,
    /// Proxies that were not ready when all faults of a soak were over.
    pub unready_proxies: usize,
    /// The most that a process of each role has used.
    pub usage: Vec<(Role, Usage)>,
    /// Calls that endpoints refused as full, and as meant for another incarnation.
    pub rejected_calls: (u64, u64),
    /// Calls for the list that were answered, and that were over the rate.
    pub list_calls: (u64, u64),
    /// Numbers of all processes that were started.
    pub pids: Vec<u32>,
    /// Stopped before its end.
    pub cut_short: bool,
}

impl RunResult {
    /// Whether the rules were kept, enough programs finished, no process or part of one failed, and all proxies were ready
    /// in the end, in a complete run.
    pub fn is_good(&self) -> bool {
        let failures = [&self.crashes, &self.late_ends, &self.failed_parts];
        let has_failed_process =
            self.unready_proxies > 0 || failures.iter().any(|reports| !reports.is_empty());
        self.verdict.is_good() && !has_failed_process && !self.cut_short
    }
}

/// A run: the tier, and all that stands around it.
pub(super) struct Stage {
    pub(super) tier: Tier,
    pub(super) recorder: Arc<Recorder>,
    pub(super) operator: Operator,
    pub(super) front: Arc<Front>,
    pub(super) clients: Arc<Clients>,
    pub(super) platform: Arc<Platform>,
    pub(super) endpoints: Vec<Arc<Endpoint>>,
    pub(super) plan: Plan,
    unready_proxies: AtomicUsize,
}

/// Runs once with the programs of a folder; `stop`, once over 0, ends it early.
pub async fn run_tier(
    plan: Plan,
    programs: &Path,
    mut stop: watch::Receiver<u32>,
) -> Result<RunResult, FleetError> {
    let recorder = Arc::new(Recorder::new(plan.verbose));
    let mut parties = JoinSet::new();
    let mut endpoints = Vec::new();
    let services = plan.load.endpoints.iter();
    let services = services.flat_map(|service| (0..service.endpoints).map(move |_| service));
    for (service, number) in services.zip(1..) {
        let bound = Endpoint::bind(number, service.name, service.kind, service.slots).await;
        let (endpoint, listener) = bound.map_err(io("listening"))?;
        parties.spawn(endpoints::serve(endpoint.clone(), recorder.clone(), listener));
        endpoints.push(endpoint);
    }
    let ip = Ipv4Addr::new(127, 0, 40, 1);
    let listener = TcpListener::bind((ip, 0)).await.map_err(io("listening"))?;
    let list = SocketAddrV4::new(ip, listener.local_addr().map_err(io("listening"))?.port());
    let platform = Arc::new(Platform::new(endpoints.clone(), &plan.load));
    parties.spawn(platform.clone().serve(listener));

    let addresses = Addresses::reserve(plan.size.core, plan.size.storage, plan.size.edge, plan.seed).await?;
    let programs = Programs { present: programs, older: plan.older.as_ref() };
    let tier = Tier::new(programs, &addresses, list, plan.grace_s)?;
    let control_nodes = (0..addresses.core.len()).map(|number| addresses.control(number)).collect();
    let senders =
        (0..addresses.edge.len()).map(|number| (addresses.front(number), addresses.readiness(number)));
    let front = Arc::new(Front::new(senders.collect()));
    parties.spawn(front.clone().poll_readiness());
    let clients = Arc::new(Clients::new(front.clone(), recorder.clone(), plan.seed, plan.load.clone()));
    let operator = Operator::new(control_nodes, recorder.clone());
    let stage = Stage {
        tier,
        recorder,
        operator,
        front,
        clients,
        platform,
        endpoints,
        plan,
        unready_proxies: AtomicUsize::new(0),
    };

    let cut_short = tokio::select! {
        done = stage.run() => {
            if let Err(e) = done {
                stage.tier.kill_all().await;
                return Err(e);
            }
            false
        }
        _ = stop.wait_for(|count| *count > 0) => true,
        () = stage.tier.watch_usage() => true,
    };
    stage.tier.note_crashes().await;
    let failed_parts = stage.tier.failed_parts().await;
    stage.tier.kill_all().await;
    parties.shutdown().await;
    let history = stage.recorder.lock().clone();
    let (mut full, mut misdirected) = (0, 0);
    for endpoint in &stage.endpoints {
        let (one, other) = endpoint.rejected_calls();
        (full, misdirected) = (full + one, misdirected + other);
    }
    let [answered, limited] = &stage.platform.calls;
    let crashes = std::mem::take(&mut *stage.tier.crashes.lock().await);
    let late_ends = std::mem::take(&mut *stage.tier.late_ends.lock().await);
    let pids = stage.tier.pids().await;
    let usage = stage.tier.usage.lock().unwrap_or_else(PoisonError::into_inner).clone();
    Ok(RunResult {
        verdict: check_history(&history),
        history,
        crashes,
        late_ends,
        failed_parts,
        unready_proxies: stage.unready_proxies.load(Ordering::Relaxed),
        usage,
        rejected_calls: (full, misdirected),
        list_calls: (answered.load(Ordering::Relaxed), limited.load(Ordering::Relaxed)),
        pids,
        cut_short,
    })
}

impl Stage {
    async fn run(&self) -> Result<(), FleetError> {
        self.start_up().await?;
        let began = Instant::now();
        let ((), faults) = tokio::join!(self.run_programs(began), self.run_faults(began));
        faults?;
        if self.plan.faults == Faults::Soak(Trouble::Day) {
            self.lose_power_and_a_disk().await?;
        }
        if matches!(self.plan.faults, Faults::Soak(_)) {
            self.run_final_programs().await;
        }
        self.operator.read(OPERATOR_TIMEOUT).await;
        Ok(())
    }

    /// The programs of the plan's load, beside the faults.
    async fn run_programs(&self, began: Instant) {
        let last_start = began + Duration::from_secs_f64(self.plan.seconds * (1.0 - QUIET_TAIL_SHARE));
        let mut programs = JoinSet::new();
        let mut number = 1;
        while Instant::now() < last_start {
            let loops = number % LOOPING_PROGRAM_STRIDE == 2;
            programs.spawn(self.clients.clone().run(number, loops, PROGRAM_TIMEOUT));
            number += 1;
            sleep(self.plan.load.program_interval).await;
        }
        while programs.join_next().await.is_some() {}
    }

    /// Programs that have to finish, as nothing fails any more.
    async fn run_final_programs(&self) {
        sleep(RECOVERY).await;
        self.unready_proxies.store(self.front.all() - self.front.ready(), Ordering::Relaxed);
        self.recorder.event("the final programs start");
        self.recorder.lock().judged_from = FIRST_FINAL_PROGRAM;
        let mut programs = JoinSet::new();
        for number in FIRST_FINAL_PROGRAM..FIRST_FINAL_PROGRAM + FINAL_PROGRAMS {
            programs.spawn(self.clients.clone().run(number, false, PROGRAM_TIMEOUT));
            sleep(FINAL_PROGRAM_INTERVAL).await;
        }
        while programs.join_next().await.is_some() {}
    }

    /// Starts the tier, gives it a configuration, and waits until a first program has gone through.
    async fn start_up(&self) -> Result<(), FleetError> {
        self.tier.start_all(&self.first_starts()).await?;
        let ready = async {
            let has_lookups = matches!(self.plan.faults, Faults::Soak(_));
            let first = configuration(FIRST_VERSION, has_lookups);
            while !self.operator.put(FIRST_VERSION, 0, first.clone(), START_TIMEOUT).await {}
            self.clients.lookups.store(has_lookups, Ordering::Relaxed);
            while self.front.ready() < self.front.all() {
                sleep(Duration::from_millis(50)).await;
            }
        };
        if timeout(START_TIMEOUT, ready).await.is_err() {
            let (ready, all) = (self.front.ready(), self.front.all());
            return Err(FleetError::TierNotReady { ready, all, logs: self.tier.logs().await });
        }
        self.recorder.event("all proxies are ready");
        self.clients.clone().run(0, false, START_TIMEOUT).await;
        Ok(())
    }
}
