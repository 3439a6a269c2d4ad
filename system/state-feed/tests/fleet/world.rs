//! A fleet in memory, in simulated time: keepers that learn from an oracle of what is chosen, agents, their proxies,
//! storage machines; links with delays that break, or hold back what is sent.

use bytes::Bytes;
use fleet_model::{
    Answer, Ballot, Call, ChosenValue, Endpoint, EndpointList, EndpointState, ListVersion, Push,
};
use state_feed::{Command, Event, FeedState, Follower, Role, Sources};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// Simulated time begins far from zero, since ages are taken off it.
const START: u64 = 1_000_000_000;
/// The kernel breaks a connection whose bytes are not acknowledged for so long.
const USER_TIMEOUT: u64 = 2_000;
const PORT: u16 = 7_000;

/// Numbers by chance from a seed.
pub struct Chance(u64);

impl Chance {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x5851_f42d_4c95_7f2d)
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound.max(1)
    }

    pub fn between(&mut self, from: u64, to: u64) -> u64 {
        from + self.below(to - from + 1)
    }

    pub fn one_in(&mut self, bound: u64) -> bool {
        self.below(bound) == 0
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Keeper,
    Agent,
    /// Of the agent with this number.
    Proxy(usize),
    Storage,
}

/// What is written down for the checker.
#[derive(Clone, Debug, PartialEq)]
pub enum Fact {
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

pub struct Node {
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
pub struct Shape {
    pub keepers: usize,
    pub agents: usize,
    pub zones: usize,
    pub storages: usize,
    pub proxies: bool,
    /// How late a process may do things, most often, in milliseconds.
    pub lag: u64,
}

pub struct World {
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
    pub fn new(seed: u64, shape: Shape) -> Self {
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

    pub fn elapsed(&self) -> u64 {
        self.now - START
    }

    pub fn all(&self, wanted: impl Fn(Kind) -> bool) -> Vec<usize> {
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
    pub fn run(&mut self, millis: u64) {
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

    // Troubles.

    pub fn freeze(&mut self, node: usize, millis: u64) {
        if self.nodes[node].alive {
            self.nodes[node].frozen_until = self.now + millis;
            let life = self.nodes[node].life;
            self.after(millis, Happening::Thaw(node, life));
        }
    }

    /// `dark`: nobody is told.
    pub fn kill(&mut self, node: usize, dark: bool, back_after: Option<u64>) {
        if !self.nodes[node].alive {
            return;
        }
        let me = (node, self.nodes[node].life);
        (self.nodes[node].alive, self.nodes[node].dark) = (false, dark);
        self.nodes[node].inbox.clear();
        if !dark {
            self.end_links_of(me);
        }
        if let Some(millis) = back_after {
            self.after(millis, Happening::Restart(node));
        }
    }

    fn end_links_of(&mut self, me: (usize, u64)) {
        let mut links: Vec<(u64, Side)> = self
            .links
            .iter()
            .filter(|(_, link)| link.client == me || link.server == me)
            .map(|(id, link)| (*id, if link.client == me { Side::Server } else { Side::Client }))
            .collect();
        links.sort_by_key(|(id, _)| *id);
        for (id, to) in links {
            self.send(id, to, Message::Close);
        }
    }

    /// What `from` sends to `to` does not arrive for so long.
    pub fn cut(&mut self, from: usize, to: usize, millis: u64) {
        if from == to {
            return;
        }
        let until = self.now + millis;
        let standing = self.cuts.entry((from, to)).or_default();
        *standing = until.max(*standing);
        self.at(until, Happening::Heal(from, to));
    }

    /// It lives and feeds, but hears nothing new from the other keepers.
    pub fn mislead(&mut self, keeper: usize, millis: u64) {
        self.misled.insert(keeper, self.now + millis);
    }

    pub fn choose(&mut self) {
        if self.round > 0
            && !self.all(|kind| kind == Kind::Keeper).into_iter().any(|keeper| self.is_fresh(keeper))
        {
            return;
        }
        self.round += 1;
        self.tell_chosen();
        // Whoever proposed knows at once.
        let fresh: Vec<usize> =
            self.all(|kind| kind == Kind::Keeper).into_iter().filter(|k| self.is_fresh(*k)).collect();
        if !fresh.is_empty() {
            let proposer = fresh[self.chance.below(fresh.len() as u64) as usize];
            self.learn_newest(proposer);
        }
    }

    pub fn choose_after(&mut self, millis: u64) {
        self.after(millis, Happening::Choose);
    }

    pub fn list_after(&mut self, millis: u64) {
        self.after(millis, Happening::List);
    }

    fn read_list(&mut self) {
        let mut next = self.lists.last().expect("the first one").clone();
        let number = self.lists.len() as u64;
        for instance in 0..self.chance.between(1, 3) {
            next.insert(Endpoint {
                instance_id: format!("i{number}-{instance}"),
                service: "s".to_owned(),
                address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 80),
                zone: "z0".to_owned(),
                capacity_slots: 1,
                state: EndpointState::Ready,
            });
        }
        if next.len() > 4 {
            next.pop_first();
            let mut changed = next.pop_first().expect("more than four");
            changed.state = EndpointState::Draining;
            next.insert(changed);
        }
        self.lists.push(next);
        self.tell_chosen();
    }

    fn tell_chosen(&mut self) {
        self.facts.push(Fact::Chosen { at: self.now, round: self.round, list: self.lists.len() as u64 - 1 });
    }

    // Who can reach whom.

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.get(&(self.machine(from), self.machine(to))).is_some_and(|until| self.now < *until)
    }

    /// A proxy lives on its agent's machine.
    fn machine(&self, node: usize) -> usize {
        match self.nodes[node].kind {
            Kind::Proxy(agent) => agent,
            _ => node,
        }
    }

    fn works(&self, node: usize) -> bool {
        self.nodes[node].alive && self.nodes[node].frozen_until <= self.now
    }

    fn is_fresh(&self, keeper: usize) -> bool {
        let misled = |keeper: usize| self.misled.get(&keeper).is_some_and(|until| self.now < *until);
        let keepers = self.all(|kind| kind == Kind::Keeper);
        let others = keepers.iter().filter(|other| {
            self.works(**other)
                && !misled(**other)
                && !self.is_cut(keeper, **other)
                && !self.is_cut(**other, keeper)
        });
        self.works(keeper) && !misled(keeper) && others.count() > keepers.len() / 2
    }

    fn in_touch(&self, node: usize, keeper: usize) -> bool {
        self.works(node) && !self.is_cut(node, keeper) && !self.is_cut(keeper, node) && self.is_fresh(keeper)
    }

    // The network.

    fn lag(&mut self) -> u64 {
        let lag = self.shape.lag;
        if self.chance.one_in(60) { self.chance.below(lag * 4) } else { self.chance.below(lag) }
    }

    fn send(&mut self, id: u64, to: Side, message: Message) {
        let Some(link) = self.links.get(&id) else { return };
        if link.broken && !matches!(message, Message::Close) {
            return;
        }
        let (from, target) = match to {
            Side::Server => (link.client.0, link.server.0),
            Side::Client => (link.server.0, link.client.0),
        };
        let way = usize::from(to == Side::Client);
        if matches!(message, Message::Push(_)) {
            self.pushes += 1;
        }
        let (away, back) = (self.is_cut(from, target), self.is_cut(target, from));
        let dark = self.nodes[target].dark;
        if away || dark || !self.links[&id].held[way].is_empty() {
            let now = self.now;
            let link = self.links.get_mut(&id).expect("looked up");
            link.held[way].push_back(message);
            let since = *link.held_since[way].get_or_insert(now);
            self.after(USER_TIMEOUT, Happening::BreakIfHeld(id, way, since));
            return;
        }
        if back {
            let of = if to == Side::Client { Side::Server } else { Side::Client };
            self.after(USER_TIMEOUT, Happening::BreakIfUnheard(id, of, self.now));
        }
        self.carry(id, to, message);
    }

    fn carry(&mut self, id: u64, to: Side, message: Message) {
        let delay = 1 + self.chance.below(4) + self.lag();
        let link = self.links.get_mut(&id).expect("a link");
        let last = &mut link.last[usize::from(to == Side::Client)];
        *last = (*last).max(self.now + delay);
        let at = *last;
        self.at(at, Happening::Deliver(id, to, message));
    }

    fn flush(&mut self, id: u64) {
        for (way, to) in [(0, Side::Server), (1, Side::Client)] {
            let Some(link) = self.links.get(&id) else { return };
            let (from, target) =
                if way == 0 { (link.client, link.server) } else { (link.server, link.client) };
            if self.is_cut(from.0, target.0) || self.nodes[target.0].dark {
                continue;
            }
            // What is sent again comes up to a pause of retransmission later.
            let later = self.chance.below(300);
            let link = self.links.get_mut(&id).expect("looked up");
            link.held_since[way] = None;
            let held = std::mem::take(&mut link.held[way]);
            link.last[way] = link.last[way].max(self.now + later);
            for message in held {
                self.carry(id, to, message);
            }
        }
    }

    fn heal(&mut self) {
        let mut ids: Vec<u64> = self.links.keys().copied().collect();
        ids.sort_unstable();
        for id in ids {
            self.flush(id);
        }
    }

    /// The kernel of one side gives the connection up.
    fn give_up(&mut self, id: u64, side: Side) {
        let Some(link) = self.links.get_mut(&id) else { return };
        link.broken = true;
        self.at(self.now, Happening::Deliver(id, side, Message::Close));
        let other = if side == Side::Client { Side::Server } else { Side::Client };
        let way = usize::from(other == Side::Client);
        self.links.get_mut(&id).expect("looked up").held[way].clear();
    }

    // What processes do.

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Deliver(id, side, message) => self.deliver(id, side, message),
            Happening::Wake(node, at) => {
                if self.nodes[node].next_wake != at || !self.nodes[node].alive {
                    return;
                }
                if !self.works(node) {
                    self.nodes[node].inbox.push(Happening::Wake(node, at));
                    return;
                }
                self.woken(node);
            }
            Happening::Poll(keeper, life) => {
                if !self.nodes[keeper].alive || self.nodes[keeper].life != life {
                    return;
                }
                if !self.works(keeper) {
                    self.nodes[keeper].inbox.push(Happening::Poll(keeper, life));
                    return;
                }
                if self.is_fresh(keeper) {
                    let later = self.chance.between(3, 30);
                    self.after(later, Happening::Polled(keeper, life, self.now));
                }
                let next = self.chance.between(250, 290);
                self.after(next, Happening::Poll(keeper, life));
            }
            Happening::Polled(keeper, life, began) => {
                if !self.nodes[keeper].alive || self.nodes[keeper].life != life {
                    return;
                }
                if !self.works(keeper) {
                    self.nodes[keeper].inbox.push(Happening::Polled(keeper, life, began));
                    return;
                }
                self.learn_newest(keeper);
                self.nodes[keeper].feed.confirm(Duration::from_millis(began));
            }
            Happening::BreakIfHeld(id, way, since) => {
                if self.links.get(&id).is_some_and(|link| link.held_since[way] == Some(since)) {
                    self.give_up(id, if way == 0 { Side::Client } else { Side::Server });
                }
            }
            Happening::BreakIfUnheard(id, side, since) => {
                let Some(link) = self.links.get(&id) else { return };
                let (me, other) = match side {
                    Side::Client => (link.client.0, link.server.0),
                    Side::Server => (link.server.0, link.client.0),
                };
                // A cut that began before, or with, that send, and stands.
                if self.is_cut(other, me) && self.now >= since + USER_TIMEOUT {
                    self.give_up(id, side);
                }
            }
            Happening::Thaw(node, life) => {
                let thawed = &mut self.nodes[node];
                if thawed.life == life && thawed.alive && thawed.frozen_until <= self.now {
                    for happening in std::mem::take(&mut thawed.inbox) {
                        self.happen(happening);
                    }
                    self.plan(node);
                }
            }
            Happening::Restart(node) => self.restart(node),
            Happening::Heal(from, to) => {
                if !self.is_cut(from, to) {
                    self.heal();
                }
            }
            Happening::Choose => self.choose(),
            Happening::List => self.read_list(),
            Happening::Sample => self.sample(),
        }
    }

    fn restart(&mut self, node: usize) {
        if self.nodes[node].alive {
            return;
        }
        let former = (node, self.nodes[node].life);
        let seed = self.chance.next();
        let (kind, ip) = (self.nodes[node].kind, self.nodes[node].ip);
        let sources = match kind {
            Kind::Keeper => None,
            Kind::Agent => Some(Sources::Tree { urgent: false }),
            Kind::Storage => Some(Sources::Tree { urgent: true }),
            Kind::Proxy(_) => Some(Sources::One),
        };
        let started = &mut self.nodes[node];
        (started.alive, started.dark, started.frozen_until) = (true, false, 0);
        started.life += 1;
        started.feed = FeedState::default();
        started.follower = sources.map(|sources| Follower::new(ip, sources, seed));
        started.links.clear();
        started.told = None;
        let life = started.life;
        // What its former life had open is answered by a reset.
        self.end_links_of(former);
        self.heal();
        if kind == Kind::Keeper {
            let first = self.chance.between(10, 100);
            self.after(first, Happening::Poll(node, life));
        }
        self.plan(node);
    }

    fn newest_list(&self) -> EndpointList {
        let number = self.lists.len() as u64 - 1;
        EndpointList {
            version: ListVersion::new(1, number),
            endpoints: self.lists[number as usize].iter().cloned().collect(),
        }
    }

    /// What a poll tells that has ended now.
    fn learn_newest(&mut self, keeper: usize) {
        let value = ChosenValue {
            ballot: Ballot { round: self.round, proposer: 1, incarnation: 1 },
            voters: Vec::new(),
            payload: Bytes::new(),
        };
        let learned = self.nodes[keeper].feed.update_value(value).expect("an empty one can be read");
        self.spread(learned.broadcasts);
        let list = self.newest_list();
        let learned = self.nodes[keeper].feed.update_list(list);
        self.spread(learned.broadcasts);
        self.note(keeper);
        self.plan(keeper);
    }

    fn spread(&mut self, broadcasts: Vec<state_feed::Broadcast>) {
        for spread in broadcasts {
            for id in spread.to {
                self.push(id, spread.push.clone());
            }
        }
    }

    fn push(&mut self, id: u64, push: Push) {
        if let Push::Value(value) = &push
            && let Some(link) = self.links.get_mut(&id)
            && !link.pushed.insert(value.ballot.round)
        {
            self.facts.push(Fact::Repeated { at: self.now, link: id, round: value.ballot.round });
        }
        self.send(id, Side::Client, Message::Push(push));
    }

    fn note(&mut self, node: usize) {
        let (round, list) =
            (self.nodes[node].feed.value().ballot.round, self.nodes[node].feed.list().clone());
        if self.nodes[node].told == Some((round, list.version)) {
            return;
        }
        self.nodes[node].told = Some((round, list.version));
        let known: BTreeSet<Endpoint> = list.endpoints.iter().cloned().collect();
        self.facts.push(Fact::Knows {
            at: self.now,
            node,
            life: self.nodes[node].life,
            round,
            list: list.version,
            true_list: self.lists[list.version.poll as usize] == known,
        });
    }

    fn keepers_of(&self, node: usize) -> Vec<SocketAddrV4> {
        match self.nodes[node].kind {
            Kind::Proxy(_) => vec![SocketAddrV4::new(Ipv4Addr::LOCALHOST, PORT)],
            _ => self
                .all(|kind| kind == Kind::Keeper)
                .into_iter()
                .map(|keeper| SocketAddrV4::new(self.nodes[keeper].ip, PORT))
                .collect(),
        }
    }

    fn follow(&mut self, node: usize, event: Event) {
        let (now, keepers) = (self.time(), self.keepers_of(node));
        let Some(follower) = &mut self.nodes[node].follower else { return };
        for command in follower.handle(now, &keepers, event) {
            match command {
                Command::Subscribe { link, upstream, urgent } => self.open(node, link, upstream, urgent),
                Command::Close(link) => {
                    if let Some(id) = self.nodes[node].links.remove(&link) {
                        self.send(id, Side::Server, Message::Close);
                    }
                }
            }
        }
        self.plan(node);
    }

    fn open(&mut self, node: usize, number: u64, parent: SocketAddrV4, urgent: bool) {
        let target = match self.nodes[node].kind {
            Kind::Proxy(agent) => agent,
            _ => {
                let found = (0..self.nodes.len()).find(|other| {
                    self.nodes[*other].ip == *parent.ip()
                        && !matches!(self.nodes[*other].kind, Kind::Proxy(_))
                });
                found.expect("an address of the fleet")
            }
        };
        self.last_link += 1;
        let id = self.last_link;
        let link = Link {
            client: (node, self.nodes[node].life),
            server: (target, self.nodes[target].life),
            number,
            held: Default::default(),
            held_since: [None; 2],
            last: [self.now; 2],
            broken: false,
            pushed: BTreeSet::new(),
        };
        self.links.insert(id, link);
        self.nodes[node].links.insert(number, id);
        if self.is_cut(node, target) || self.is_cut(target, node) || self.nodes[target].dark {
            return;
        }
        if !self.nodes[target].alive {
            self.send(id, Side::Client, Message::Close);
            return;
        }
        let call = Call::Subscribe {
            ip: self.nodes[node].ip,
            zone: self.nodes[node].zone.clone(),
            urgent,
            value: self.nodes[node].feed.value().ballot,
            list: self.nodes[node].feed.list().version,
        };
        self.send(id, Side::Server, Message::Subscribe(call));
    }

    fn deliver(&mut self, id: u64, side: Side, message: Message) {
        let Some(link) = self.links.get(&id) else { return };
        let ((node, life), number) = match side {
            Side::Client => (link.client, link.number),
            Side::Server => (link.server, link.number),
        };
        if !self.nodes[node].alive || self.nodes[node].life != life {
            return;
        }
        if !self.works(node) {
            self.nodes[node].inbox.push(Happening::Deliver(id, side, message));
            return;
        }
        if side == Side::Server {
            match message {
                Message::Subscribe(call) => self.subscribed(node, id, &call),
                _ => self.nodes[node].feed.remove(id),
            }
            return;
        }
        // What was closed here counts no more.
        if self.nodes[node].links.get(&number) != Some(&id) {
            return;
        }
        match message {
            Message::Answer(answer) => self.follow(node, Event::Answered(number, answer)),
            Message::Push(push) => {
                let beat = match &push {
                    Push::Heartbeat { age_ms, .. } => Some(Duration::from_millis((*age_ms).into())),
                    _ => None,
                };
                let now = self.time();
                let learned = self.nodes[node].feed.apply_push(now, push, true).expect("values can be read");
                self.spread(learned.broadcasts);
                self.note(node);
                if learned.out_of_sync {
                    self.follow(node, Event::OutOfSync(number));
                } else if let Some(age) = beat {
                    self.follow(node, Event::Heartbeat(number, age));
                }
            }
            Message::Close => {
                self.nodes[node].links.remove(&number);
                self.follow(node, Event::Closed(number));
            }
            Message::Subscribe(_) => unreachable!("clients are not asked"),
        }
    }

    fn subscribed(&mut self, node: usize, id: u64, call: &Call) {
        self.nodes[node].calls += 1;
        let role = if self.nodes[node].kind == Kind::Keeper { Role::ControlNode } else { Role::Relay };
        let now = self.time();
        let subscription = match self.nodes[node].kind {
            Kind::Storage | Kind::Proxy(_) => {
                self.send(id, Side::Client, Message::Answer(Answer::NotReady));
                return;
            }
            _ => self.nodes[node].feed.subscribe(now, role, PORT, call, id),
        };
        self.send(id, Side::Client, Message::Answer(subscription.answer));
        for push in subscription.pushes {
            self.push(id, push);
        }
    }

    fn woken(&mut self, node: usize) {
        let now = self.time();
        if self.nodes[node].feed.heartbeat_due() <= now {
            let broadcasts = self.nodes[node].feed.heartbeat(now);
            self.spread(broadcasts);
        }
        self.follow(node, Event::Tick);
        self.plan(node);
    }

    fn plan(&mut self, node: usize) {
        if !self.nodes[node].alive {
            return;
        }
        let planned = &self.nodes[node];
        let follows = planned.follower.as_ref().map_or(Duration::MAX, Follower::wake_at);
        let wake = planned.feed.heartbeat_due().min(follows);
        let wake = u64::try_from(wake.as_millis()).unwrap_or(u64::MAX).max(self.now + 1);
        if planned.next_wake != wake || planned.next_wake <= self.now {
            self.nodes[node].next_wake = wake;
            self.at(wake, Happening::Wake(node, wake));
        }
    }

    fn sample(&mut self) {
        self.after(25, Happening::Sample);
        let keepers = self.all(|kind| kind == Kind::Keeper);
        for node in 0..self.nodes.len() {
            let agent = match self.nodes[node].kind {
                Kind::Keeper => continue,
                Kind::Proxy(agent) => agent,
                _ => node,
            };
            let mut since: Option<u64> = None;
            for keeper in &keepers {
                if self.in_touch(agent, *keeper) && self.works(node) {
                    let from = *self.reach.entry((node, *keeper)).or_insert(self.now);
                    since = Some(since.map_or(from, |since| since.min(from)));
                } else {
                    self.reach.remove(&(node, *keeper));
                }
            }
            self.facts.push(Fact::InTouch { at: self.now, node, since });
        }
        for keeper in keepers {
            let calls = std::mem::take(&mut self.nodes[keeper].calls);
            let links =
                if self.works(keeper) { self.nodes[keeper].feed.subscriber_addresses().len() } else { 0 };
            self.facts.push(Fact::Load { at: self.now, keeper, links, calls });
        }
    }
}
