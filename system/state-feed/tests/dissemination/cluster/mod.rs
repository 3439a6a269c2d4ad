//! An in-memory cluster in simulated time: control nodes that learn chosen values from an oracle, agents with their proxies,
//! and storage nodes, over links with delays that break or retain messages.

mod faults;
mod network;
mod processes;

use fleet_model::{Answer, Call, Endpoint, ListVersion, Push};
use state_feed::{FeedState, Follower};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::net::Ipv4Addr;
use std::time::Duration;

/// Start of the simulated time in milliseconds; far from zero, since ages are subtracted from it.
const START_MS: u64 = 1_000_000_000;
/// Time in milliseconds without acknowledgement after which the kernel closes a connection.
const USER_TIMEOUT_MS: u64 = 2_000;
const PORT: u16 = 7_000;

/// A deterministic pseudo-random generator.
pub(crate) struct Random(u64);

impl Random {
    pub(crate) fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x5851_f42d_4c95_7f2d)
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound.max(1)
    }

    pub(crate) fn between(&mut self, from: u64, to: u64) -> u64 {
        from + self.below(to - from + 1)
    }

    pub(crate) fn one_in(&mut self, bound: u64) -> bool {
        self.below(bound) == 0
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    ControlNode,
    Agent,
    /// The proxy of the agent with this index.
    Proxy(usize),
    Storage,
}

/// An event that the checks evaluate.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum HistoryEvent {
    /// A value was chosen, or a list was polled.
    Chosen { at: u64, round: u64, list: u64 },
    /// What a node knows from this time on.
    Knows { at: u64, node: usize, incarnation: u64, round: u64, list: ListVersion, true_list: bool },
    /// Since when the node has been able to reach one up-to-date control node without interruption.
    Reachable { at: u64, node: usize, since: Option<u64> },
    /// Links that a control node serves, and subscription calls since the last sample.
    Load { at: u64, control_node: usize, links: usize, calls: usize },
    /// A value was pushed more than once on one link.
    Repeated { at: u64, link: u64, round: u64 },
}

#[derive(Clone, Debug)]
enum Message {
    Subscribe(Call),
    Answer(Answer),
    Push(Push),
    Close,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    Client,
    Server,
}

#[derive(Debug)]
struct Link {
    client: (usize, u64),
    server: (usize, u64),
    number: u64,
    /// By direction, to the server first: messages that wait for a partition to heal, and since when.
    pending: [VecDeque<Message>; 2],
    pending_since: [Option<u64>; 2],
    last: [u64; 2],
    broken: bool,
    pushed: BTreeSet<u64>,
}

#[derive(Clone, Debug)]
enum Action {
    Deliver(u64, Side, Message),
    Wake(usize, u64),
    Poll(usize, u64),
    Polled(usize, u64, u64),
    BreakIfPending(u64, usize, u64),
    BreakIfSilent(u64, Side, u64),
    Thaw(usize, u64),
    Restart(usize),
    Heal(usize, usize),
    CommitValue,
    PollList,
    Sample,
}

pub(crate) struct Node {
    pub kind: Kind,
    pub ip: Ipv4Addr,
    pub zone: String,
    pub feed: FeedState,
    pub follower: Option<Follower>,
    pub alive: bool,
    /// Without power, so that its kernel closes no connections.
    powered_off: bool,
    pub incarnation: u64,
    frozen_until: u64,
    inbox: Vec<Action>,
    links: HashMap<u64, u64>,
    next_wake: u64,
    calls: usize,
    last_recorded: Option<(u64, ListVersion)>,
}

/// Size of a cluster, and delays of its processes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClusterSize {
    pub control_nodes: usize,
    pub agents: usize,
    pub zones: usize,
    pub storages: usize,
    pub proxies: bool,
    /// Usual maximum delay of a process's actions in milliseconds.
    pub max_lag: u64,
}

pub(crate) struct Cluster {
    pub now: u64,
    pub random: Random,
    pub nodes: Vec<Node>,
    pub history: Vec<HistoryEvent>,
    pub size: ClusterSize,
    pub pushes: u64,
    links: HashMap<u64, Link>,
    last_link: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    actions: HashMap<u64, Action>,
    sequence: u64,
    /// End of each partition, by direction.
    partitions: BTreeMap<(usize, usize), u64>,
    /// Live control nodes that are isolated from a majority, and until when.
    without_majority: BTreeMap<usize, u64>,
    round: u64,
    lists: Vec<BTreeSet<Endpoint>>,
    reachable_since: HashMap<(usize, usize), u64>,
}

impl Cluster {
    pub(crate) fn new(seed: u64, size: ClusterSize) -> Self {
        let mut cluster = Self {
            now: START_MS,
            random: Random::new(seed),
            nodes: Vec::new(),
            history: Vec::new(),
            size,
            pushes: 0,
            links: HashMap::new(),
            last_link: 0,
            queue: BinaryHeap::new(),
            actions: HashMap::new(),
            sequence: 0,
            partitions: BTreeMap::new(),
            without_majority: BTreeMap::new(),
            round: 0,
            lists: vec![BTreeSet::new()],
            reachable_since: HashMap::new(),
        };
        for index in 0..size.control_nodes {
            cluster.add(Kind::ControlNode, Ipv4Addr::new(10, 0, 0, index as u8 + 1), index % size.zones);
        }
        for index in 0..size.storages {
            cluster.add(Kind::Storage, Ipv4Addr::new(10, 0, 2, index as u8 + 1), index % size.zones);
        }
        for index in 0..size.agents {
            let ip = Ipv4Addr::new(10, 0, 1, index as u8 + 1);
            cluster.add(Kind::Agent, ip, index % size.zones);
            if size.proxies {
                cluster.add(Kind::Proxy(cluster.nodes.len() - 1), ip, index % size.zones);
            }
        }
        cluster.commit_value();
        cluster.poll_list();
        for node in 0..cluster.nodes.len() {
            let later = cluster.random.between(1, 300);
            cluster.schedule_after(later, Action::Restart(node));
        }
        cluster.schedule_after(1, Action::Sample);
        cluster
    }

    fn add(&mut self, kind: Kind, ip: Ipv4Addr, zone: usize) {
        self.nodes.push(Node {
            kind,
            ip,
            zone: format!("z{zone}"),
            feed: FeedState::default(),
            follower: None,
            alive: false,
            powered_off: false,
            incarnation: 0,
            frozen_until: 0,
            inbox: Vec::new(),
            links: HashMap::new(),
            next_wake: 0,
            calls: 0,
            last_recorded: None,
        });
    }

    pub(crate) fn elapsed(&self) -> u64 {
        self.now - START_MS
    }

    pub(crate) fn nodes_of_kind(&self, wanted: impl Fn(Kind) -> bool) -> Vec<usize> {
        (0..self.nodes.len()).filter(|node| wanted(self.nodes[*node].kind)).collect()
    }

    fn time(&self) -> Duration {
        Duration::from_millis(self.now)
    }

    fn schedule(&mut self, at: u64, action: Action) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.actions.insert(self.sequence, action);
    }

    fn schedule_after(&mut self, later: u64, action: Action) {
        self.schedule(self.now + later, action);
    }

    /// Runs for `millis` milliseconds.
    pub(crate) fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while let Some(Reverse((at, sequence))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            let action = self.actions.remove(&sequence).expect("planned once");
            self.perform(action);
        }
        self.now = end;
    }
}
