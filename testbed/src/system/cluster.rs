//! The simulated cluster: machines, their processes, and the network between them with calls, feed links and partitions.

use super::Mutation;
use super::disk::Disk;
use super::executor::{Executor, ProcessId};
use super::history::{Disturbance, Fact, History};
use super::schedule::{Class, Machine};
use fleet_model::{Answer, Call, Endpoint, EndpointState, Push};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Start of the clock; far from zero because ages are subtracted from it.
const START_US: u64 = 1_000_000_000_000;
/// A message delayed longer by a partition is lost with its connection (TCP user time-out).
const USER_TIMEOUT_US: u64 = 2_000_000;
/// Minimum extra latency of a slow machine's messages; the maximum is twice as much.
const SLOW_US: u64 = 400_000;
/// Number of control nodes that found the register.
const SEEDS: usize = 3;
/// Port of all peers.
pub const PORT: u16 = 7_000;

/// The future of a process's answer.
pub type AnswerFuture = Pin<Box<dyn Future<Output = Answer>>>;
/// A process's request handler.
pub type Handler = Rc<dyn Fn(Ipv4Addr, Call, Option<Pusher>) -> AnswerFuture>;

/// A process of a machine.
struct Node {
    class: Class,
    machine: usize,
    disk: Rc<Disk>,
    incarnation: u64,
    running: Option<ProcessId>,
    /// The machine lost power: its connections are not reset.
    power_lost: bool,
    handler: Option<Handler>,
    started: bool,
}

/// A link of the feed.
struct Link {
    from: (usize, u64),
    to: (usize, u64),
    /// The subscriber's queue; none once the link is closed.
    pushes: Option<mpsc::UnboundedSender<Push>>,
    last: u64,
}

enum Transit {
    After(u64),
    Lost,
}

/// The whole simulated fleet.
pub struct Cluster {
    /// Executor of all processes.
    pub executor: Executor,
    /// Process of the simulation itself: faults, clients, the network.
    pub driver: ProcessId,
    /// Machines that may be lost at once.
    pub tolerance: usize,
    /// The active mutation.
    pub mutation: Option<Mutation>,
    /// All machines of the schedule.
    pub machines: Vec<Machine>,
    /// Seed addresses known to all processes at start.
    pub seeds: Vec<Ipv4Addr>,
    nodes: RefCell<Vec<Node>>,
    links: RefCell<BTreeMap<u64, Link>>,
    last_link: Cell<u64>,
    path_cuts: RefCell<BTreeMap<(usize, usize), u64>>,
    /// End time, and how many of a thousand messages are lost or late until then.
    lossy: Cell<(u64, u64)>,
    /// The same for responses to operators.
    answers_lost: Cell<(u64, u64)>,
    /// By machine, until when its messages are slow.
    slow: RefCell<BTreeMap<usize, u64>>,
    rng: RefCell<ChaCha8Rng>,
    seed: u64,
    history: RefCell<History>,
    platform: Cell<u64>,
    last_disk: Cell<u64>,
    /// Calls that stay unanswered; the callers time out.
    unanswered: RefCell<Vec<oneshot::Sender<Answer>>>,
}

impl Cluster {
    /// Creates a cluster in which no process runs yet.
    pub fn new(seed: u64, tolerance: usize, machines: Vec<Machine>, mutation: Option<Mutation>) -> Rc<Self> {
        let executor = Executor::new(START_US);
        let driver = executor.begin();
        let first = |machine: &&Machine| machine.first && machine.class == Class::ControlNode;
        let seeds = machines.iter().filter(first).map(|machine| machine.ip).take(SEEDS).collect();
        let cluster = Rc::new(Self {
            executor,
            driver,
            tolerance,
            mutation,
            seeds,
            nodes: RefCell::default(),
            links: RefCell::default(),
            last_link: Cell::new(0),
            path_cuts: RefCell::default(),
            lossy: Cell::new((0, 0)),
            answers_lost: Cell::new((0, 0)),
            slow: RefCell::default(),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
            seed,
            history: RefCell::default(),
            platform: Cell::new(1),
            last_disk: Cell::new(100),
            unanswered: RefCell::default(),
            machines,
        });
        for (number, machine) in cluster.machines.iter().enumerate() {
            let classes: &[Class] = match machine.class {
                Class::Agent => &[Class::Agent, Class::Proxy],
                Class::ControlNode => &[Class::ControlNode],
                Class::Store => &[Class::Store],
                Class::Proxy => &[],
            };
            for class in classes {
                let disk = Rc::new(Disk::new(cluster.new_disk()));
                cluster.nodes.borrow_mut().push(Node {
                    class: *class,
                    machine: number,
                    disk,
                    incarnation: 0,
                    running: None,
                    power_lost: false,
                    handler: None,
                    started: false,
                });
            }
        }
        cluster
    }

    /// Ends all processes and returns the history.
    pub fn finish(&self) -> History {
        let processes: Vec<ProcessId> = self.nodes.borrow().iter().filter_map(|node| node.running).collect();
        processes.into_iter().for_each(|process| self.executor.end(process));
        self.executor.end(self.driver);
        self.nodes.borrow_mut().clear();
        self.links.borrow_mut().clear();
        self.unanswered.borrow_mut().clear();
        std::mem::take(&mut *self.history.borrow_mut())
    }

    /// Milliseconds since the start.
    pub fn elapsed_ms(&self) -> u64 {
        (self.executor.now() - START_US) / 1_000
    }

    /// Advances the virtual time by `for_ms` milliseconds.
    pub fn run_ms(&self, for_ms: u64) {
        self.executor.run_until(self.executor.now() + for_ms * 1_000);
    }

    /// Appends an event to the history.
    pub fn record(&self, fact: Fact) {
        self.history.borrow_mut().push((self.elapsed_ms(), fact));
    }

    /// A random number.
    pub fn random_below(&self, below: u64) -> u64 {
        self.rng.borrow_mut().next_u64() % below.max(1)
    }

    /// Whether this mutation is active.
    pub fn breaks(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    fn new_disk(&self) -> u64 {
        self.last_disk.set(self.last_disk.get() + 1);
        self.last_disk.get()
    }

    /// Indexes of a machine's processes.
    pub fn nodes_of(&self, machine: usize) -> Vec<usize> {
        let nodes = self.nodes.borrow();
        (0..nodes.len()).filter(|node| nodes[*node].machine == machine).collect()
    }

    /// Whether a process runs.
    pub fn is_up(&self, node: usize) -> bool {
        self.nodes.borrow()[node].running.is_some()
    }

    /// A process's machine.
    pub fn machine_of(&self, node: usize) -> &Machine {
        &self.machines[self.nodes.borrow()[node].machine]
    }

    /// Index of a process's machine.
    pub fn machine_index_of(&self, node: usize) -> usize {
        self.nodes.borrow()[node].machine
    }

    /// A process's disk.
    pub fn disk_of(&self, node: usize) -> Rc<Disk> {
        self.nodes.borrow()[node].disk.clone()
    }

    /// Starts a process; none if it already runs. The flag is true at its first start.
    pub fn start_process(self: &Rc<Self>, node: usize) -> Option<(Host, bool)> {
        let (process, incarnation, class, first) = {
            let mut nodes = self.nodes.borrow_mut();
            let node_state = &mut nodes[node];
            if node_state.running.is_some() {
                return None;
            }
            let process = self.executor.begin();
            node_state.running = Some(process);
            node_state.incarnation += 1;
            node_state.power_lost = false;
            let first = !std::mem::replace(&mut node_state.started, true);
            (process, node_state.incarnation, node_state.class, first)
        };
        self.close_links_of(node);
        let machine = self.nodes.borrow()[node].machine;
        self.record(Fact::ProcessStarted { node, incarnation, machine });
        if self.breaks(Mutation::RecordOutdated) {
            self.disk_of(node).restore_outdated_record();
        }
        let rng = ChaCha8Rng::seed_from_u64(self.seed ^ (node as u64 + 1) << 32 ^ incarnation << 48);
        let host = Host {
            cluster: Rc::downgrade(self),
            executor: self.executor.clone(),
            node,
            class,
            incarnation,
            process,
            rng: Rc::new(RefCell::new(rng)),
            disk: self.disk_of(node),
            machine: Rc::new(self.machine_of(node).clone()),
        };
        Some((host, first))
    }

    /// Sets the handler of calls to a process.
    pub fn serve(&self, host: &Host, handler: Handler) {
        self.nodes.borrow_mut()[host.node].handler = Some(handler);
    }

    /// Ends a process. `power_lost`: its machine loses power, so unsynced writes may be lost and connections are not reset.
    pub fn end(&self, node: usize, power_lost: bool) {
        let process = {
            let mut nodes = self.nodes.borrow_mut();
            nodes[node].power_lost |= power_lost;
            nodes[node].handler = None;
            nodes[node].running.take()
        };
        let disk = self.disk_of(node);
        disk.end_process();
        if let Some(process) = process {
            self.executor.end(process);
        }
        if power_lost {
            let unsynced = disk.unsynced() as u64;
            // Some power failures lose all unsynced writes.
            let surviving = if self.random_below(3) == 0 { 0 } else { self.random_below(unsynced + 1) };
            disk.lose_power(surviving as usize);
        } else {
            self.close_links_of(node);
        }
    }

    /// Empties a process's disk.
    pub fn wipe(&self, node: usize) {
        self.disk_of(node).wipe(self.new_disk());
    }

    /// Freezes a process, if it runs.
    pub fn freeze(&self, node: usize) -> Option<ProcessId> {
        let process = self.nodes.borrow()[node].running?;
        self.executor.freeze(process);
        Some(process)
    }

    /// Partitions one direction between two machines for `for_ms` milliseconds.
    pub fn cut(&self, from: usize, to: usize, for_ms: u64) {
        let until = self.executor.now() + for_ms * 1_000;
        let mut path_cuts = self.path_cuts.borrow_mut();
        let cut_until = path_cuts.entry((from, to)).or_default();
        *cut_until = until.max(*cut_until);
        self.record(Fact::PathCut { from, to, until: self.elapsed_ms() + for_ms });
    }

    /// Loses or delays `of_thousand` of a thousand messages for `for_ms` milliseconds.
    pub fn lose_messages(&self, for_ms: u64, of_thousand: u64) {
        self.lossy.set((self.executor.now() + for_ms * 1_000, of_thousand));
        self.record(Fact::Lossy { until: self.elapsed_ms() + for_ms });
    }

    /// Loses `of_thousand` of a thousand responses to operators for `for_ms` milliseconds.
    pub fn lose_answers(&self, for_ms: u64, of_thousand: u64) {
        self.answers_lost.set((self.executor.now() + for_ms * 1_000, of_thousand));
        self.record(Fact::Lossy { until: self.elapsed_ms() + for_ms });
    }

    /// Draws whether a response to an operator is lost.
    pub fn loses_answer(&self) -> bool {
        let (until, of_thousand) = self.answers_lost.get();
        self.executor.now() < until && self.random_below(1_000) < of_thousand
    }

    /// Delays a machine's messages beyond the callers' time-outs for `for_ms` milliseconds.
    pub fn slow_down(&self, machine: usize, for_ms: u64) {
        self.slow.borrow_mut().insert(machine, self.executor.now() + for_ms * 1_000);
        let until = self.elapsed_ms() + for_ms;
        self.record(Fact::Disturbed { machine, how: Disturbance::Slow, until });
    }

    fn lateness(&self, machine: usize) -> u64 {
        let until = self.slow.borrow().get(&machine).copied().unwrap_or_default();
        if self.executor.now() < until { SLOW_US + self.random_below(SLOW_US) } else { 0 }
    }

    fn transit(&self, from: usize, to: usize) -> Transit {
        if from == to {
            return Transit::After(20 + self.random_below(200));
        }
        let now = self.executor.now();
        let slow = if self.random_below(60) == 0 { self.random_below(40_000) } else { 0 };
        let mut after = 200 + self.random_below(2_500) + slow + self.lateness(from);
        let held_us = self.path_cuts.borrow().get(&(from, to)).map_or(0, |until| until.saturating_sub(now));
        if held_us > USER_TIMEOUT_US {
            return Transit::Lost;
        }
        after += if held_us > 0 { held_us + self.random_below(200_000) } else { 0 };
        let (until, of_thousand) = self.lossy.get();
        if now < until && self.random_below(1_000) < of_thousand {
            match self.random_below(2) {
                0 => return Transit::Lost,
                _ => after += 200_000 + self.random_below(800_000),
            }
        }
        Transit::After(after)
    }

    fn node_at(&self, from: usize, to: Ipv4Addr) -> Option<usize> {
        let nodes = self.nodes.borrow();
        let machine = match to.is_loopback() {
            true => nodes[from].machine,
            false => self.machines.iter().position(|machine| machine.ip == to)?,
        };
        (0..nodes.len()).find(|node| nodes[*node].machine == machine && nodes[*node].class != Class::Proxy)
    }

    fn call(
        self: &Rc<Self>,
        host: &Host,
        to: Ipv4Addr,
        call: Call,
        link: Option<u64>,
    ) -> oneshot::Receiver<Answer> {
        let (sender, receiver) = oneshot::channel();
        let Some(target) = self.node_at(host.node, to) else { return receiver };
        let (here, there) = (self.nodes.borrow()[host.node].machine, self.nodes.borrow()[target].machine);
        match self.transit(here, there) {
            Transit::Lost => self.unanswered.borrow_mut().push(sender),
            Transit::After(after) => {
                let (cluster, from) = (self.clone(), host.machine.ip);
                self.executor.spawn(self.driver, async move {
                    cluster.executor.sleep(after).await;
                    cluster.arrive(here, from, target, call, link, sender);
                });
            }
        }
        receiver
    }

    fn arrive(
        self: &Rc<Self>,
        here: usize,
        from: Ipv4Addr,
        target: usize,
        call: Call,
        link: Option<u64>,
        sender: oneshot::Sender<Answer>,
    ) {
        let (running, power_lost, handler, there, incarnation) = {
            let nodes = self.nodes.borrow();
            let node = &nodes[target];
            (node.running, node.power_lost, node.handler.clone(), node.machine, node.incarnation)
        };
        let (Some(process), Some(handler)) = (running, handler) else {
            // A closed port resets the connection; a machine without power stays silent.
            if power_lost {
                self.unanswered.borrow_mut().push(sender);
            }
            return;
        };
        if let Some(link) = link
            && let Some(link) = self.links.borrow_mut().get_mut(&link)
        {
            link.from = (target, incarnation);
        }
        let pusher = link.map(|link| Pusher { cluster: Rc::downgrade(self), link });
        let cluster = self.clone();
        self.executor.spawn(process, async move {
            let answer = handler(from, call, pusher).await;
            match cluster.transit(there, here) {
                Transit::Lost => cluster.unanswered.borrow_mut().push(sender),
                Transit::After(after) => {
                    let executor = cluster.executor.clone();
                    cluster.executor.spawn(cluster.driver, async move {
                        executor.sleep(after).await;
                        let _ = sender.send(answer);
                    });
                }
            }
        });
    }

    fn open_link(&self, host: &Host) -> (u64, mpsc::UnboundedReceiver<Push>) {
        let (pushes, receiver) = mpsc::unbounded_channel();
        let link = self.last_link.get() + 1;
        self.last_link.set(link);
        let to = (host.node, host.incarnation);
        let opened = Link { from: (usize::MAX, 0), to, pushes: Some(pushes), last: 0 };
        self.links.borrow_mut().insert(link, opened);
        (link, receiver)
    }

    fn close_links_of(&self, node: usize) {
        let touches_node = |link: &Link| link.from.0 == node || link.to.0 == node;
        self.links.borrow_mut().retain(|_, link| !touches_node(link));
    }

    fn push(self: &Rc<Self>, number: u64, push: Push) -> bool {
        let (from, to, last) = {
            let links = self.links.borrow();
            let Some(link) = links.get(&number) else { return false };
            (link.from, link.to, link.last)
        };
        let (here, there) = (self.nodes.borrow()[from.0].machine, self.nodes.borrow()[to.0].machine);
        let push = self.without_age(push);
        let now = self.executor.now();
        let (cluster, at) = match self.transit(here, there) {
            Transit::Lost => {
                let cluster = self.clone();
                self.executor.spawn(self.driver, async move {
                    cluster.executor.sleep(USER_TIMEOUT_US).await;
                    cluster.links.borrow_mut().remove(&number);
                });
                return true;
            }
            Transit::After(after) => (self.clone(), last.max(now + after)),
        };
        if let Some(link) = self.links.borrow_mut().get_mut(&number) {
            link.last = at;
        }
        self.executor.spawn(self.driver, async move {
            cluster.executor.sleep(at - now).await;
            let nodes = cluster.nodes.borrow();
            let mut links = cluster.links.borrow_mut();
            let Some(link) = links.get_mut(&number) else { return };
            match (&link.pushes, nodes[to.0].incarnation == to.1 && nodes[to.0].running.is_some()) {
                (Some(pushes), true) => {
                    if pushes.send(push).is_err() {
                        links.remove(&number);
                    }
                }
                _ => drop(links.remove(&number)),
            }
        });
        true
    }

    /// Mutation: heartbeats do not carry the age of the data.
    fn without_age(&self, push: Push) -> Push {
        match push {
            Push::Heartbeat { proxies, .. } if self.breaks(Mutation::AgeNotCarried) => {
                Push::Heartbeat { age_ms: 0, proxies }
            }
            push => push,
        }
    }

    /// Changes the platform's endpoint list.
    pub fn change_list(&self) {
        self.platform.set(self.platform.get() + 1);
        self.record(Fact::Platform { list: self.platform.get() });
    }

    /// The platform's current endpoint list; instance names contain the list's number.
    pub fn listed_endpoints(&self) -> Vec<Endpoint> {
        let list = self.platform.get();
        (0..2)
            .map(|index| Endpoint {
                instance_id: format!("{list}-{index}"),
                service: "models".to_owned(),
                address: SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, index), 80),
                zone: "z0".to_owned(),
                capacity_slots: 4,
                state: EndpointState::Ready,
            })
            .collect()
    }
}

/// The number of a list that [`Cluster::listed_endpoints`] gave; 0 of none.
pub fn list_of(endpoints: &[Endpoint]) -> u64 {
    let first = endpoints.first().and_then(|endpoint| endpoint.instance_id.split_once('-'));
    first.and_then(|(list, _)| list.parse().ok()).unwrap_or_default()
}

/// The server side of a feed link.
#[derive(Clone)]
pub struct Pusher {
    cluster: Weak<Cluster>,
    link: u64,
}

impl Pusher {
    /// Pushes; false if the link is closed.
    pub fn push(&self, push: Push) -> bool {
        self.cluster.upgrade().is_some_and(|cluster| cluster.push(self.link, push))
    }

    /// Whether it is closed.
    pub fn is_closed(&self) -> bool {
        self.cluster.upgrade().is_none_or(|cluster| !cluster.links.borrow().contains_key(&self.link))
    }
}

/// The client side of a feed link, which closes on drop.
pub struct Pushes {
    cluster: Weak<Cluster>,
    link: u64,
    pushes: mpsc::UnboundedReceiver<Push>,
}

impl Pushes {
    /// The next push; none once the link is closed.
    pub async fn next(&mut self) -> Option<Push> {
        self.pushes.recv().await
    }
}

impl Drop for Pushes {
    fn drop(&mut self) {
        if let Some(cluster) = self.cluster.upgrade() {
            cluster.links.borrow_mut().remove(&self.link);
        }
    }
}

/// One incarnation of a process, with access to its machine.
#[derive(Clone)]
pub struct Host {
    cluster: Weak<Cluster>,
    executor: Executor,
    /// Index of the process.
    pub node: usize,
    /// Role of the process.
    pub class: Class,
    /// Number of this start of the process, from 1.
    pub incarnation: u64,
    process: ProcessId,
    rng: Rc<RefCell<ChaCha8Rng>>,
    disk: Rc<Disk>,
    /// Its machine.
    pub machine: Rc<Machine>,
}

impl Host {
    /// The cluster, while it exists.
    pub fn cluster(&self) -> Option<Rc<Cluster>> {
        self.cluster.upgrade()
    }

    /// Virtual time.
    pub fn now(&self) -> Duration {
        Duration::from_micros(self.executor.now())
    }

    /// Virtual time in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.executor.now() / 1_000
    }

    /// A random number.
    pub fn random_u64(&self) -> u64 {
        self.rng.borrow_mut().next_u64()
    }

    /// A random number from `from` to `to`, both included.
    pub fn random_between(&self, from: u64, to: u64) -> u64 {
        from + self.random_u64() % (to - from + 1)
    }

    /// Machines that may be lost at once.
    pub fn tolerance(&self) -> usize {
        self.cluster().map_or(0, |cluster| cluster.tolerance)
    }

    /// Whether this mutation is active.
    pub fn breaks(&self, mutation: Mutation) -> bool {
        self.cluster().is_some_and(|cluster| cluster.breaks(mutation))
    }

    /// Whether writes are synced before they are acknowledged.
    pub fn syncs(&self) -> bool {
        !self.breaks(Mutation::NoSync)
    }

    /// Its disk.
    pub fn disk(&self) -> &Rc<Disk> {
        &self.disk
    }

    /// Appends an event to the history.
    pub fn record(&self, fact: Fact) {
        if let Some(cluster) = self.cluster() {
            cluster.record(fact);
        }
    }

    /// Sleeps for `for_ms` milliseconds.
    pub async fn sleep(&self, for_ms: u64) {
        self.executor.sleep(for_ms * 1_000).await;
    }

    /// Sleeps for `for_us` microseconds.
    pub async fn sleep_us(&self, for_us: u64) {
        self.executor.sleep(for_us).await;
    }

    /// The output of `work`, or none after `for_ms` milliseconds.
    pub async fn timeout<F: Future>(&self, for_ms: u64, work: F) -> Option<F::Output> {
        self.executor.timeout(for_ms * 1_000, work).await
    }

    /// Spawns a task that ends with this incarnation.
    pub fn spawn(&self, work: impl Future<Output = ()> + 'static) -> u64 {
        self.executor.spawn(self.process, work)
    }

    /// Ends a task.
    pub fn abort(&self, task: u64) {
        self.executor.abort(task);
    }

    /// Calls the process of another machine; none on a time-out or failure.
    pub async fn call(&self, to: Ipv4Addr, call: Call, timeout_ms: u64) -> Option<Answer> {
        let answer = self.cluster()?.call(self, to, call, None);
        self.timeout(timeout_ms, answer).await?.ok()
    }

    /// Opens a link of the feed.
    pub async fn subscribe(&self, to: Ipv4Addr, call: Call, timeout_ms: u64) -> Option<(Answer, Pushes)> {
        let (link, answer) = {
            let cluster = self.cluster()?;
            let (link, pushes) = cluster.open_link(self);
            let answer = cluster.call(self, to, call, Some(link));
            (Pushes { cluster: self.cluster.clone(), link, pushes }, answer)
        };
        let answer = self.timeout(timeout_ms, answer).await?.ok()?;
        Some((answer, link))
    }
}
