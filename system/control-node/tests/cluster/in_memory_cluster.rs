//! Control nodes in memory, in simulated time, whose disks can refuse and stall.

use config_register::{AcceptorRecord, BallotSource};
use control_node::{
    ControlBackend, ControlEvent, ControlNode, DiscoveryError, InitialState, PersistError, PutConfigOutcome,
};
use fleet_model::{Answer, Call, Endpoint, Push, RegisterReply, RegisterRequest};
use node_runtime::{Feed, FeedEvent, Runtime, Subscriber, Task, Upstream};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::Instant;

/// A node of the fleet.
pub type Node = ControlNode<Host, Machine>;

/// Ages are taken off the time, so it begins late.
const BEFORE: Duration = Duration::from_secs(1_000_000);

/// What a disk does with the next writes.
#[derive(Clone, Copy, Default)]
pub enum Mood {
    #[default]
    Takes,
    Refuses,
    /// Refuses one write.
    RefusesOnce,
    /// Takes writes when this is over.
    Stalls(Duration),
}

#[derive(Default)]
struct Disk {
    holds: RefCell<Option<AcceptorRecord>>,
    mood: Cell<Mood>,
}

/// The fleet: all nodes, and what lies between them.
#[derive(Default)]
pub struct Fleet {
    nodes: RefCell<BTreeMap<Ipv4Addr, Rc<Node>>>,
    disks: RefCell<BTreeMap<Ipv4Addr, Rc<Disk>>>,
    events: RefCell<Vec<(Ipv4Addr, String)>>,
    /// Votes that were told while the disk did not hold them.
    untrue: RefCell<Vec<String>>,
    /// Machines that answer nobody and reach nobody.
    cut_off: RefCell<BTreeSet<Ipv4Addr>>,
    drawn: Cell<u64>,
}

pub fn seeds() -> Vec<Ipv4Addr> {
    (1..=3).map(|last| Ipv4Addr::new(10, 0, 0, last)).collect()
}

impl Fleet {
    /// Three nodes that start for the first time, the disks of some of them in a mood.
    pub fn start(moods: &[(Ipv4Addr, Mood)]) -> Rc<Self> {
        let fleet = Rc::new(Self::default());
        for ip in seeds() {
            fleet.disks.borrow_mut().insert(ip, Rc::default());
        }
        moods.iter().for_each(|(ip, mood)| fleet.set_mood(*ip, *mood));
        seeds().into_iter().for_each(|ip| fleet.start_node(ip));
        fleet
    }

    /// Starts a node that never voted; it is told the seeds.
    pub fn start_node(self: &Rc<Self>, ip: Ipv4Addr) {
        self.disks.borrow_mut().entry(ip).or_default();
        let host = Host { fleet: self.clone(), ip, began: Instant::now() };
        let machine = Machine { host: host.clone(), disk: self.disk(ip) };
        let feed = Feed::new(host.clone());
        let ballots = BallotSource::new(ip, u64::from(u32::from(ip)));
        let node = ControlNode::new(host, machine, feed, ballots, InitialState::never_voted(ip, &seeds()));
        self.nodes.borrow_mut().insert(ip, node.clone());
        node.run();
    }

    /// From now on this machine answers nobody and reaches nobody.
    pub fn cut_off(&self, ip: Ipv4Addr) {
        self.cut_off.borrow_mut().insert(ip);
    }

    /// The node at `to`, if it listens and `from` reaches it.
    fn reached(&self, from: Ipv4Addr, to: Ipv4Addr) -> Option<Rc<Node>> {
        let cut_off = self.cut_off.borrow();
        let is_cut = cut_off.contains(&from) || cut_off.contains(&to);
        self.nodes.borrow().get(&to).filter(|_| !is_cut).cloned()
    }

    fn disk(&self, ip: Ipv4Addr) -> Rc<Disk> {
        self.disks.borrow()[&ip].clone()
    }

    pub fn node(&self, ip: Ipv4Addr) -> Rc<Node> {
        self.nodes.borrow()[&ip].clone()
    }

    pub fn set_mood(&self, ip: Ipv4Addr, mood: Mood) {
        self.disk(ip).mood.set(mood);
    }

    /// Events of a node that tell of its disk.
    pub fn disk_events(&self, ip: Ipv4Addr) -> Vec<String> {
        let events = self.events.borrow();
        events.iter().filter(|(of, _)| *of == ip).map(|(_, event)| event.clone()).collect()
    }

    /// Votes that were told while the disk did not hold them.
    pub fn untrue(&self) -> Vec<String> {
        self.untrue.borrow().clone()
    }

    /// Sends a configuration to a node until the outcome is clear, a few seconds at most.
    pub async fn commit(&self, ip: Ipv4Addr, version: u64) -> PutConfigOutcome {
        let mut outcome = PutConfigOutcome::Unavailable;
        for _ in 0..8 {
            outcome = self.node(ip).put_config(Some(version - 1), configuration(version)).await;
            if outcome != PutConfigOutcome::Unavailable {
                break;
            }
        }
        outcome
    }

    fn check(&self, ip: Ipv4Addr, told: &str, is_held: impl Fn(&AcceptorRecord) -> bool) {
        if !self.disk(ip).holds.borrow().as_ref().is_some_and(is_held) {
            self.untrue.borrow_mut().push(format!("{ip}: {told}"));
        }
    }
}

pub fn configuration(version: u64) -> bytes::Bytes {
    let text = format!(
        r#"{{"version":{version},"routes":[{{"name":"r","hostname":"h.example","path_prefix":"/",
        "route_type":"idempotent","timeout_ms":1500,"service":"s"}}],
        "services":[{{"name":"s","health_check_path":"/health","max_connections":8}}]}}"#
    );
    text.into()
}

/// A node's process.
#[derive(Clone)]
pub struct Host {
    fleet: Rc<Fleet>,
    ip: Ipv4Addr,
    began: Instant,
}

impl Runtime for Host {
    type Task = LocalTask;
    type Upstream = NoLink;
    type Subscriber = NoLink;

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
        BEFORE + self.began.elapsed()
    }

    fn random_u64(&self) -> u64 {
        self.fleet.drawn.set(self.fleet.drawn.get() + 1);
        fleet_model::rendezvous_rank(&self.fleet.drawn.get().to_be_bytes(), 1)
    }

    async fn sleep(&self, pause: Duration) {
        tokio::time::sleep(pause).await;
    }

    fn spawn(&self, work: impl Future<Output = ()> + 'static) -> LocalTask {
        LocalTask(spawn_local(work).abort_handle())
    }

    async fn call(&self, to: Ipv4Addr, call: Call, patience: Duration) -> Option<Answer> {
        let Some(node) = self.fleet.reached(self.ip, to) else {
            tokio::time::sleep(patience).await;
            return None;
        };
        let request = match &call {
            Call::Register(request) => Some(request.clone()),
            _ => None,
        };
        // The called goes on when the caller gives up.
        let (fleet, from) = (self.fleet.clone(), self.ip);
        let answering = spawn_local(async move {
            tokio::time::sleep(Duration::from_millis(1)).await;
            let answer = node.answer(from, call, None).await;
            match (&answer, request) {
                (Answer::Register(RegisterReply::Promised(_)), Some(RegisterRequest::Prepare(ballot))) => {
                    fleet.check(to, "promised", |record| record.promised >= ballot);
                }
                (Answer::Register(RegisterReply::Accepted), Some(RegisterRequest::Accept(offered))) => {
                    let of = |record: &AcceptorRecord| record.accepted.as_ref().map(|value| value.ballot);
                    fleet.check(to, "accepted", |record| of(record) >= Some(offered.ballot));
                }
                _ => {}
            }
            answer
        });
        tokio::time::timeout(patience, answering).await.ok()?.ok()
    }

    async fn subscribe(&self, _: SocketAddrV4, _: Call, _: Duration) -> Option<(Answer, NoLink)> {
        None
    }

    fn on_feed(&self, _: FeedEvent<'_>) {}
}

/// A task of a node.
pub struct LocalTask(AbortHandle);

impl Task for LocalTask {
    fn abort(self) {
        self.0.abort();
    }
}

/// There are no links here.
pub struct NoLink;

impl Upstream for NoLink {
    async fn next(&mut self) -> Option<Push> {
        None
    }
}

impl Subscriber for NoLink {
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

/// A node's machine.
pub struct Machine {
    host: Host,
    disk: Rc<Disk>,
}

impl ControlBackend for Machine {
    fn tolerance(&self) -> usize {
        1
    }

    async fn persist(&self, record: &AcceptorRecord) -> Result<(), PersistError> {
        let mood = self.disk.mood.get();
        match mood {
            Mood::Takes => tokio::time::sleep(Duration::from_millis(2)).await,
            Mood::Stalls(time) => tokio::time::sleep(time).await,
            Mood::Refuses => return Err(PersistError("no space left".to_owned())),
            Mood::RefusesOnce => {
                self.disk.mood.set(Mood::Takes);
                return Err(PersistError("no space left".to_owned()));
            }
        }
        *self.disk.holds.borrow_mut() = Some(record.clone());
        Ok(())
    }

    fn discovers_endpoints(&self) -> bool {
        false
    }

    async fn discover_endpoints(&self) -> Result<Vec<Endpoint>, DiscoveryError> {
        Ok(Vec::new())
    }

    fn on_event(&self, event: &ControlEvent<'_>) {
        if matches!(event, ControlEvent::DiskRefuses(_) | ControlEvent::DiskAccepts) {
            self.host.fleet.events.borrow_mut().push((self.host.ip, event.to_string()));
        }
    }
}
