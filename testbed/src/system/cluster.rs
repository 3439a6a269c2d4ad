//! The simulated cluster: machines, their processes, and the network between them with calls, feed links and partitions.

mod host;
mod network;

pub use host::Host;
pub use network::{Pusher, Pushes};

use super::Mutation;
use super::disk::Disk;
use super::executor::{Executor, ProcessId};
use super::history::{Fact, History};
use super::schedule::{Class, Machine};
use fleet_model::{Answer, Call, Endpoint, EndpointState};
use network::Link;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::pin::Pin;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Start of the clock; far from zero because ages are subtracted from it.
const START_US: u64 = 1_000_000_000_000;
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
