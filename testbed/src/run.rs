//! One run: all parties on loopback, the faults in their time, and the checker's verdict.
use crate::checker::{Breach, Rule, Verdict};
use crate::clients::Clients;
use crate::directory::{self, Directory};
use crate::endpoints;
use crate::environment::Stage;
use crate::fleet::{FleetError, Node, Program, configuration, free_address};
use crate::peers::real::{Promises, Rig};
use crate::plan::{Plan, micros};
use crate::scenario::{FaultKind, Scenario, ScheduledFault, Variant};
use message_sender::wire::{Member, Phase};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Mutex, watch};
use tokio::task::JoinSet;
use tokio::time::{interval, sleep, sleep_until};

/// The outcome of a run.
#[derive(Debug, Serialize, Deserialize)]
pub struct RunResult {
    /// The scenario's name.
    pub scenario: String,
    /// The variant's.
    pub variant: String,
    /// The seed.
    pub seed: u64,
    /// Messages in the plan.
    pub planned: usize,
    /// What the checker says.
    pub verdict: Verdict,
    /// Senders that ended by themselves.
    pub crashes: Vec<String>,
    /// Faults of the test bed's own: then the run proves nothing.
    pub faults: Vec<String>,
    /// Stopped before its end: the figures are of a part only.
    pub cut_short: bool,
    /// The outcome of the promises on the fleet, where the senders know one another.
    #[serde(default)]
    pub promises: Option<Promises>,
}

impl RunResult {
    /// Whether all rules were kept, by senders that lived, in a run without a fault.
    pub fn clean(&self) -> bool {
        let promises_unbroken =
            self.promises.as_ref().is_none_or(|promises| promises.verdict.broken.is_empty());
        self.charged().next().is_none()
            && self.crashes.is_empty()
            && self.faults.is_empty()
            && promises_unbroken
    }

    /// Broken rules that count, and how often: a schedule that empties or copies folders loses and doubles messages by its
    /// own will.
    pub fn charged(&self) -> impl Iterator<Item = &(Rule, usize, Vec<Breach>)> {
        let folders = self.promises.as_ref().is_some_and(|promises| promises.folders);
        let by_folders =
            |rule| matches!(rule, Rule::Lost | Rule::Doubled | Rule::Resent | Rule::Overlap | Rule::Astray);
        self.verdict.breaches.iter().filter(move |(rule, ..)| !(folders && by_folders(*rule)))
    }
}

/// Pause between looks at the processes.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Pause between lines on how it goes.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);
/// How long a run may go on after the last message's time.
const MAX_SETTLE_S: f64 = 5.0;

type Nodes = Arc<Vec<Arc<Mutex<Node>>>>;

/// Runs a scenario once; `stop`, once over 0, ends it early, `verbose` has its progress printed.
pub async fn run_scenario(
    scenario: &Scenario,
    variant: &Variant,
    seed: u64,
    program: &Program,
    mut stop: watch::Receiver<u32>,
    verbose: bool,
    history: &Path,
) -> Result<RunResult, FleetError> {
    let plan = Plan::draw(scenario, seed);
    let planned = plan.arrivals.len();
    let stage = Arc::new(Stage::new(scenario.clone(), plan, seed));
    let mut parties = JoinSet::new();
    let directory = raise(&stage, &mut parties).await?;
    let rig = match &scenario.peers {
        Some(peers) => Some(Rig::start(&stage, peers, seed, &mut parties).await?),
        None => None,
    };
    let senders = Senders { variant, seed, program, rig: rig.as_ref() };
    let all = start(&stage, &directory, &senders, &mut parties).await?;
    // Those on copied folders come last, and no client knows of them.
    let nodes: Nodes = Arc::new(all[..scenario.fleet.senders].to_vec());
    let addresses = addresses_of(&nodes).await;
    stage.begin();
    let clients = Arc::new(Clients::new(stage.clone(), addresses, seed));
    if let Some(rig) = &rig {
        parties.spawn(rig.clone().run(all.to_vec(), clients.clone()));
    }
    for (fault, met) in stage.plan.scheduled_faults.clone() {
        let run = inject_fault(stage.clone(), directory.clone(), nodes.clone(), clients.clone(), fault, met);
        parties.spawn(run);
    }
    let crashes = Arc::new(Mutex::new(Vec::new()));
    parties.spawn(watch_nodes(stage.clone(), nodes.clone(), clients.clone(), crashes.clone()));
    parties.spawn(clients.clone().strangers());
    if verbose {
        parties.spawn(print_progress(stage.clone()));
    }
    let longest = scenario.classes.iter().map(|c| c.deadline_ms / 1000.0).fold(0.0, f64::max);
    let rig_ends = rig.as_ref().map_or(0.0, |rig| rig.ends_at());
    let last = stage.instant(micros(rig_ends.max(scenario.seconds + longest) + MAX_SETTLE_S));
    let overall = async {
        clients.run().await;
        settle(&stage).await;
        sleep_until(stage.instant(micros(rig_ends))).await;
    };
    let cut_short = tokio::select! {
        () = overall => false,
        _ = stop.wait_for(|count| *count > 0) => true,
        () = sleep_until(last) => false,
    };
    let finished_at = stage.now();
    stage.over.send_replace(true);
    parties.shutdown().await;
    let promises = match &rig {
        Some(rig) => Some(rig.finish(history)?),
        None => None,
    };
    for node in all.iter() {
        node.lock().await.kill().await;
    }
    let (checker, faults) = stage.finish();
    let crashes = std::mem::take(&mut *crashes.lock().await);
    Ok(RunResult {
        scenario: scenario.name.clone(),
        variant: variant.name.clone(),
        seed,
        planned,
        verdict: checker.verdict(finished_at),
        crashes,
        faults,
        cut_short,
        promises,
    })
}

async fn addresses_of(nodes: &Nodes) -> Vec<std::net::SocketAddr> {
    let mut addresses = Vec::with_capacity(nodes.len());
    for node in nodes.iter() {
        addresses.push(node.lock().await.address);
    }
    addresses
}

/// Waits until each message accepted has its end, or its time is past.
async fn settle(stage: &Stage) {
    loop {
        {
            let inner = stage.lock();
            if inner.checker.open() == 0 || inner.checker.settled(stage.now()) {
                return;
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn listen() -> Result<TcpListener, FleetError> {
    let source = |source| FleetError::Io { what: "listening", source };
    TcpListener::bind("127.0.0.1:0").await.map_err(source)
}

/// Raises all endpoints, and the directory that lists them.
async fn raise(stage: &Arc<Stage>, parties: &mut JoinSet<()>) -> Result<Arc<Directory>, FleetError> {
    let mut members = Vec::new();
    for (partner, endpoint) in stage.plan.endpoints() {
        let listener = listen().await?;
        let host_port =
            listener.local_addr().map_err(|source| FleetError::Io { what: "listening", source })?;
        let p = &stage.plan.partners[partner];
        let member = Member {
            id: format!("e-{partner}-{endpoint}"),
            host_port,
            locality: "a".to_owned(),
            flavor: stage.scenario.partners[p.kind].name.clone(),
            cell: partner as u64,
            phase: Phase::Serving,
            size: p.limit,
            up_since_ms: 0,
        };
        members.push((partner, endpoint, member));
        parties.spawn(endpoints::serve(stage.clone(), partner, endpoint, listener));
    }
    Ok(Arc::new(Directory::new(members)))
}

/// What senders are started with.
struct Senders<'a> {
    variant: &'a Variant,
    seed: u64,
    program: &'a Program,
    rig: Option<&'a Arc<Rig>>,
}

/// Starts all senders at once, but for those that come later.
async fn start(
    stage: &Arc<Stage>,
    directory: &Arc<Directory>,
    senders: &Senders<'_>,
    parties: &mut JoinSet<()>,
) -> Result<Nodes, FleetError> {
    let known = serde_json::to_value(directory.list(None)).unwrap_or_default();
    let mut starting = JoinSet::new();
    let own = stage.scenario.fleet.senders;
    let copies = senders.rig.map(|rig| rig.copies()).unwrap_or_default();
    let late = senders.rig.map(|rig| rig.late()).unwrap_or_default();
    for number in 0..own + copies.len() {
        let like = number.checked_sub(own).map_or(number, |at| copies[at]);
        let listener = listen().await?;
        let advertised =
            listener.local_addr().map_err(|source| FleetError::Io { what: "listening", source })?;
        parties.spawn(directory::serve(stage.clone(), directory.clone(), like, listener));
        let address = match senders.rig {
            Some(rig) => rig.free(number).await?,
            None => free_address().await?,
        };
        let seed = senders.seed;
        let mut config =
            configuration(&stage.scenario, &stage.plan, like, (address, advertised), &known, seed);
        if let Some(rig) = senders.rig {
            rig.configure(number, like, rig.free(number).await?, &mut config);
        }
        let mut node = Node::new(number, address, senders.program.clone(), config, senders.variant)?;
        if let Some(rig) = senders.rig.cloned() {
            node.set_log_sink(Arc::new(move |sender, line| rig.line(sender, line)));
        }
        let waits = late.contains(&number) || number >= own;
        node.active_faults.down = usize::from(waits);
        starting.spawn(async move {
            if !waits {
                node.start().await?;
            }
            Ok::<_, FleetError>(node)
        });
    }
    let mut nodes = HashMap::new();
    while let Some(started) = starting.join_next().await {
        let node = started.map_err(|e| FleetError::Io { what: "starting", source: e.into() })??;
        nodes.insert(node.number, Arc::new(Mutex::new(node)));
    }
    Ok(Arc::new((0..nodes.len()).filter_map(|number| nodes.remove(&number)).collect()))
}

async fn inject_fault(
    stage: Arc<Stage>,
    directory: Arc<Directory>,
    nodes: Nodes,
    clients: Arc<Clients>,
    fault: ScheduledFault,
    met: Vec<usize>,
) {
    sleep_until(stage.instant(micros(fault.at_s))).await;
    let until = stage.instant(micros(fault.at_s + fault.for_s));
    stage.lock().checker.event(stage.now(), format!("{:?} begins: {} met", fault.kind, met.len()));
    match fault.kind {
        FaultKind::Kill => {
            let mut down = JoinSet::new();
            for number in met {
                let (stage, nodes, clients) = (stage.clone(), nodes.clone(), clients.clone());
                down.spawn(async move {
                    let mut node = nodes[number].lock().await;
                    stage.lock().checker.sender_down(stage.now(), number);
                    node.kill().await;
                    clients.died(number, 0.5);
                    sleep_until(until).await;
                    begin_again(&stage, &clients, &mut node).await;
                });
            }
            while down.join_next().await.is_some() {}
        }
        FaultKind::Restart => {
            let gap = Duration::from_secs_f64(fault.for_s / met.len() as f64);
            let mut next = stage.instant(micros(fault.at_s));
            for number in met {
                let mut node = nodes[number].lock().await;
                stage.lock().checker.sender_down(stage.now(), number);
                clients.died(number, 0.0);
                node.terminate().await;
                begin_again(&stage, &clients, &mut node).await;
                next += gap;
                sleep_until(next).await;
            }
        }
        FaultKind::Directory => {
            directory.set_down(true);
            sleep_until(until).await;
            directory.set_down(false);
        }
        FaultKind::Drain => {
            let last: Vec<_> = met.iter().map(|p| (*p, stage.plan.partners[*p].endpoints - 1)).collect();
            last.iter().for_each(|(p, e)| directory.set(*p, *e, Phase::Draining));
            sleep_until(until).await;
            last.iter().for_each(|(p, e)| directory.set(*p, *e, Phase::Serving));
        }
        _ => {
            met.iter().for_each(|partner| stage.apply_fault(*partner, &fault, true));
            sleep_until(until).await;
            met.iter().for_each(|partner| stage.apply_fault(*partner, &fault, false));
        }
    }
    stage.lock().checker.event(stage.now(), format!("{:?} ends", fault.kind));
}

async fn begin_again(stage: &Stage, clients: &Clients, node: &mut Node) {
    match node.start().await {
        Ok(()) => {
            stage.lock().checker.sender_ready(stage.now(), node.number);
            clients.ready(node.number);
        }
        Err(e) => stage.record_testbed_fault(e.to_string()),
    }
}

/// A sender that ends by itself is recorded, and started again on what it left.
async fn watch_nodes(
    stage: Arc<Stage>,
    nodes: Nodes,
    clients: Arc<Clients>,
    crashes: Arc<Mutex<Vec<String>>>,
) {
    let mut looks = interval(POLL_INTERVAL);
    loop {
        looks.tick().await;
        for (number, node) in nodes.iter().enumerate() {
            // One that a fault has in hand is down on purpose.
            let Ok(mut node) = node.try_lock() else { continue };
            if node.active_faults.down > 0 || node.active_faults.departed {
                continue;
            }
            if node.has_exited() {
                let now = stage.now();
                let at = now as f64 / 1e6;
                let what = format!("sender {number} at {at:.1} s: {}", node.last_lines(3));
                crashes.lock().await.push(what);
                stage.lock().checker.sender_down(now, number);
                clients.died(number, 0.5);
                begin_again(&stage, &clients, &mut node).await;
            }
        }
    }
}

async fn print_progress(stage: Arc<Stage>) {
    let mut ticks = interval(PROGRESS_INTERVAL);
    ticks.tick().await;
    let mut reported = 0;
    loop {
        ticks.tick().await;
        let now = stage.now() as f64 / 1e6;
        let (progress_counts, open, events) = {
            let inner = stage.lock();
            (
                inner.checker.progress_counts(),
                inner.checker.open(),
                inner.checker.events()[reported..].to_vec(),
            )
        };
        reported += events.len();
        for (at, what) in events {
            println!("  {at:5.1} s  {what}");
        }
        let [wanted, delivered, unsuccessful] = progress_counts;
        println!(
            "  {now:5.1} s  wanted {wanted}, delivered {delivered}, refused or failed {unsuccessful}, under way {open}"
        );
    }
}
