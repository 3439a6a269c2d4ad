//! A fleet in memory, in simulated time: keepers that learn from an oracle of what is chosen, agents, their proxies,
//! storage machines; links with delays that break, or hold back what is sent.

mod faults;
mod network;
mod processes;

use fleet_model::{Answer, Call, Endpoint, ListVersion, Push};
use state_feed::{FeedState, Follower};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::net::Ipv4Addr;
use std::time::Duration;

/// Simulated time begins far from zero, since ages are taken off it.
const START: u64 = 1_000_000_000;
/// The kernel breaks a connection whose bytes are not acknowledged for so long.
const USER_TIMEOUT: u64 = 2_000;
const PORT: u16 = 7_000;

/// Numbers by chance from a seed.
pub(crate) struct Chance(u64);

impl Chance {
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
    Keeper,
    Agent,
    /// Of the agent with this number.
    Proxy(usize),
    Storage,
}

/// What is written down for the checker.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Fact {
    /// A value was chosen; a list was read.
    Chosen { at: u64, round: u64, list: u64 },
    /// What a node knows from then on.
    Knows { at: u64, node: usize, life: u64, round: u64, list: ListVersion, true_list: bool },
    /// Since when the node can reach, without a break, one keeper that knows what is chosen; none if it cannot.
    InTouch { at: u64, node: usize, since: Option<u64> },
    /// Links that a keeper feeds, and calls to subscribe that it got since it was last counted.
    Load { at: u64, keeper: usize, links: usize, calls: usize },
    /// Values that were pushed on one link more than once.
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
    /// By direction, to the server first: what waits for a cut to end, and since when.
    held: [VecDeque<Message>; 2],
    held_since: [Option<u64>; 2],
    last: [u64; 2],
    broken: bool,
    pushed: BTreeSet<u64>,
}

#[derive(Clone, Debug)]
enum Happening {
    Deliver(u64, Side, Message),
    Wake(usize, u64),
    Poll(usize, u64),
    Polled(usize, u64, u64),
    BreakIfHeld(u64, usize, u64),
    BreakIfUnheard(u64, Side, u64),
    Thaw(usize, u64),
    Restart(usize),
    Heal(usize, usize),
    Choose,
    List,
    Sample,
}

pub(crate) struct Node {
    pub kind: Kind,
    pub ip: Ipv4Addr,
    pub zone: String,
    pub feed: FeedState,
    pub follower: Option<Follower>,
    pub alive: bool,
    /// Without power: its kernel tells nobody that it is gone.
    dark: bool,
    pub life: u64,
    frozen_until: u64,
    inbox: Vec<Happening>,
    links: HashMap<u64, u64>,
    next_wake: u64,
    calls: usize,
    told: Option<(u64, ListVersion)>,
}

/// How large a fleet is, and how slow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shape {
    pub keepers: usize,
    pub agents: usize,
    pub zones: usize,
    pub storages: usize,
    pub proxies: bool,
    /// How late a process may do things, most often, in milliseconds.
    pub lag: u64,
}

pub(crate) struct World {
    pub now: u64,
    pub chance: Chance,
    pub nodes: Vec<Node>,
    pub facts: Vec<Fact>,
    pub shape: Shape,
    pub pushes: u64,
    links: HashMap<u64, Link>,
    last_link: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    happenings: HashMap<u64, Happening>,
    sequence: u64,
    /// By direction; until when.
    cuts: BTreeMap<(usize, usize), u64>,
    /// Keepers without a majority behind them, though they live: until when.
    misled: BTreeMap<usize, u64>,
    round: u64,
    lists: Vec<BTreeSet<Endpoint>>,
    reach: HashMap<(usize, usize), u64>,
}

impl World {
    pub(crate) fn new(seed: u64, shape: Shape) -> Self {
        let mut world = Self {
            now: START,
            chance: Chance::new(seed),
            nodes: Vec::new(),
            facts: Vec::new(),
            shape,
            pushes: 0,
            links: HashMap::new(),
            last_link: 0,
            queue: BinaryHeap::new(),
            happenings: HashMap::new(),
            sequence: 0,
            cuts: BTreeMap::new(),
            misled: BTreeMap::new(),
            round: 0,
            lists: vec![BTreeSet::new()],
            reach: HashMap::new(),
        };
        for place in 0..shape.keepers {
            world.add(Kind::Keeper, Ipv4Addr::new(10, 0, 0, place as u8 + 1), place % shape.zones);
        }
        for place in 0..shape.storages {
            world.add(Kind::Storage, Ipv4Addr::new(10, 0, 2, place as u8 + 1), place % shape.zones);
        }
        for place in 0..shape.agents {
            let ip = Ipv4Addr::new(10, 0, 1, place as u8 + 1);
            world.add(Kind::Agent, ip, place % shape.zones);
            if shape.proxies {
                world.add(Kind::Proxy(world.nodes.len() - 1), ip, place % shape.zones);
            }
        }
        world.choose();
        world.read_list();
        for node in 0..world.nodes.len() {
            let later = world.chance.between(1, 300);
            world.after(later, Happening::Restart(node));
        }
        world.after(1, Happening::Sample);
        world
    }

    fn add(&mut self, kind: Kind, ip: Ipv4Addr, zone: usize) {
        self.nodes.push(Node {
            kind,
            ip,
            zone: format!("z{zone}"),
            feed: FeedState::default(),
            follower: None,
            alive: false,
            dark: false,
            life: 0,
            frozen_until: 0,
            inbox: Vec::new(),
            links: HashMap::new(),
            next_wake: 0,
            calls: 0,
            told: None,
        });
    }

    pub(crate) fn elapsed(&self) -> u64 {
        self.now - START
    }

    pub(crate) fn all(&self, wanted: impl Fn(Kind) -> bool) -> Vec<usize> {
        (0..self.nodes.len()).filter(|node| wanted(self.nodes[*node].kind)).collect()
    }

    fn time(&self) -> Duration {
        Duration::from_millis(self.now)
    }

    fn at(&mut self, at: u64, happening: Happening) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.happenings.insert(self.sequence, happening);
    }

    fn after(&mut self, later: u64, happening: Happening) {
        self.at(self.now + later, happening);
    }

    /// Runs for so many milliseconds.
    pub(crate) fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while let Some(Reverse((at, sequence))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            let happening = self.happenings.remove(&sequence).expect("planned once");
            self.happen(happening);
        }
        self.now = end;
    }
}
