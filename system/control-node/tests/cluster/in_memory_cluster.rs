//! A cluster of control nodes in memory and simulated time, whose disks can fail and stall.

use config_register::{AcceptorRecord, BallotSource};
use control_node::{
    ControlBackend, ControlEvent, ControlNode, DiscoveryError, InitialState, PersistError, PutConfigOutcome,
};
use fleet_model::{Answer, Call, Endpoint, Push, RegisterReply, RegisterRequest};
use node_runtime::{Feed, FeedEvent, Runtime, Subscriber, Task, Upstream};
use replicated_log::{JournalWrite, RecoveredJournal};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::Instant;

/// A control node with simulated services.
pub(crate) type Node = ControlNode<Host, Backend>;

/// The start time of the clocks. It is not zero, because ages are subtracted from the current time.
const CLOCK_START: Duration = Duration::from_secs(1_000_000);

/// How a disk handles its next writes.
#[derive(Clone, Copy, Default)]
pub(crate) enum DiskBehavior {
    #[default]
    Accepts,
    Refuses,
    /// Refuses one write, then accepts writes.
    RefusesOnce,
    /// Completes each write after this time.
    Stalls(Duration),
}

#[derive(Default)]
struct Disk {
    record: RefCell<Option<AcceptorRecord>>,
    journal: RefCell<RecoveredJournal>,
    behavior: Cell<DiskBehavior>,
}

/// The nodes, their disks, and the network between them.
#[derive(Default)]
pub(crate) struct Cluster {
    nodes: RefCell<BTreeMap<Ipv4Addr, Rc<Node>>>,
    disks: RefCell<BTreeMap<Ipv4Addr, Rc<Disk>>>,
    events: RefCell<Vec<(Ipv4Addr, String)>>,
    /// Votes that were sent before they were on disk.
    premature_votes: RefCell<Vec<String>>,
    /// Number of each node's current process; processes with a lower number have ended.
    processes: RefCell<BTreeMap<Ipv4Addr, u64>>,
    disconnected: RefCell<BTreeSet<Ipv4Addr>>,
    /// Number of random values that were generated; seeds the next one.
    random_count: Cell<u64>,
    /// Whether nodes read an endpoint list.
    discovers_endpoints: bool,
}

pub(crate) fn seeds() -> Vec<Ipv4Addr> {
    (1..=3).map(|last| Ipv4Addr::new(10, 0, 0, last)).collect()
}

impl Cluster {
    /// Starts the three seeds for the first time, with the given behavior of some of their disks.
    pub(crate) fn start(disk_behaviors: &[(Ipv4Addr, DiskBehavior)]) -> Rc<Self> {
        Self::default().start_seeds(disk_behaviors)
    }

    /// Starts the three seeds with endpoint discovery, so that one of them holds its lease and removes unresponsive voters.
    pub(crate) fn start_with_discovery() -> Rc<Self> {
        Self { discovers_endpoints: true, ..Self::default() }.start_seeds(&[])
    }

    fn start_seeds(self, disk_behaviors: &[(Ipv4Addr, DiskBehavior)]) -> Rc<Self> {
        let cluster = Rc::new(self);
        for ip in seeds() {
            cluster.disks.borrow_mut().insert(ip, Rc::default());
        }
        disk_behaviors.iter().for_each(|(ip, behavior)| cluster.set_disk_behavior(*ip, *behavior));
        seeds().into_iter().for_each(|ip| cluster.start_node(ip));
        cluster
    }

    /// Starts a node that has never voted and knows the seeds.
    pub(crate) fn start_node(self: &Rc<Self>, ip: Ipv4Addr) {
        self.disks.borrow_mut().entry(ip).or_default();
        self.start_process(ip, InitialState::never_voted(ip, &seeds()), RecoveredJournal::Empty);
    }

    /// Ends a node's process.
    pub(crate) fn stop_node(&self, ip: Ipv4Addr) {
        self.nodes.borrow_mut().remove(&ip);
        let number = self.processes.borrow().get(&ip).copied().unwrap_or_default();
        self.processes.borrow_mut().insert(ip, number + 1);
    }

    /// Ends a node's process and starts another one from its disk.
    pub(crate) fn restart_node(self: &Rc<Self>, ip: Ipv4Addr) {
        self.stop_node(ip);
        let disk = self.disk(ip);
        let record = disk.record.borrow().clone();
        let initial_state = record.map_or(InitialState::Recovering, InitialState::Existing);
        let journal = disk.journal.borrow().clone();
        self.start_process(ip, initial_state, journal);
    }

    /// Replaces a node's disk by an empty one.
    pub(crate) fn wipe_disk(&self, ip: Ipv4Addr) {
        self.disks.borrow_mut().insert(ip, Rc::default());
    }

    fn start_process(self: &Rc<Self>, ip: Ipv4Addr, initial_state: InitialState, journal: RecoveredJournal) {
        let process = self.processes.borrow().get(&ip).copied().unwrap_or_default();
        let host = Host { cluster: self.clone(), ip, process, started_at: Instant::now() };
        let backend = Backend { host: host.clone(), disk: self.disk(ip) };
        let feed = Feed::new(host.clone());
        let ballots = BallotSource::new(ip, u64::from(u32::from(ip)) + (process << 32));
        let node = ControlNode::new(host, backend, feed, ballots, initial_state, journal);
        self.nodes.borrow_mut().insert(ip, node.clone());
        node.run();
    }

    /// Disconnects a node from all others.
    pub(crate) fn disconnect(&self, ip: Ipv4Addr) {
        self.disconnected.borrow_mut().insert(ip);
    }

    /// Reverts [`Cluster::disconnect`].
    pub(crate) fn reconnect(&self, ip: Ipv4Addr) {
        self.disconnected.borrow_mut().remove(&ip);
    }

    fn has_ended(&self, host: &Host) -> bool {
        self.processes.borrow().get(&host.ip).is_some_and(|process| *process != host.process)
    }

    /// The node at `to`, if it runs and `from` can reach it.
    fn reachable_node(&self, from: Ipv4Addr, to: Ipv4Addr) -> Option<Rc<Node>> {
        let disconnected = self.disconnected.borrow();
        let is_disconnected = disconnected.contains(&from) || disconnected.contains(&to);
        self.nodes.borrow().get(&to).filter(|_| !is_disconnected).cloned()
    }

    fn disk(&self, ip: Ipv4Addr) -> Rc<Disk> {
        self.disks.borrow()[&ip].clone()
    }

    pub(crate) fn node(&self, ip: Ipv4Addr) -> Rc<Node> {
        self.nodes.borrow()[&ip].clone()
    }

    pub(crate) fn set_disk_behavior(&self, ip: Ipv4Addr, behavior: DiskBehavior) {
        self.disk(ip).behavior.set(behavior);
    }

    /// The disk events that a node has reported.
    pub(crate) fn disk_events(&self, ip: Ipv4Addr) -> Vec<String> {
        let events = self.events.borrow();
        events.iter().filter(|(node, _)| *node == ip).map(|(_, event)| event.clone()).collect()
    }

    /// Votes that were sent before they were on disk.
    pub(crate) fn premature_votes(&self) -> Vec<String> {
        self.premature_votes.borrow().clone()
    }

    /// Sends a configuration to a node until the outcome is known, up to eight times.
    pub(crate) async fn commit(&self, ip: Ipv4Addr, version: u64) -> PutConfigOutcome {
        let mut outcome = PutConfigOutcome::Unavailable;
        for _ in 0..8 {
            outcome = self.node(ip).put_config(Some(version - 1), configuration(version)).await;
            if outcome != PutConfigOutcome::Unavailable {
                break;
            }
        }
        outcome
    }

    fn check_vote(&self, ip: Ipv4Addr, vote: &str, is_durable: impl Fn(&AcceptorRecord) -> bool) {
        if !self.disk(ip).record.borrow().as_ref().is_some_and(is_durable) {
            self.premature_votes.borrow_mut().push(format!("{ip}: {vote}"));
        }
    }
}

pub(crate) fn configuration(version: u64) -> bytes::Bytes {
    let text = format!(
        r#"{{"version":{version},"routes":[{{"name":"r","hostname":"h.example","path_prefix":"/",
        "route_type":"idempotent","timeout_ms":1500,"service":"s"}}],
        "services":[{{"name":"s","health_check_path":"/health","max_connections":8}}]}}"#
    );
    text.into()
}

/// A node's process.
#[derive(Clone)]
pub(crate) struct Host {
    cluster: Rc<Cluster>,
    ip: Ipv4Addr,
    process: u64,
    started_at: Instant,
}

impl Runtime for Host {
    type Task = LocalTask;
    type Upstream = NoConnection;
    type Subscriber = NoConnection;

    fn ip(&self) -> Ipv4Addr {
        self.ip
    }

    fn zone(&self) -> String {
        "z".to_owned()
    }

    fn seeds(&self) -> Vec<Ipv4Addr> {
        seeds()
    }

    fn peer_port(&self) -> u16 {
        7
    }

    fn now(&self) -> Duration {
        CLOCK_START + self.started_at.elapsed()
    }

    fn random_u64(&self) -> u64 {
        self.cluster.random_count.set(self.cluster.random_count.get() + 1);
        fleet_model::rendezvous_rank(&self.cluster.random_count.get().to_be_bytes(), 1)
    }

    async fn sleep(&self, duration: Duration) {
        tokio::time::sleep(duration).await;
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> LocalTask {
        LocalTask(spawn_local(task).abort_handle())
    }

    async fn call(&self, to: Ipv4Addr, call: Call, timeout: Duration) -> Option<Answer> {
        let Some(node) = self.cluster.reachable_node(self.ip, to).filter(|_| !self.cluster.has_ended(self))
        else {
            tokio::time::sleep(timeout).await;
            return None;
        };
        let request = match &call {
            Call::Register(request) => Some(request.clone()),
            _ => None,
        };
        // The answering node continues even if the caller times out.
        let (cluster, from) = (self.cluster.clone(), self.ip);
        let answering = spawn_local(async move {
            tokio::time::sleep(Duration::from_millis(1)).await;
            let answer = node.answer(from, call, None).await;
            match (&answer, request) {
                (Answer::Register(RegisterReply::Promised(_)), Some(RegisterRequest::Prepare(ballot))) => {
                    cluster.check_vote(to, "promised", |record| record.promised >= ballot);
                }
                (Answer::Register(RegisterReply::Accepted), Some(RegisterRequest::Accept(offered))) => {
                    let accepted_ballot =
                        |record: &AcceptorRecord| record.accepted.as_ref().map(|value| value.ballot);
                    cluster
                        .check_vote(to, "accepted", |record| accepted_ballot(record) >= Some(offered.ballot));
                }
                _ => {}
            }
            answer
        });
        tokio::time::timeout(timeout, answering).await.ok()?.ok()
    }

    async fn subscribe(&self, _: SocketAddrV4, _: Call, _: Duration) -> Option<(Answer, NoConnection)> {
        None
    }

    fn on_feed(&self, _: FeedEvent<'_>) {}
}

/// A task of a node.
pub(crate) struct LocalTask(AbortHandle);

impl Task for LocalTask {
    fn abort(self) {
        self.0.abort();
    }
}

/// A subscription. None is ever made here, so nodes learn the state only by polls.
pub(crate) struct NoConnection;

impl Upstream for NoConnection {
    async fn next(&mut self) -> Option<Push> {
        None
    }
}

impl Subscriber for NoConnection {
    type Prepared = ();

    fn prepare(_: &Push) -> Option<()> {
        None
    }

    fn send(&self, (): &()) -> bool {
        false
    }

    fn is_closed(&self) -> bool {
        true
    }
}

/// The services of a node's host.
pub(crate) struct Backend {
    host: Host,
    disk: Rc<Disk>,
}

impl Backend {
    /// Waits for the duration of a write; fails if the disk refuses the write or the process has ended meanwhile.
    async fn write_delay(&self) -> Result<(), PersistError> {
        let behavior = self.disk.behavior.get();
        match behavior {
            DiskBehavior::Accepts => tokio::time::sleep(Duration::from_millis(2)).await,
            DiskBehavior::Stalls(time) => tokio::time::sleep(time).await,
            DiskBehavior::Refuses => return Err(PersistError("no space left".to_owned())),
            DiskBehavior::RefusesOnce => {
                self.disk.behavior.set(DiskBehavior::Accepts);
                return Err(PersistError("no space left".to_owned()));
            }
        }
        match self.host.cluster.has_ended(&self.host) {
            true => Err(PersistError("the process has ended".to_owned())),
            false => Ok(()),
        }
    }
}

impl ControlBackend for Backend {
    fn tolerance(&self) -> usize {
        1
    }

    async fn persist(&self, record: &AcceptorRecord) -> Result<(), PersistError> {
        self.write_delay().await?;
        *self.disk.record.borrow_mut() = Some(record.clone());
        Ok(())
    }

    async fn write_journal(&self, write: JournalWrite) -> Result<(), PersistError> {
        self.write_delay().await?;
        let mut journal = self.disk.journal.borrow_mut();
        match write {
            JournalWrite::Checkpoint(checkpoint) => {
                *journal = RecoveredJournal::Stored { checkpoint, records: Vec::new() };
            }
            JournalWrite::Append(appended) => match &mut *journal {
                RecoveredJournal::Stored { records, .. } => records.extend(appended),
                RecoveredJournal::Empty => return Err(PersistError("no checkpoint".to_owned())),
            },
        }
        Ok(())
    }

    fn event_retention(&self) -> Duration {
        Duration::from_secs(20)
    }

    fn discovers_endpoints(&self) -> bool {
        self.host.cluster.discovers_endpoints
    }

    async fn discover_endpoints(&self) -> Result<Vec<Endpoint>, DiscoveryError> {
        Ok(Vec::new())
    }

    fn on_event(&self, event: &ControlEvent<'_>) {
        if matches!(event, ControlEvent::DiskFailing(_) | ControlEvent::DiskRecovered) {
            self.host.cluster.events.borrow_mut().push((self.host.ip, event.to_string()));
        }
    }
}
