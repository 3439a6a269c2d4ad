//! One run of the tier: all machines and stand-ins on loopback, the faults in their time, and the verdict.
use super::checker::{Verdict, check_history};
use super::clients::{Clients, Front};
use super::endpoints::{self, Endpoint, Platform};
use super::history::{Disturbance, History, Recorder};
use super::load::Load;
use super::machines::{Addresses, LatestPid, Machine, Older, Programs, Role};
use super::operator::{Operator, configuration};
use super::soak::{Fault, Schedule, Step, Trouble};
use super::start_faults::FirstStart;
use crate::fleet::{FleetError, io};
use crate::misbehaving_clients::usage::{Usage, peak_resident_bytes};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::sync::{Mutex, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// The tier is ready within this, or it does not start.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Between two programs that start after the faults.
const FINAL_PROGRAM_INTERVAL: Duration = Duration::from_millis(120);
/// Between two samples of what processes use.
const USAGE_SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// One program in this many loops until its budget is spent.
const LOOPING_PROGRAM_STRIDE: usize = 12;
/// How long a program has.
const PROGRAM_TIMEOUT: Duration = Duration::from_secs(20);
/// The last program starts so long before the end.
const QUIET_TAIL_SHARE: f64 = 0.15;
/// From an acknowledgement until a configuration must be in force.
const CONFIGURATION_APPLY_DELAY: Duration = Duration::from_secs(2);
/// The version of the first configuration.
const FIRST_VERSION: u64 = 4;
/// How long the operator retries.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the platform refuses to serve the list.
const LIST_LIMITED_TIME: Duration = Duration::from_secs(1);
/// How long a killed storage machine is away.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// From the kill of all processes until they are started again.
const CLOSING_DOWN_TIME: Duration = Duration::from_millis(600);
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
    /// Whether the rules were kept, enough programs finished, and no process or part of one failed, in a complete run.
    pub fn is_good(&self) -> bool {
        let has_failed_process =
            !(self.crashes.is_empty() && self.late_ends.is_empty() && self.failed_parts.is_empty());
        self.verdict.is_good() && !has_failed_process && !self.cut_short
    }
}

/// All processes of the tier.
struct Tier {
    /// With the proxies last: they need the others.
    machines: Vec<(Role, Mutex<Machine>)>,
    crashes: Mutex<Vec<String>>,
    late_ends: Mutex<Vec<String>>,
    usage: std::sync::Mutex<Vec<(Role, Usage)>>,
    latest_pids: Vec<(Role, LatestPid)>,
    /// Deleted with the tier.
    _folder: TempDir,
}

impl Tier {
    fn new(
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
    async fn watch_usage(&self) {
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

    /// Kills all processes, and starts them after a pause.
    async fn kill_all(&self, down: Duration) -> Result<(), FleetError> {
        for (_, machine) in &self.machines {
            machine.lock().await.kill().await;
        }
        sleep(down).await;
        for (_, machine) in &self.machines {
            machine.lock().await.start()?;
        }
        Ok(())
    }

    async fn failed_parts(&self) -> Vec<String> {
        let mut failed = Vec::new();
        for (_, machine) in &self.machines {
            failed.extend(machine.lock().await.failed_parts());
        }
        failed
    }

    fn machine(&self, role: Role, number: usize) -> &Mutex<Machine> {
        let mut machines_of_role = self.machines.iter().filter(|(other, _)| *other == role);
        &machines_of_role.nth(number).expect("a machine of the play").1
    }

    /// Starts all processes, each in its own way.
    async fn start_all(&self, starts: &[FirstStart]) -> Result<(), FleetError> {
        let start = async |machine: &Mutex<Machine>, start| machine.lock().await.start_first(start).await;
        let starting = self.machines.iter().zip(starts).map(|((_, machine), first)| start(machine, *first));
        futures_util::future::try_join_all(starting).await.map(drop)
    }

    /// Numbers of all processes that were started.
    async fn pids(&self) -> Vec<u32> {
        let mut pids = Vec::new();
        for (_, machine) in &self.machines {
            pids.extend(&machine.lock().await.pids);
        }
        pids
    }

    async fn note_crashes(&self) {
        for (_, machine) in &self.machines {
            let mut machine = machine.lock().await;
            if machine.crashed() {
                self.note_crash(&machine).await;
            }
        }
    }

    async fn note_crash(&self, machine: &Machine) {
        let crash = format!("{} ended by itself:\n{}", machine.name, machine.last_lines(5));
        self.crashes.lock().await.push(crash);
    }

    /// Role and number of every process.
    fn processes(&self) -> Vec<(Role, usize)> {
        let roles = [Role::ControlNode, Role::StorageNode, Role::ProxyAgent, Role::RequestProxy];
        let count = |role| self.machines.iter().filter(|(other, _)| *other == role).count();
        roles.into_iter().flat_map(|role| (0..count(role)).map(move |number| (role, number))).collect()
    }

    async fn logs(&self) -> String {
        let mut logs = String::new();
        for (_, machine) in &self.machines {
            let machine = machine.lock().await;
            logs += &format!("{}:\n{}\n", machine.name, machine.last_lines(3));
        }
        logs
    }

    async fn end(&self) {
        for (_, machine) in &self.machines {
            machine.lock().await.kill().await;
        }
    }
}

struct Stage {
    tier: Tier,
    recorder: Arc<Recorder>,
    operator: Operator,
    front: Arc<Front>,
    clients: Arc<Clients>,
    platform: Arc<Platform>,
    endpoints: Vec<Arc<Endpoint>>,
    plan: Plan,
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
    let stage = Stage { tier, recorder, operator, front, clients, platform, endpoints, plan };

    let cut_short = tokio::select! {
        done = stage.run() => {
            if let Err(e) = done {
                stage.tier.end().await;
                return Err(e);
            }
            false
        }
        _ = stop.wait_for(|count| *count > 0) => true,
        () = stage.tier.watch_usage() => true,
    };
    stage.tier.note_crashes().await;
    let failed_parts = stage.tier.failed_parts().await;
    stage.tier.end().await;
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
        let at = |share: f64| began + Duration::from_secs_f64(self.plan.seconds * share);
        let traffic = async {
            let mut programs = JoinSet::new();
            let mut number = 1;
            while Instant::now() < at(1.0 - QUIET_TAIL_SHARE) {
                programs.spawn(self.clients.clone().run(
                    number,
                    number % LOOPING_PROGRAM_STRIDE == 2,
                    PROGRAM_TIMEOUT,
                ));
                number += 1;
                sleep(self.plan.load.program_interval).await;
            }
            while programs.join_next().await.is_some() {}
        };
        let faults = async {
            match self.plan.faults {
                Faults::OneOfEach => self.one_of_each(began).await,
                Faults::Soak(Trouble::Day) => {
                    tokio::try_join!(self.soak(Trouble::Day), self.lose_a_disk(at(0.35))).map(drop)
                }
                Faults::Soak(trouble) => self.soak(trouble).await,
            }
        };
        let ((), faults) = tokio::join!(traffic, faults);
        faults?;
        if self.plan.faults == Faults::Soak(Trouble::Day) {
            self.recorder.event("all processes are killed");
            self.tier.kill_all(CLOSING_DOWN_TIME).await?;
        }
        if matches!(self.plan.faults, Faults::Soak(_)) {
            self.run_final_programs().await;
        }
        self.operator.read(OPERATOR_TIMEOUT).await;
        Ok(())
    }

    /// A fault of each kind, in its time.
    async fn one_of_each(&self, began: Instant) -> Result<(), FleetError> {
        let at = |share: f64| began + Duration::from_secs_f64(self.plan.seconds * share);
        tokio::try_join!(
            async {
                sleep_until(at(0.2)).await;
                if self.operator.put(9, FIRST_VERSION, configuration(9, true), OPERATOR_TIMEOUT).await {
                    sleep(CONFIGURATION_APPLY_DELAY).await;
                    self.clients.lookups.store(true, Ordering::Relaxed);
                }
                Ok::<_, FleetError>(())
            },
            self.lose_a_disk(at(0.35)),
            self.restart_a_proxy(at(0.5)),
            async {
                sleep_until(at(0.6)).await;
                self.recorder.event("an endpoint begins anew at its address");
                self.endpoints[0].restart_as_new_incarnation().await;
                self.recorder.event("the platform tells no list for a while");
                self.platform.limited.store(true, Ordering::Relaxed);
                sleep(LIST_LIMITED_TIME).await;
                self.platform.limited.store(false, Ordering::Relaxed);
                Ok(())
            },
        )?;
        Ok(())
    }

    fn schedule(&self, trouble: Trouble) -> Schedule {
        let length = Duration::from_secs_f64(self.plan.seconds * (1.0 - QUIET_TAIL_SHARE));
        Schedule::draw(self.plan.seed, trouble, &self.tier.processes(), length)
    }

    async fn start_all(&self) -> Result<(), FleetError> {
        let starts = match self.plan.faults {
            Faults::OneOfEach => vec![FirstStart::default(); self.tier.machines.len()],
            Faults::Soak(trouble) => self.schedule(trouble).first_starts,
        };
        self.tier.start_all(&starts).await
    }

    /// Series of faults on all processes side by side, changes of the configuration and new incarnations of endpoints.
    async fn soak(&self, trouble: Trouble) -> Result<(), FleetError> {
        let schedule = self.schedule(trouble);
        let series =
            schedule.series.iter().map(|(role, number, steps)| self.run_series(*role, *number, steps));
        let series = futures_util::future::try_join_all(series);
        let (series, (), ()) = tokio::join!(
            series,
            self.change_configurations(&schedule.configurations),
            self.restart_endpoints(&schedule.incarnations),
        );
        series.map(drop)
    }

    /// The faults of one process, one after another.
    async fn run_series(&self, role: Role, number: usize, steps: &[Step]) -> Result<(), FleetError> {
        let machine = self.tier.machine(role, number);
        for step in steps {
            sleep(step.gap).await;
            let mut machine = machine.lock().await;
            if machine.crashed() {
                self.tier.note_crash(&machine).await;
                machine.start()?;
            }
            let from = self.recorder.now();
            self.recorder.event(format!("{}: {:?}", machine.name, step.fault));
            self.apply(&mut machine, step.fault).await?;
            let is_failure = matches!(step.fault, Fault::Kill { .. } | Fault::Pause { .. });
            if is_failure && role == Role::RequestProxy {
                let (of, until) = (self.front.address(number).into(), self.recorder.now());
                self.recorder.lock().disturbances.push(Disturbance { of, from, until });
            }
        }
        Ok(())
    }

    async fn apply(&self, machine: &mut Machine, fault: Fault) -> Result<(), FleetError> {
        match fault {
            Fault::Reload => machine.reload(),
            Fault::Restart { down } => {
                self.terminate(machine).await;
                sleep(down).await;
                machine.start()?;
            }
            Fault::Kill { down } => {
                machine.kill().await;
                sleep(down).await;
                machine.start()?;
            }
            Fault::Pause { time } => {
                machine.pause();
                sleep(time).await;
                machine.resume();
            }
            Fault::Start(fault) => {
                let grace = Duration::from_secs_f64(self.plan.grace_s);
                let late = machine.go_through(fault, grace).await?;
                self.tier.late_ends.lock().await.extend(late);
            }
        }
        Ok(())
    }

    async fn change_configurations(&self, gaps: &[Duration]) {
        let mut current = FIRST_VERSION;
        for gap in gaps {
            sleep(*gap).await;
            let next = current + 1;
            // A change without a clear answer is sent again unchanged.
            if self.operator.put(next, current, configuration(next, true), OPERATOR_TIMEOUT).await {
                current = next;
            }
        }
    }

    async fn restart_endpoints(&self, gaps: &[Duration]) {
        for (index, gap) in gaps.iter().enumerate() {
            sleep(*gap).await;
            let endpoint = &self.endpoints[index % self.endpoints.len()];
            self.recorder.event(format!("{} begins anew at its address", endpoint.instance()));
            endpoint.restart_as_new_incarnation().await;
        }
    }

    /// Programs that have to finish, as nothing fails any more.
    async fn run_final_programs(&self) {
        sleep(RECOVERY).await;
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
        self.start_all().await?;
        let ready = async {
            let has_lookups = matches!(self.plan.faults, Faults::Soak(_));
            let first = configuration(FIRST_VERSION, has_lookups);
            while !self.operator.put(FIRST_VERSION, 0, first.clone(), START_TIMEOUT).await {}
            self.clients.lookups.store(has_lookups, Ordering::Relaxed);
            while self.front.ready() < 2 {
                sleep(Duration::from_millis(50)).await;
            }
        };
        if timeout(START_TIMEOUT, ready).await.is_err() {
            return Err(FleetError::NotReady { sender: self.front.ready(), log: self.tier.logs().await });
        }
        self.recorder.event("both proxies are ready");
        self.clients.clone().run(0, false, START_TIMEOUT).await;
        Ok(())
    }

    /// SIGTERM, and a note if the process does not end within its time.
    async fn terminate(&self, machine: &mut Machine) {
        if !machine.terminate(Duration::from_secs_f64(self.plan.grace_s)).await {
            let late = format!("{} did not end in its time:\n{}", machine.name, machine.last_lines(5));
            self.tier.late_ends.lock().await.push(late);
        }
    }

    async fn lose_a_disk(&self, at: Instant) -> Result<(), FleetError> {
        sleep_until(at).await;
        let mut machine = self.tier.machine(Role::StorageNode, 1).lock().await;
        machine.kill().await;
        machine.wipe().await?;
        self.recorder.event(format!("{} was killed and lost its disk", machine.name));
        sleep(RESTART_DELAY).await;
        machine.start()?;
        self.recorder.event(format!("{} starts on an empty disk", machine.name));
        Ok(())
    }

    async fn restart_a_proxy(&self, at: Instant) -> Result<(), FleetError> {
        sleep_until(at).await;
        let mut machine = self.tier.machine(Role::RequestProxy, 0).lock().await;
        self.recorder.event(format!("{} gets SIGTERM", machine.name));
        self.terminate(&mut machine).await;
        machine.start()?;
        self.recorder.event(format!("{} starts again", machine.name));
        Ok(())
    }
}
