//! The hollow fleet's machines, its network and its clock.

use super::feed::{Feed, Follow, MOST_AGE, Outgoing, PEER_PORT, feed_time};
use super::keeper::{Keeper, LIST, ListFeed, Poll, Queued, Run, Unsettled, Wanted, apply};
use super::{Plan, Role, Tally};
use bytes::Bytes;
use config_register::{Change, Learner, Proposal, Step, Verdict, completing_place};
use fleet_model::{
    AcceptedValue, Answer, Ballot, Call, ChosenValue, ControlState, Endpoint, EndpointList, EndpointState,
    Fence, Frame, Push, RegisterReply, RegisterRequest, RegisterValue, Roster, Store, TakenVersion, rank,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use state_feed::{Command, Event, LinkId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

const MS: u64 = 1_000;
/// One way: over loopback, within a zone, between zones, between regions.
const DELAYS: [u64; 4] = [20, 100, 1_400, 12_000];
/// How long a subscriber waits for an answer, connecting included; as long for a register's answer.
const PATIENCE: u64 = 300 * MS;
/// After so long a sender notices that its bytes are not acknowledged.
const USER_TIMEOUT: u64 = 2_000 * MS;
/// A killed process is back after so long.
const RESTART: u64 = 800 * MS;
/// A value that stays unsettled is completed after this and up to as much again by chance.
const UNSETTLED: u64 = 120 * MS;
/// Each voter after the first that would complete it waits so much longer.
const COMPLETING_STEP: u64 = 200 * MS;
/// Within which pauses after runs that lost are drawn: the first, unless runs take longer, and the longest.
const RUN_PAUSES: (u64, u64) = (16 * MS, 320 * MS);

/// One process.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) role: Role,
    pub(crate) ip: Ipv4Addr,
    pub(crate) zone: usize,
    machine_up: bool,
    up: bool,
    life: u32,
    pub(crate) feed: Feed,
    follow: Option<Follow>,
    pub(crate) keeper: Option<Keeper>,
    disk: u64,
    pub(crate) tally: Tally,
    version: u64,
    /// When it last had a newer configuration or list in force.
    pub(crate) version_at: u64,
    pub(crate) list_at: u64,
    filled_for: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// Feeds its caller.
    Feed,
    /// Brings a keeper the lists of the duty's holder.
    Lists,
    /// Calls and answers.
    Calls,
}

#[derive(Debug)]
struct Link {
    kind: Kind,
    caller: (usize, u32),
    callee: (usize, u32),
    /// Whether the caller and the callee take it for open: who cannot be reached does not hear that it is closed.
    open: [bool; 2],
}

impl Link {
    /// The place of a process's end.
    fn end(&self, node: usize) -> usize {
        usize::from(self.caller.0 != node)
    }

    fn is_open(&self, node: usize) -> bool {
        self.open[self.end(node)]
    }

    fn close(&mut self, node: usize) {
        let end = self.end(node);
        self.open[end] = false;
    }

    fn other(&self, node: usize) -> (usize, u32) {
        if self.caller.0 == node { self.callee } else { self.caller }
    }
}

#[derive(Clone, Debug)]
enum Due {
    Frame(u64, Bytes),
    Closed(u64),
    Beat,
    /// The follower's time.
    Wake,
    /// A link could not be opened.
    Unopened(LinkId),
    Poll(u64),
    CallOver(u64),
    Retry(u64),
    Duty,
    Judge,
    Start,
}

#[derive(Debug)]
enum Pending {
    Poll(u64, Ipv4Addr),
    Fetch,
    Run(u64, Ipv4Addr),
    Inspect(u64),
    Filled(u64, usize),
}

struct Item(u64, u64, usize, u32, Due);

impl PartialEq for Item {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Item {}
impl PartialOrd for Item {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Item {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// The whole fleet.
pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) nodes: Vec<Node>,
    plan: Plan,
    links: HashMap<u64, Link>,
    peers: BTreeMap<(usize, usize), u64>,
    pending: HashMap<u64, (usize, Pending)>,
    due: BinaryHeap<Reverse<Item>>,
    number: u64,
    rng: ChaCha8Rng,
    by_ip: HashMap<Ipv4Addr, usize>,
    keepers: Vec<usize>,
    cut: bool,
    clock_cost: u64,
    /// The platform's list, page by page, as the platform would answer.
    platform: Vec<Endpoint>,
    pages: Vec<String>,
    pub(crate) listed_at: u64,
}

/// Processor time of this thread, in nanoseconds.
pub(super) fn processor() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    u64::try_from(time.tv_sec).unwrap_or(0) * 1_000_000_000 + u64::try_from(time.tv_nsec).unwrap_or(0)
}

#[derive(serde::Deserialize)]
struct Page {
    instances: Vec<Line>,
}

#[derive(serde::Deserialize)]
struct Line {
    instance_id: String,
    service: String,
    address: SocketAddrV4,
    zone: String,
    capacity_slots: u32,
    state: String,
}

impl World {
    /// A fleet with its first configuration, all processes starting within 0.3 s.
    pub(crate) fn new(plan: &Plan) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        let mut world = Self {
            now: 60_000 * MS,
            nodes: Vec::new(),
            plan: plan.clone(),
            links: HashMap::new(),
            peers: BTreeMap::new(),
            pending: HashMap::new(),
            due: BinaryHeap::new(),
            number: 0,
            by_ip: HashMap::new(),
            keepers: Vec::new(),
            cut: false,
            clock_cost: (0..1_000)
                .map(|_| {
                    let began = processor();
                    processor() - began
                })
                .sum::<u64>()
                / 1_000,
            platform: plan.endpoint_list(),
            pages: Vec::new(),
            listed_at: 0,
            rng: ChaCha8Rng::seed_from_u64(rng.next_u64()),
        };
        world.write_pages();
        for index in 0..plan.keepers {
            let node = world.add(Role::Keeper, index, index % plan.zones);
            world.keepers.push(node);
        }
        for index in 0..plan.stores {
            world.add(Role::Store, index, index % plan.zones);
        }
        for index in 0..plan.senders {
            let agent = world.add(Role::Agent, index, index % plan.zones);
            let proxy = world.add(Role::Proxy, index, index % plan.zones);
            let ip = world.nodes[agent].ip;
            let seed = world.rng.next_u64();
            world.nodes[proxy].follow = Some(Follow::new(ip, Some(ip), false, seed));
        }
        let voters: Vec<Ipv4Addr> = world.keepers.iter().map(|node| world.nodes[*node].ip).collect();
        let stores = world.nodes.iter().filter(|node| node.role == Role::Store);
        let current = stores.map(|node| Store {
            name: format!("storage-{}", node.ip),
            ip: node.ip,
            zone: plan.zone(node.zone),
            disk: node.disk,
        });
        let state = ControlState {
            config: plan.config(1),
            taken: (0..plan.taken).map(|_| TakenVersion { version: 1, digest: [7; 32] }).collect(),
            fences: BTreeMap::from([(LIST.to_owned(), Fence { number: 1, holder: Some(voters[0]) })]),
            roster: Roster { epoch: 1, current: current.collect(), ..Roster::default() },
            ..ControlState::default()
        };
        let payload = state.to_payload().expect("a state can be written");
        let ballot = Ballot { round: 1 << 16, proposer: 1, life: 1 };
        let accepted =
            AcceptedValue { ballot, value: RegisterValue { epoch: 0, voters: voters.clone(), payload } };
        for node in world.keepers.clone() {
            let ip = world.nodes[node].ip;
            world.nodes[node].keeper = Some(Keeper::new(ip, node as u64, &accepted));
            let value =
                ChosenValue { ballot, voters: voters.clone(), payload: accepted.value.payload.clone() };
            world.nodes[node].feed.learn_value(value);
            world.nodes[node].feed.set_proxies(u32::try_from(plan.senders).unwrap_or(u32::MAX));
        }
        for node in 0..world.nodes.len() {
            let at = world.draw(300 * MS);
            world.later(node, at, Due::Start);
        }
        world
    }

    fn add(&mut self, role: Role, index: usize, zone: usize) -> usize {
        let place = u8::try_from(index % 250).unwrap_or(0) + 1;
        let block = u8::try_from(index / 250).unwrap_or(0);
        let class = match role {
            Role::Keeper => 10,
            Role::Store => 20,
            Role::Agent | Role::Proxy => 30,
        };
        let ip = Ipv4Addr::new(10, class, block, place);
        let node = self.nodes.len();
        if role != Role::Proxy {
            self.by_ip.insert(ip, node);
        }
        let seed = self.rng.next_u64();
        let follow = matches!(role, Role::Agent | Role::Store)
            .then(|| Follow::new(ip, None, role == Role::Store, seed));
        self.nodes.push(Node {
            role,
            ip,
            zone,
            machine_up: true,
            up: true,
            life: 0,
            feed: Feed::default(),
            follow,
            keeper: None,
            disk: rank(&ip.octets(), 1),
            tally: Tally::default(),
            version: 0,
            version_at: 0,
            list_at: 0,
            filled_for: 0,
        });
        node
    }

    fn write_pages(&mut self) {
        let line = |e: &Endpoint| {
            let state = if e.state == EndpointState::Ready { "ready" } else { "draining" };
            format!(
                r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","capacity_slots":{},"state":"{state}","cold_remaining_ms":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"instance_id":"{}"}}"#,
                e.service, e.address, e.zone, e.capacity_slots, e.instance_id
            )
        };
        self.pages = self
            .platform
            .chunks(50)
            .map(|page| {
                format!(r#"{{"instances":[{}]}}"#, page.iter().map(line).collect::<Vec<_>>().join(","))
            })
            .collect();
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.rng.random_range(0..below)
    }

    fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    fn later(&mut self, node: usize, after: u64, due: Due) {
        let number = self.next_number();
        let life = self.nodes[node].life;
        self.due.push(Reverse(Item(self.now + after, number, node, life, due)));
    }

    fn region(&self, node: usize) -> usize {
        self.nodes[node].zone * self.plan.regions / self.plan.zones
    }

    fn distance(&self, a: usize, b: usize) -> usize {
        let (one, other) = (&self.nodes[a], &self.nodes[b]);
        if one.ip == other.ip {
            0
        } else if one.zone == other.zone {
            1
        } else {
            2 + usize::from(self.region(a) != self.region(b))
        }
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        self.nodes[b].machine_up
            && self.nodes[a].machine_up
            && !(self.cut && self.region(a) != self.region(b))
    }

    /// Runs for so long.
    pub(crate) fn run_for(&mut self, time: u64) {
        let until = self.now + time;
        while self.due.peek().is_some_and(|Reverse(item)| item.0 <= until) {
            let Some(Reverse(Item(at, _, node, life, due))) = self.due.pop() else { break };
            self.now = at;
            if self.nodes[node].life != life || !self.nodes[node].up {
                if let Due::Start = due
                    && self.nodes[node].machine_up
                    && self.nodes[node].life == life
                {
                    self.nodes[node].up = true;
                } else {
                    continue;
                }
            }
            let began = processor();
            self.handle(node, due);
            let spent = (processor() - began).saturating_sub(self.clock_cost);
            let tally = &mut self.nodes[node].tally;
            tally.cpu_ns += spent;
            tally.wakes += 1;
        }
        self.now = until;
    }

    fn handle(&mut self, node: usize, due: Due) {
        match due {
            Due::Start => self.start(node),
            Due::Frame(link, bytes) => self.frame(node, link, &bytes),
            Due::Closed(link) => self.closed(node, link),
            Due::Beat => self.beat(node),
            Due::Wake => {
                let now = self.now;
                if let Some(follow) = self.nodes[node].follow.as_mut().filter(|follow| follow.wake_at == now)
                {
                    follow.wake_at = u64::MAX;
                    self.follow(node, Event::Tick);
                }
            }
            Due::Unopened(link) => {
                let follow = self.nodes[node].follow.as_mut();
                if follow.is_some_and(|follow| follow.links.remove(&link).is_some()) {
                    self.follow(node, Event::Closed(link));
                }
            }
            Due::Poll(round) => self.poll(node, round),
            Due::CallOver(number) => self.call_over(number),
            Due::Retry(run) => self.retry(node, run),
            Due::Duty => self.duty(node),
            Due::Judge => self.judge_stores(node),
        }
    }

    fn start(&mut self, node: usize) {
        match self.nodes[node].role {
            Role::Keeper => {
                self.later(node, 0, Due::Beat);
                self.later(node, 0, Due::Poll(0));
                self.later(node, 300 * MS, Due::Duty);
            }
            Role::Agent | Role::Proxy => {
                self.later(node, 0, Due::Beat);
                self.follow(node, Event::Tick);
            }
            Role::Store => self.follow(node, Event::Tick),
        }
    }

    /// A frame leaves; its bytes count with the length before them.
    fn send(&mut self, from: usize, link: u64, bytes: Bytes) {
        let Some(known) = self.links.get(&link).filter(|link| link.is_open(from)) else { return };
        let (to, life) = known.other(from);
        let heard = known.is_open(to);
        let length = bytes.len() as u64 + 4;
        let distance = self.distance(from, to);
        self.nodes[from].tally.sent(distance, length);
        if !self.reaches(from, to) {
            self.later(from, USER_TIMEOUT, Due::Closed(link));
        } else if self.nodes[to].life != life || !self.nodes[to].up || !heard {
            self.later(from, 2 * DELAYS[distance], Due::Closed(link));
        } else {
            self.later(to, DELAYS[distance], Due::Frame(link, bytes));
        }
    }

    fn spread(&mut self, from: usize, frames: Outgoing) {
        for (link, bytes) in frames {
            self.send(from, link, bytes);
        }
    }

    /// A new link with its hellos: the first frame arrives after five ways, if the other side is there.
    fn open(&mut self, kind: Kind, caller: usize, callee: usize) -> Option<u64> {
        let distance = self.distance(caller, callee);
        self.nodes[caller].tally.opened(distance);
        if !self.reaches(caller, callee) || !self.nodes[callee].up {
            return None;
        }
        self.nodes[callee].tally.opened(distance);
        let link = self.next_number();
        let end = |node: usize| (node, self.nodes[node].life);
        let (caller, callee) = (end(caller), end(callee));
        self.links.insert(link, Link { kind, caller, callee, open: [true; 2] });
        Some(link)
    }

    fn close(&mut self, node: usize, link: u64) {
        let Some(known) = self.links.get_mut(&link) else { return };
        known.close(node);
        let other = known.other(node);
        let (delay, life) = (DELAYS[self.distance(node, other.0)], other.1);
        if self.reaches(node, other.0) && self.nodes[other.0].life == life {
            self.later(other.0, delay, Due::Closed(link));
        }
    }

    fn closed(&mut self, node: usize, link: u64) {
        if let Some(known) = self.links.get_mut(&link) {
            known.close(node);
        }
        self.peers.retain(|_, known| *known != link);
        self.nodes[node].feed.remove(link);
        if let Some(keeper) = &mut self.nodes[node].keeper
            && keeper.follows.as_ref().is_some_and(|follows| follows.link == link)
        {
            keeper.follows = None;
        }
        if let Some(follow) = &mut self.nodes[node].follow
            && let Some(name) = follow.named(link)
        {
            follow.links.remove(&name);
            self.follow(node, Event::Closed(name));
        }
    }

    // The feed.

    fn beat(&mut self, node: usize) {
        if self.nodes[node].feed.beat_due() <= self.now {
            let beats = self.nodes[node].feed.beat(self.now);
            self.spread(node, beats);
        }
        let due = self.nodes[node].feed.beat_due().max(self.now + 1);
        self.later(node, due - self.now, Due::Beat);
    }

    /// Whom a process may ask: its one parent, or the voters and the first keepers, which all settings name.
    fn parents(&self, node: usize) -> Vec<SocketAddrV4> {
        let sole = self.nodes[node].follow.as_ref().and_then(|follow| follow.sole);
        let ips = match sole {
            Some(agent) => vec![agent],
            None => {
                let mut ips = self.nodes[node].feed.value().voters.clone();
                ips.extend(self.keepers.iter().take(3).map(|keeper| self.nodes[*keeper].ip));
                ips.sort();
                ips.dedup();
                ips
            }
        };
        ips.into_iter().map(|ip| SocketAddrV4::new(ip, PEER_PORT)).collect()
    }

    /// Hands an event to a process's follower, and carries out what it decides.
    fn follow(&mut self, node: usize, event: Event) {
        let (now, parents) = (self.now, self.parents(node));
        let Some(follow) = &mut self.nodes[node].follow else { return };
        for command in follow.follower.handle(feed_time(now), &parents, event) {
            match command {
                Command::Ask { link, parent, urgent } => self.ask(node, link, *parent.ip(), urgent),
                Command::Close(name) => {
                    let follow = self.nodes[node].follow.as_mut();
                    if let Some(link) = follow.and_then(|follow| follow.links.remove(&name)).flatten() {
                        self.close(node, link);
                    }
                }
            }
        }
        let Some(follow) = &mut self.nodes[node].follow else { return };
        let Ok(at) = u64::try_from(follow.follower.wake_at().as_micros()) else { return };
        let at = at.max(now + 1);
        if at < follow.wake_at {
            follow.wake_at = at;
            self.later(node, at - now, Due::Wake);
        }
    }

    fn ask(&mut self, node: usize, name: LinkId, parent: Ipv4Addr, urgent: bool) {
        let Some(to) = self.by_ip.get(&parent).copied() else { return };
        let link = self.open(Kind::Feed, node, to);
        if let Some(follow) = &mut self.nodes[node].follow {
            follow.links.insert(name, link);
        }
        let Some(link) = link else {
            // A machine that is there refuses at once.
            let refused = self.reaches(node, to);
            let patience = if refused { 2 * DELAYS[self.distance(node, to)] } else { PATIENCE };
            return self.later(node, patience, Due::Unopened(name));
        };
        let call = self.subscription(node, urgent, None);
        self.call_on(node, link, to, call);
    }

    fn subscription(&self, node: usize, urgent: bool, zone: Option<String>) -> Call {
        let asker = &self.nodes[node];
        Call::Subscribe {
            ip: asker.ip,
            zone: zone.unwrap_or_else(|| self.plan.zone(asker.zone)),
            urgent,
            value: asker.feed.value().ballot,
            list: asker.feed.list().stamp,
        }
    }

    /// The first call on a new link.
    fn call_on(&mut self, node: usize, link: u64, to: usize, call: Call) {
        let bytes = peer_wire::encode(&Frame::Call(1, call)).expect("a call can be encoded");
        let distance = self.distance(node, to);
        self.nodes[node].tally.sent(distance, bytes.len() as u64 + 4);
        self.later(to, 5 * DELAYS[distance], Due::Frame(link, bytes));
    }

    fn frame(&mut self, node: usize, link: u64, bytes: &Bytes) {
        let Some(known) = self.links.get(&link) else { return };
        let (kind, open) = (known.kind, known.is_open(node));
        let from = known.other(node).0;
        let distance = self.distance(from, node);
        self.nodes[node].tally.received(distance, bytes.len() as u64 + 4);
        if !open {
            return;
        }
        match peer_wire::decode(bytes) {
            Ok(Frame::Call(number, call)) => self.called(node, from, link, number, call),
            Ok(Frame::Answer(number, answer)) => match kind {
                Kind::Feed => {
                    let name = self.nodes[node].follow.as_ref().and_then(|follow| follow.named(link));
                    if let Some(name) = name {
                        self.follow(node, Event::Answered(name, answer));
                    }
                }
                Kind::Lists => {}
                Kind::Calls => self.answered(number, answer),
            },
            Ok(Frame::Push(push)) => match kind {
                Kind::Feed => self.fed(node, link, push),
                Kind::Lists => self.list_fed(node, link, push),
                Kind::Calls => {}
            },
            Err(_) => {}
        }
    }

    /// A link brought this to a process that is fed on it.
    fn fed(&mut self, node: usize, link: u64, push: Push) {
        let Some(name) = self.nodes[node].follow.as_ref().and_then(|follow| follow.named(link)) else {
            return;
        };
        let event = match &push {
            Push::Beat { age_ms, .. } => Some(Event::Beat(name, Duration::from_millis((*age_ms).into()))),
            _ => None,
        };
        match self.take(node, push, true) {
            true => self.follow(node, Event::OutOfStep(name)),
            false => event.into_iter().for_each(|event| self.follow(node, event)),
        }
    }

    /// The holder of the duty told a keeper this.
    fn list_fed(&mut self, node: usize, link: u64, push: Push) {
        let now = self.now;
        let follows = self.nodes[node].keeper.as_mut().and_then(|keeper| keeper.follows.as_mut());
        let Some(follows) = follows.filter(|follows| follows.link == link) else { return };
        follows.heard_at = now;
        if self.take(node, push, false) {
            self.leave_lists(node);
        }
    }

    /// Takes a push; true if its link is to be left.
    fn take(&mut self, node: usize, push: Push, confirms: bool) -> bool {
        let stamp = self.nodes[node].feed.list().stamp;
        let taken = self.nodes[node].feed.take(self.now, push, confirms);
        self.spread(node, taken.frames);
        if self.nodes[node].feed.list().stamp != stamp {
            self.nodes[node].list_at = self.now;
        }
        self.learned(node);
        taken.out_of_step
    }

    /// A proxy reads a newer configuration; a storage machine fills for a next set.
    fn learned(&mut self, node: usize) {
        let known = &mut self.nodes[node];
        let version = known.feed.state().version();
        if version > known.version {
            known.version = version;
            known.version_at = self.now;
            if known.role == Role::Proxy {
                let _ = operator_config::OperatorConfig::read(&known.feed.state().config);
            }
        }
        let roster = &known.feed.state().roster;
        if known.role == Role::Store
            && known.filled_for < roster.epoch
            && roster.next.iter().flatten().any(|store| store.disk == known.disk)
            && !roster.filled.contains(&known.disk)
        {
            known.filled_for = roster.epoch;
            let (disk, epoch) = (known.disk, roster.epoch);
            self.tell_filled(node, disk, epoch, 0);
        }
    }

    /// The duty's holder is told first, then the other keepers in turn.
    fn tell_filled(&mut self, node: usize, disk: u64, epoch: u64, tries: usize) {
        let holder = self.nodes[node].feed.state().fences.get(LIST).and_then(|fence| fence.holder);
        let mut keepers = self.keepers.clone();
        keepers.sort_by_key(|keeper| {
            let ip = self.nodes[*keeper].ip;
            (Some(ip) != holder, rank(&ip.octets(), disk))
        });
        let keeper = keepers[tries % keepers.len()];
        self.call(node, keeper, Call::Filled { disk, epoch }, Pending::Filled(epoch, tries), 700 * MS);
    }

    // Calls.

    fn call(&mut self, from: usize, to: usize, call: Call, pending: Pending, patience: u64) {
        let number = self.next_number();
        self.pending.insert(number, (from, pending));
        self.later(from, patience, Due::CallOver(number));
        let pair = (from, to);
        let known = self.peers.get(&pair).copied().filter(|link| {
            self.links.get(link).is_some_and(|known| {
                known.is_open(from)
                    && known.caller.1 == self.nodes[from].life
                    && known.callee.1 == self.nodes[to].life
            })
        });
        let bytes = peer_wire::encode(&Frame::Call(number, call)).expect("a call can be encoded");
        match known {
            Some(link) => self.send(from, link, bytes),
            None => {
                let Some(link) = self.open(Kind::Calls, from, to) else { return };
                self.peers.insert(pair, link);
                let distance = self.distance(from, to);
                self.nodes[from].tally.sent(distance, bytes.len() as u64 + 4);
                self.later(to, 5 * DELAYS[distance], Due::Frame(link, bytes));
            }
        }
    }

    fn called(&mut self, node: usize, from: usize, link: u64, number: u64, call: Call) {
        let answer = match call {
            // A storage machine feeds nobody.
            Call::Subscribe { .. } if self.nodes[node].role != Role::Store => {
                let role = match self.nodes[node].role {
                    Role::Keeper => state_feed::Role::Keeper,
                    _ => state_feed::Role::Relay,
                };
                let (answer, first) = self.nodes[node].feed.subscribe(self.now, role, &call, link);
                self.answer(node, link, number, answer);
                for bytes in first {
                    self.send(node, link, bytes);
                }
                return;
            }
            Call::Register(request) => {
                let ip = self.nodes[from].ip;
                match self.register(node, ip, &request) {
                    Some(reply) => Answer::Register(reply),
                    None => Answer::Unready,
                }
            }
            Call::Inspect { .. } => Answer::View(self.nodes[node].disk.to_string()),
            Call::Filled { disk, epoch } => {
                // The caller sees by the roster whether it is done, and asks another keeper if not.
                self.want(node, Wanted::Filled(disk, epoch), 600 * MS);
                return;
            }
            _ => Answer::Unready,
        };
        self.answer(node, link, number, answer);
    }

    fn answer(&mut self, node: usize, link: u64, number: u64, answer: Answer) {
        let bytes = peer_wire::encode(&Frame::Answer(number, answer)).expect("an answer can be encoded");
        self.send(node, link, bytes);
    }

    fn answered(&mut self, number: u64, answer: Answer) {
        let Some((node, pending)) = self.pending.remove(&number) else { return };
        let now = self.now;
        match (pending, answer) {
            (Pending::Poll(round, ip), Answer::Register(reply)) => {
                self.saw_peer(node, ip);
                self.polled(node, round, ip, Some(reply));
            }
            (Pending::Run(run, ip), Answer::Register(reply)) => {
                self.saw_peer(node, ip);
                self.step(node, run, ip, Some(reply));
            }
            (Pending::Fetch, Answer::Register(RegisterReply::Fetched(Some(value)))) => {
                self.adopt(node, value);
                self.poll_now(node);
            }
            (Pending::Inspect(disk), Answer::View(_)) => {
                if let Some(keeper) = &mut self.nodes[node].keeper {
                    keeper.stores_seen.insert(disk, now);
                }
            }
            _ => {}
        }
    }

    fn call_over(&mut self, number: u64) {
        let Some((node, pending)) = self.pending.remove(&number) else { return };
        match pending {
            Pending::Poll(round, ip) => self.polled(node, round, ip, None),
            Pending::Run(run, ip) => self.step(node, run, ip, None),
            Pending::Filled(epoch, tries) => {
                let disk = self.nodes[node].disk;
                let roster = &self.nodes[node].feed.state().roster;
                if roster.epoch == epoch && roster.next.is_some() && !roster.filled.contains(&disk) {
                    self.tell_filled(node, disk, epoch, tries + 1);
                }
            }
            Pending::Fetch | Pending::Inspect(_) => {}
        }
    }

    // The register.

    fn saw_peer(&mut self, node: usize, ip: Ipv4Addr) {
        let now = self.now;
        if let Some(keeper) = &mut self.nodes[node].keeper {
            keeper.seen.insert(ip, now);
        }
    }

    fn register(&mut self, node: usize, from: Ipv4Addr, request: &RegisterRequest) -> Option<RegisterReply> {
        let keeper = self.nodes[node].keeper.as_mut()?;
        if let RegisterRequest::Prepare(ballot) = request {
            keeper.ballots.saw(*ballot);
        }
        let (reply, changed) = keeper.acceptor.handle(request);
        self.nodes[node].tally.syncs += u64::from(changed);
        if let RegisterRequest::Poll { chosen } = request {
            self.learn_chosen(node, from, *chosen);
        }
        Some(reply)
    }

    fn learn_chosen(&mut self, node: usize, from: Ipv4Addr, chosen: Ballot) {
        if chosen <= self.nodes[node].feed.value().ballot {
            return;
        }
        let Some(keeper) = &self.nodes[node].keeper else { return };
        let own = keeper.acceptor.record().and_then(|record| record.accepted.clone());
        match own {
            Some(accepted) if accepted.ballot == chosen => self.adopt(node, accepted),
            _ if from != self.nodes[node].ip => self.poll_now(node),
            _ => {}
        }
    }

    fn adopt(&mut self, node: usize, accepted: AcceptedValue) {
        let known = self.nodes[node].feed.value().ballot;
        let Some(keeper) = &mut self.nodes[node].keeper else { return };
        keeper.acceptor.learn_value(&accepted);
        if accepted.ballot >= known {
            keeper.known = accepted.value.clone();
        } else {
            return;
        }
        let value = ChosenValue {
            ballot: accepted.ballot,
            voters: accepted.value.voters,
            payload: accepted.value.payload,
        };
        let frames = self.nodes[node].feed.learn_value(value);
        self.spread(node, frames);
        self.learned(node);
    }

    fn poll_now(&mut self, node: usize) {
        let Some(keeper) = &mut self.nodes[node].keeper else { return };
        // A round that is under way is let go: the next one begins at once.
        keeper.polls += 1;
        keeper.poll = None;
        let round = keeper.polls;
        self.later(node, 0, Due::Poll(round));
    }

    fn poll(&mut self, node: usize, round: u64) {
        let now = self.now;
        let ip = self.nodes[node].ip;
        let chosen = self.nodes[node].feed.value().ballot;
        let Some(keeper) = &mut self.nodes[node].keeper else { return };
        if keeper.polls != round || keeper.poll.is_some() {
            return;
        }
        let learner = Learner::poll_round(&keeper.known.voters, chosen);
        let outbox = learner.outbox();
        keeper.poll = Some(Poll { round, learner, began: now, newest: Ballot::default() });
        for (to, request) in outbox {
            if to == ip {
                let reply = self.register(node, ip, &request);
                self.polled(node, round, ip, reply);
            } else if let Some(to_node) = self.by_ip.get(&to).copied() {
                self.call(node, to_node, Call::Register(request), Pending::Poll(round, to), PATIENCE);
            }
        }
    }

    fn polled(&mut self, node: usize, round: u64, ip: Ipv4Addr, reply: Option<RegisterReply>) {
        let Some(keeper) = &mut self.nodes[node].keeper else { return };
        let Some(poll) = keeper.poll.as_mut().filter(|poll| poll.round == round) else { return };
        let verdict = match reply {
            Some(RegisterReply::Polled { accepted, chosen }) => {
                poll.newest = poll.newest.max(accepted.unwrap_or_default());
                keeper.ballots.saw(poll.newest);
                poll.learner.on_polled(ip, accepted, chosen)
            }
            _ => poll.learner.on_failure(ip),
        };
        if verdict == Verdict::Wait {
            return;
        }
        let (began, newest) = (poll.began, poll.newest);
        keeper.poll = None;
        keeper.polls += 1;
        let next = keeper.polls;
        let mut pause = 250 * MS + self.draw(40 * MS);
        match verdict {
            Verdict::Fresh => {
                if let Some(keeper) = &mut self.nodes[node].keeper {
                    keeper.unsettled = None;
                }
                self.nodes[node].feed.confirm(began);
            }
            Verdict::Behind { from, .. } => {
                if let Some(to) = from.first().and_then(|ip| self.by_ip.get(ip).copied()) {
                    self.call(node, to, Call::Register(RegisterRequest::Fetch), Pending::Fetch, PATIENCE);
                }
                pause = 50 * MS;
            }
            Verdict::Unsettled => {
                pause = self.settle(node, newest);
            }
            Verdict::Wait | Verdict::Failed => {}
        }
        self.later(node, pause, Due::Poll(next));
    }

    /// A value was accepted that may or may not be chosen: where nothing moves, the voters complete it in turn. The pause
    /// until the next poll.
    fn settle(&mut self, node: usize, newest: Ballot) -> u64 {
        let (now, me) = (self.now, self.nodes[node].ip);
        let drawn = self.draw(UNSETTLED);
        let place = completing_place(me, &self.nodes[node].feed.value().voters, newest);
        let Some(keeper) = &mut self.nodes[node].keeper else { return 0 };
        let waiting = keeper.unsettled.take().filter(|waiting| waiting.ballot == newest);
        let until = now + UNSETTLED + drawn + COMPLETING_STEP * place as u64;
        let waiting = waiting.unwrap_or(Unsettled { ballot: newest, until });
        if now < waiting.until {
            keeper.unsettled = Some(waiting);
        } else {
            self.want(node, Wanted::Keep, 500 * MS);
        }
        25 * MS + self.draw(20 * MS)
    }

    /// Has a keeper make a change; one at a time.
    pub(crate) fn want(&mut self, node: usize, wanted: Wanted, within: u64) {
        let until = self.now + within;
        if let Some(keeper) = &mut self.nodes[node].keeper {
            keeper.queue.push_back(Queued { wanted, until, lost: 0 });
        }
        self.begin_run(node);
    }

    fn begin_run(&mut self, node: usize) {
        let (now, ip) = (self.now, self.nodes[node].ip);
        let Some(keeper) = &mut self.nodes[node].keeper else { return };
        if keeper.run.is_some() {
            return;
        }
        while keeper.queue.front().is_some_and(|queued| queued.until < now) {
            keeper.queue.pop_front();
        }
        let Some(queued) = keeper.queue.pop_front() else { return };
        keeper.runs += 1;
        let number = keeper.runs;
        let ballot = keeper.ballots.next_ballot();
        let proposal = Proposal::start(ip, ballot, &keeper.known);
        let outbox = proposal.outbox();
        keeper.run = Some(Run { number, proposal, queued, began: now });
        self.send_run(node, number, outbox);
    }

    fn send_run(&mut self, node: usize, run: u64, outbox: Vec<(Ipv4Addr, RegisterRequest)>) {
        let ip = self.nodes[node].ip;
        for (to, request) in outbox {
            if to == ip {
                let reply = self.register(node, ip, &request);
                self.step(node, run, ip, reply);
            } else if let Some(to_node) = self.by_ip.get(&to).copied() {
                self.call(node, to_node, Call::Register(request), Pending::Run(run, to), PATIENCE);
            }
        }
    }

    fn step(&mut self, node: usize, number: u64, ip: Ipv4Addr, reply: Option<RegisterReply>) {
        let now = self.now;
        let Some(keeper) = &mut self.nodes[node].keeper else { return };
        let Some(run) = keeper.run.as_mut().filter(|run| run.number == number) else { return };
        let wanted = run.queued.wanted.clone();
        let mut change = |read: &RegisterValue| apply(&wanted, read);
        let step = match reply {
            Some(reply) => run.proposal.on_reply(ip, &reply, &mut change),
            None => run.proposal.on_failure(ip, &mut change),
        };
        match step {
            Step::Wait => {}
            Step::Send(outbox) => self.send_run(node, number, outbox),
            Step::Done(value) => {
                let again = !matches!(apply(&wanted, &value.value), Change::Keep);
                keeper.run_took = (now - run.began).min(RUN_PAUSES.1);
                if !again {
                    keeper.run = None;
                }
                self.adopt(node, value);
                self.poll_now(node);
                if again {
                    self.try_again(node, number);
                } else {
                    self.begin_run(node);
                }
            }
            Step::Lost { seen } => {
                keeper.ballots.saw(seen);
                self.try_again(node, number);
            }
            Step::Failed => self.try_again(node, number),
        }
    }

    fn try_again(&mut self, node: usize, run: u64) {
        let now = self.now;
        let Some(keeper) = &self.nodes[node].keeper else { return };
        let Some(lost) = keeper.run.as_ref().map(|run| run.queued.lost) else { return };
        // Proposers that get into each other's way part by pauses that grow.
        let window = (RUN_PAUSES.0.max(keeper.run_took) << lost.min(8)).min(RUN_PAUSES.1);
        let pause = 4 * MS + self.draw(window);
        let Some(keeper) = &mut self.nodes[node].keeper else { return };
        // Whoever gets in the way of completing a value is completing it too, or has gone further.
        let ends = |run: &Run| matches!(run.queued.wanted, Wanted::Keep) || now + pause >= run.queued.until;
        match keeper.run.take_if(|run| ends(run)) {
            Some(_) => self.begin_run(node),
            None => self.later(node, pause, Due::Retry(run)),
        }
    }

    fn retry(&mut self, node: usize, number: u64) {
        let Some(keeper) = &mut self.nodes[node].keeper else { return };
        let Some(run) = keeper.run.take_if(|run| run.number == number) else { return };
        keeper.queue.push_front(Queued { lost: run.queued.lost + 1, ..run.queued });
        self.begin_run(node);
    }

    // Duties.

    fn duty(&mut self, node: usize) {
        let now = self.now;
        let ip = self.nodes[node].ip;
        let fence = self.nodes[node].feed.state().fences.get(LIST).cloned().unwrap_or_default();
        let fresh = self.nodes[node].feed.age(now).is_some_and(|age| age < MOST_AGE);
        if fence.holder == Some(ip) {
            if fresh {
                self.read_list(node, fence.number);
                self.look_after_stores(node);
                self.look_after_voters(node);
            }
            return self.later(node, if fresh { 1_000 * MS } else { 100 * MS }, Due::Duty);
        }
        let keeper = self.nodes[node].keeper.as_ref();
        let answers = |other: Ipv4Addr| {
            other == ip
                || keeper.and_then(|keeper| keeper.seen.get(&other)).is_some_and(|at| now - at < 1_200 * MS)
        };
        let voters = self.nodes[node].feed.value().voters.clone();
        let stands = fence.holder.is_some_and(|holder| voters.contains(&holder) && answers(holder));
        let best = voters
            .iter()
            .filter(|voter| answers(**voter))
            .max_by_key(|voter| rank(&voter.octets(), fence.number))
            .copied();
        if fresh && !stands && best == Some(ip) {
            self.want(node, Wanted::Duty(fence.number + 1, ip), 600 * MS);
        }
        self.follow_lists(node, fence.holder);
        self.later(node, 200 * MS, Due::Duty);
    }

    fn follow_lists(&mut self, node: usize, holder: Option<Ipv4Addr>) {
        let follows = self.nodes[node].keeper.as_ref().and_then(|keeper| keeper.follows.as_ref());
        if let Some(follows) = follows {
            if Some(follows.holder) == holder && self.now < follows.heard_at + MOST_AGE {
                return;
            }
            self.leave_lists(node);
        }
        let Some((ip, to)) = holder.and_then(|ip| Some((ip, *self.by_ip.get(&ip)?))) else { return };
        let Some(link) = self.open(Kind::Lists, node, to) else { return };
        let zone = format!("core:{}", self.plan.zone(self.nodes[node].zone));
        let call = self.subscription(node, true, Some(zone));
        let now = self.now;
        self.call_on(node, link, to, call);
        if let Some(keeper) = &mut self.nodes[node].keeper {
            keeper.follows = Some(ListFeed { link, holder: ip, heard_at: now });
        }
    }

    fn leave_lists(&mut self, node: usize) {
        let keeper = self.nodes[node].keeper.as_mut();
        if let Some(follows) = keeper.and_then(|keeper| keeper.follows.take()) {
            self.close(node, follows.link);
        }
    }

    fn read_list(&mut self, node: usize, fence: u64) {
        let mut endpoints = Vec::new();
        for page in &self.pages {
            let bytes = page.len() as u64;
            self.nodes[node].tally.platform(bytes);
            let Ok(page) = serde_json::from_str::<Page>(page) else { continue };
            endpoints.extend(page.instances.into_iter().map(|line| Endpoint {
                instance_id: line.instance_id,
                service: line.service,
                address: line.address,
                zone: line.zone,
                capacity_slots: line.capacity_slots,
                state: if line.state == "ready" { EndpointState::Ready } else { EndpointState::Draining },
            }));
        }
        endpoints.sort();
        let known = self.nodes[node].feed.list().clone();
        if known.endpoints == endpoints && known.stamp.0 == fence {
            return;
        }
        let Some(keeper) = &mut self.nodes[node].keeper else { return };
        keeper.readings += 1;
        let stamp = (fence, keeper.readings);
        self.listed_at = self.now;
        let frames = self.nodes[node].feed.learn_list(EndpointList { stamp, endpoints });
        self.spread(node, frames);
    }

    fn look_after_stores(&mut self, node: usize) {
        let now = self.now;
        let state = self.nodes[node].feed.state().clone();
        let next = state.roster.next.as_ref().unwrap_or(&state.roster.current);
        for store in next {
            if let Some(to) = self.by_ip.get(&store.ip).copied() {
                let call = Call::Inspect { topic: "disk".to_owned() };
                self.call(node, to, call, Pending::Inspect(store.disk), 400 * MS);
            }
        }
        let Some(keeper) = &mut self.nodes[node].keeper else { return };
        for store in next {
            keeper.stores_seen.entry(store.disk).or_insert(now);
        }
        // Who is silent is judged once all have answered, or have had the time to.
        self.later(node, 400 * MS, Due::Judge);
    }

    fn judge_stores(&mut self, node: usize) {
        let now = self.now;
        let state = self.nodes[node].feed.state().clone();
        let next = state.roster.next.as_ref().unwrap_or(&state.roster.current);
        let Some(keeper) = &self.nodes[node].keeper else { return };
        let silent = |disk: u64| now - keeper.stores_seen.get(&disk).copied().unwrap_or(now);
        let gone =
            next.iter().max_by_key(|store| silent(store.disk)).filter(|s| silent(s.disk) > 10_000 * MS);
        if let Some(gone) = gone
            && next.len() > 3
        {
            self.want(node, Wanted::WithoutStore(gone.disk, state.roster.epoch), 600 * MS);
        }
    }

    fn look_after_voters(&mut self, node: usize) {
        let (now, ip) = (self.now, self.nodes[node].ip);
        let voters = self.nodes[node].feed.value().voters.clone();
        let Some(keeper) = &self.nodes[node].keeper else { return };
        let silent = |voter: &&Ipv4Addr| {
            **voter != ip && keeper.seen.get(*voter).is_none_or(|at| now - at > 5_000 * MS)
        };
        if voters.len() > 3
            && let Some(gone) = voters.iter().find(silent).copied()
        {
            self.want(node, Wanted::WithoutVoter(gone), 600 * MS);
        }
    }

    // What happens to the fleet.

    /// Everything counted so far is forgotten.
    pub(crate) fn forget_tallies(&mut self) {
        self.nodes.iter_mut().for_each(|node| node.tally = Tally::default());
    }

    /// An operator's configuration comes to one keeper.
    pub(crate) fn put_config(&mut self, keeper: usize) {
        let node = self.keepers[keeper % self.keepers.len()];
        let version = self.nodes[node].feed.state().version() + 1;
        let config = self.plan.config(version);
        self.want(node, Wanted::Config(version, config), 850 * MS);
    }

    /// An endpoint begins to leave.
    pub(crate) fn drain_endpoint(&mut self, place: usize) {
        let place = place % self.platform.len();
        self.platform[place].state = EndpointState::Draining;
        self.write_pages();
    }

    fn end_process(&mut self, node: usize) {
        let life = self.nodes[node].life;
        let mut ended: Vec<(u64, usize)> = self
            .links
            .iter()
            .filter(|(_, link)| [link.caller, link.callee].contains(&(node, life)) && link.is_open(node))
            .map(|(id, link)| (*id, link.other(node).0))
            .collect();
        ended.sort_unstable();
        for (link, other) in ended {
            if self.reaches(node, other) {
                let delay = DELAYS[self.distance(node, other)];
                self.later(other, delay, Due::Closed(link));
            }
        }
        let seed = self.rng.next_u64();
        let known = &mut self.nodes[node];
        known.life += 1;
        known.up = false;
        known.feed = Feed::default();
        (known.version, known.version_at, known.list_at) = (0, 0, 0);
        known.follow = known.follow.take().map(|follow| follow.anew(seed));
    }

    /// All processes of senders are killed at once, and come back.
    pub(crate) fn herd(&mut self) {
        for node in 0..self.nodes.len() {
            if matches!(self.nodes[node].role, Role::Agent | Role::Proxy) {
                self.end_process(node);
            }
        }
        for node in 0..self.nodes.len() {
            if matches!(self.nodes[node].role, Role::Agent | Role::Proxy) {
                let spread = self.draw(300 * MS);
                self.later(node, RESTART + spread, Due::Start);
            }
        }
    }

    /// All machines of a zone lose their power.
    pub(crate) fn lose_zone(&mut self, zone: usize) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].zone == zone {
                self.nodes[node].machine_up = false;
                self.nodes[node].up = false;
                self.nodes[node].life += 1;
            }
        }
    }

    /// The regions lose or regain each other.
    pub(crate) fn set_cut(&mut self, cut: bool) {
        self.cut = cut;
    }

    /// Processes of a role that run.
    pub(crate) fn running(&self, role: Role) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(move |node| node.role == role && node.up)
    }

    /// Proxies that run but lack value, list or a fresh age.
    pub(crate) fn stale_proxies(&self) -> usize {
        self.running(Role::Proxy)
            .filter(|node| {
                node.feed.value().ballot == Ballot::default()
                    || node.feed.list().stamp == (0, 0)
                    || node.feed.age(self.now).is_none_or(|age| age > 1_500 * MS)
            })
            .count()
    }

    /// How many links lie between a process and the keeper that feeds it, through its parents; none if it is not fed.
    pub(crate) fn depth(&self, node: usize) -> Option<usize> {
        let (mut at, mut depth) = (node, 0);
        while self.nodes[at].role != Role::Keeper {
            let parent = self.nodes[at].follow.as_ref()?.follower.parent()?;
            at = *self.by_ip.get(parent.ip())?;
            depth += 1;
            if depth > 64 {
                return None;
            }
        }
        Some(depth)
    }
}
