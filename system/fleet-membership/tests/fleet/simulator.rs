//! A fleet in one process: its network delays, loses and cuts, its members freeze, die and restart. All that happens
//! follows from a seed.

use fleet_membership::{Config, Counters, Effect, Member, MemberEvent, Membership, Role, new_incarnation};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// Milliseconds since 1970 at the simulation's start.
const START_UNIX_MS: u64 = 1_700_000_000_000;

enum Event {
    Tick(Ipv4Addr, u64),
    Arrival { from: Ipv4Addr, to: Ipv4Addr, bytes: Vec<u8> },
}

struct Node {
    membership: Membership,
    life: u64,
    frozen: bool,
    /// What came while it was frozen.
    waiting: Vec<(Ipv4Addr, Vec<u8>)>,
}

/// The fleet and its network.
pub struct Simulator {
    pub now: u64,
    pub changes: Vec<(u64, Ipv4Addr, MemberEvent)>,
    /// Of a thousand datagrams so many are lost.
    pub loss_per_mille: u64,
    config: Config,
    random: ChaCha8Rng,
    nodes: BTreeMap<Ipv4Addr, Node>,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    lives: u64,
    /// Datagrams from the first to the second are lost.
    cuts: BTreeSet<(Ipv4Addr, Ipv4Addr)>,
}

pub fn ip(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, (number >> 8) as u8, number as u8)
}

impl Simulator {
    pub fn new(seed: u64) -> Self {
        Self {
            now: 1_000,
            changes: Vec::new(),
            loss_per_mille: 0,
            config: Config { fleet_id: 7, ..Config::default() },
            random: ChaCha8Rng::seed_from_u64(seed),
            nodes: BTreeMap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            lives: 0,
            cuts: BTreeSet::new(),
        }
    }

    /// A fleet of `count` members that have joined through the first three.
    pub fn settled(seed: u64, count: usize) -> Self {
        let mut fleet = Self::new(seed);
        for number in 0..count {
            fleet.start(ip(number), &[ip(0), ip(1), ip(2)]);
            fleet.run(5);
        }
        fleet.run(10_000);
        fleet.assert_agreed();
        fleet.changes.clear();
        fleet
    }

    pub fn draw(&mut self, below: u64) -> u64 {
        self.random.next_u64() % below
    }

    /// Starts a process, with the clock as it is.
    pub fn start(&mut self, at: Ipv4Addr, seeds: &[Ipv4Addr]) {
        let now = self.now;
        self.start_with_clock(at, seeds, START_UNIX_MS + now);
    }

    /// Starts a process whose wall clock shows this.
    pub fn start_with_clock(&mut self, at: Ipv4Addr, seeds: &[Ipv4Addr], unix_ms: u64) {
        let me = Member {
            ip: at,
            role: Role::Edge,
            zone: format!("zone-{}", at.octets()[3] % 3),
            name: format!("edge-{at}"),
            incarnation: new_incarnation(unix_ms, self.random.next_u64() as u16),
            tags: vec![1, 2, 3],
        };
        self.lives += 1;
        let seed = self.random.next_u64();
        let mut membership =
            Membership::new(me, self.config.clone(), seed, self.now).expect("a sound member");
        let effects = membership.join(self.now, seeds);
        self.nodes.insert(at, Node { membership, life: self.lives, frozen: false, waiting: Vec::new() });
        self.carry_out(at, effects);
    }

    /// The process ends without a word.
    pub fn kill(&mut self, at: Ipv4Addr) {
        self.nodes.remove(&at);
    }

    /// The process goes in order.
    pub fn leave(&mut self, at: Ipv4Addr) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&at) else { return };
        let effects = node.membership.leave(now);
        self.carry_out(at, effects);
        self.nodes.remove(&at);
    }

    pub fn join(&mut self, at: Ipv4Addr, seeds: &[Ipv4Addr]) {
        let now = self.now;
        let effects = self.nodes.get_mut(&at).expect("it lives").membership.join(now, seeds);
        self.carry_out(at, effects);
    }

    pub fn freeze(&mut self, at: Ipv4Addr) {
        if let Some(node) = self.nodes.get_mut(&at) {
            node.frozen = true;
        }
    }

    /// The process goes on; by chance it reads its datagrams or the clock first.
    pub fn thaw(&mut self, at: Ipv4Addr) {
        let reads_first = self.draw(2) == 0;
        let Some(node) = self.nodes.get_mut(&at) else { return };
        node.frozen = false;
        let waiting = std::mem::take(&mut node.waiting);
        if !reads_first {
            self.tick(at);
        }
        for (from, bytes) in waiting {
            self.arrive(from, at, bytes);
        }
        self.tick(at);
    }

    pub fn cut(&mut self, from: Ipv4Addr, to: Ipv4Addr) {
        self.cuts.insert((from, to));
    }

    /// Cuts each of these parts off from all others.
    pub fn partition(&mut self, parts: &[Vec<Ipv4Addr>]) {
        for (index, part) in parts.iter().enumerate() {
            for (other, others) in parts.iter().enumerate() {
                if index != other {
                    self.cuts.extend(part.iter().flat_map(|from| others.iter().map(|to| (*from, *to))));
                }
            }
        }
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    pub fn run(&mut self, for_ms: u64) {
        let end = self.now + for_ms;
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), event) = entry.remove_entry();
            self.now = self.now.max(at);
            match event {
                Event::Tick(node, life) => {
                    let now = self.now;
                    let is_due = self.nodes.get(&node).is_some_and(|node| {
                        node.life == life && !node.frozen && node.membership.next_tick_ms() <= now
                    });
                    if is_due {
                        self.tick(node);
                    }
                }
                Event::Arrival { from, to, bytes } => self.arrive(from, to, bytes),
            }
        }
        self.now = end;
    }

    /// Runs until all see exactly the living; returns how long it took, or nothing if it took longer than `most_ms`.
    pub fn run_until_agreed(&mut self, most_ms: u64) -> Option<u64> {
        let start = self.now;
        loop {
            if self.disagreement().is_none() {
                return Some(self.now - start);
            }
            if self.now - start >= most_ms {
                return None;
            }
            self.run(50);
        }
    }

    /// What one sees other than it is, if any does.
    pub fn disagreement(&self) -> Option<String> {
        let living: BTreeMap<_, _> =
            self.nodes.iter().map(|(ip, node)| (*ip, node.membership.local_member().incarnation)).collect();
        self.nodes.iter().find_map(|(at, node)| {
            let seen: BTreeMap<_, _> =
                node.membership.members().map(|(member, _)| (member.ip, member.incarnation)).collect();
            (seen != living).then(|| {
                let missing: Vec<_> = living.iter().filter(|(ip, life)| seen.get(ip) != Some(life)).collect();
                let excess: Vec<_> = seen.keys().filter(|ip| !living.contains_key(ip)).collect();
                format!("{at} at {} lacks {missing:?} and has {excess:?} too much", self.now)
            })
        })
    }

    #[track_caller]
    pub fn assert_agreed(&self) {
        if let Some(disagreement) = self.disagreement() {
            panic!("{disagreement}");
        }
    }

    pub fn view(&self, at: Ipv4Addr) -> &Membership {
        &self.nodes[&at].membership
    }

    pub fn living(&self) -> Vec<Ipv4Addr> {
        self.nodes.keys().copied().collect()
    }

    /// How many processes list this address.
    pub fn seen_by(&self, ip: Ipv4Addr) -> usize {
        self.nodes.values().filter(|node| node.membership.member_at(ip).is_some()).count()
    }

    /// How many processes list this address and suspect it.
    pub fn suspected_by(&self, ip: Ipv4Addr) -> usize {
        self.nodes.values().filter(|node| node.membership.is_suspect(ip)).count()
    }

    /// Counters of all living processes.
    pub fn counters(&self) -> Vec<Counters> {
        self.nodes.values().map(|node| node.membership.counters()).collect()
    }

    /// All removals that any process has told.
    pub fn removals(&self) -> Vec<&(u64, Ipv4Addr, MemberEvent)> {
        self.changes.iter().filter(|(_, _, change)| matches!(change, MemberEvent::Removed(_))).collect()
    }

    fn tick(&mut self, at: Ipv4Addr) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&at) else { return };
        let effects = node.membership.tick(now);
        self.carry_out(at, effects);
    }

    fn arrive(&mut self, from: Ipv4Addr, to: Ipv4Addr, bytes: Vec<u8>) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&to) else { return };
        if node.frozen {
            node.waiting.push((from, bytes));
            return;
        }
        let effects = node.membership.receive_datagram(now, from, &bytes);
        self.carry_out(to, effects);
    }

    fn carry_out(&mut self, at: Ipv4Addr, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Event(change) => self.changes.push((self.now, at, change)),
                Effect::Send { to, bytes } => {
                    assert!(
                        bytes.len() <= fleet_membership::MAX_DATAGRAM,
                        "a datagram of {} bytes",
                        bytes.len()
                    );
                    if self.cuts.contains(&(at, to)) || self.draw(1_000) < self.loss_per_mille {
                        continue;
                    }
                    let delay = 1 + self.draw(5);
                    self.schedule(self.now + delay, Event::Arrival { from: at, to, bytes });
                }
            }
        }
        let Some(node) = self.nodes.get(&at) else { return };
        let (due, life) = (node.membership.next_tick_ms(), node.life);
        if due < u64::MAX {
            self.schedule(due.max(self.now + 1), Event::Tick(at, life));
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }
}
