//! A simulated fleet in one process: a network with delays, loss and partitions, and members that stall, fail and
//! restart. A run is determined by its seed.

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
    incarnation_index: u64,
    frozen: bool,
    /// Datagrams received while it was frozen.
    pending: Vec<(Ipv4Addr, Vec<u8>)>,
}

/// The fleet and its network.
pub(crate) struct Simulator {
    pub now: u64,
    pub member_events: Vec<(u64, Ipv4Addr, MemberEvent)>,
    /// Number of datagrams in a thousand that are lost.
    pub loss_per_mille: u64,
    config: Config,
    rng: ChaCha8Rng,
    nodes: BTreeMap<Ipv4Addr, Node>,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    started_incarnations: u64,
    /// Datagrams from the first to the second are lost.
    blocked_links: BTreeSet<(Ipv4Addr, Ipv4Addr)>,
}

pub(crate) fn ip(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, (number >> 8) as u8, number as u8)
}

impl Simulator {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            now: 1_000,
            member_events: Vec::new(),
            loss_per_mille: 0,
            config: Config { fleet_id: 7, ..Config::default() },
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: BTreeMap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            started_incarnations: 0,
            blocked_links: BTreeSet::new(),
        }
    }

    /// A fleet of `count` members that have joined through the first three.
    pub(crate) fn converged(seed: u64, count: usize) -> Self {
        let mut fleet = Self::new(seed);
        for number in 0..count {
            fleet.start(ip(number), &[ip(0), ip(1), ip(2)]);
            fleet.run(5);
        }
        fleet.run(10_000);
        fleet.assert_views_agree();
        fleet.member_events.clear();
        fleet
    }

    pub(crate) fn random_below(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below
    }

    /// Starts a process, with the clock as it is.
    pub(crate) fn start(&mut self, at: Ipv4Addr, seeds: &[Ipv4Addr]) {
        let now = self.now;
        self.start_with_clock(at, seeds, START_UNIX_MS + now);
    }

    /// Starts a process whose wall clock shows this.
    pub(crate) fn start_with_clock(&mut self, at: Ipv4Addr, seeds: &[Ipv4Addr], unix_ms: u64) {
        let me = Member {
            ip: at,
            role: Role::Edge,
            zone: format!("zone-{}", at.octets()[3] % 3),
            name: format!("edge-{at}"),
            incarnation: new_incarnation(unix_ms, self.rng.next_u64() as u16),
            tags: vec![1, 2, 3],
        };
        self.started_incarnations += 1;
        let seed = self.rng.next_u64();
        let mut membership =
            Membership::new(me, self.config.clone(), seed, self.now).expect("a sound member");
        let effects = membership.join(self.now, seeds);
        self.nodes.insert(
            at,
            Node {
                membership,
                incarnation_index: self.started_incarnations,
                frozen: false,
                pending: Vec::new(),
            },
        );
        self.apply_effects(at, effects);
    }

    /// The process fails without notice.
    pub(crate) fn kill(&mut self, at: Ipv4Addr) {
        self.nodes.remove(&at);
    }

    /// The process leaves voluntarily.
    pub(crate) fn leave(&mut self, at: Ipv4Addr) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&at) else { return };
        let effects = node.membership.leave(now);
        self.apply_effects(at, effects);
        self.nodes.remove(&at);
    }

    pub(crate) fn join(&mut self, at: Ipv4Addr, seeds: &[Ipv4Addr]) {
        let now = self.now;
        let effects = self.nodes.get_mut(&at).expect("it started_incarnations").membership.join(now, seeds);
        self.apply_effects(at, effects);
    }

    pub(crate) fn freeze(&mut self, at: Ipv4Addr) {
        if let Some(node) = self.nodes.get_mut(&at) {
            node.frozen = true;
        }
    }

    /// The process resumes; at random it reads its datagrams or the clock first.
    pub(crate) fn thaw(&mut self, at: Ipv4Addr) {
        let reads_first = self.random_below(2) == 0;
        let Some(node) = self.nodes.get_mut(&at) else { return };
        node.frozen = false;
        let pending = std::mem::take(&mut node.pending);
        if !reads_first {
            self.tick(at);
        }
        for (from, bytes) in pending {
            self.deliver(from, at, bytes);
        }
        self.tick(at);
    }

    pub(crate) fn block_link(&mut self, from: Ipv4Addr, to: Ipv4Addr) {
        self.blocked_links.insert((from, to));
    }

    /// Cuts each of these parts off from all others.
    pub(crate) fn partition(&mut self, parts: &[Vec<Ipv4Addr>]) {
        for (index, part) in parts.iter().enumerate() {
            for (other, others) in parts.iter().enumerate() {
                if index != other {
                    self.blocked_links
                        .extend(part.iter().flat_map(|from| others.iter().map(|to| (*from, *to))));
                }
            }
        }
    }

    pub(crate) fn heal(&mut self) {
        self.blocked_links.clear();
    }

    pub(crate) fn run(&mut self, for_ms: u64) {
        let end = self.now + for_ms;
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), event) = entry.remove_entry();
            self.now = self.now.max(at);
            match event {
                Event::Tick(node, incarnation_index) => {
                    let now = self.now;
                    let is_due = self.nodes.get(&node).is_some_and(|node| {
                        node.incarnation_index == incarnation_index
                            && !node.frozen
                            && node.membership.next_tick_ms() <= now
                    });
                    if is_due {
                        self.tick(node);
                    }
                }
                Event::Arrival { from, to, bytes } => self.deliver(from, to, bytes),
            }
        }
        self.now = end;
    }

    /// Runs until all see exactly the living; returns how long it took, or nothing if it took longer than `most_ms`.
    pub(crate) fn run_until_views_agree(&mut self, max_ms: u64) -> Option<u64> {
        let start = self.now;
        loop {
            if self.view_mismatch().is_none() {
                return Some(self.now - start);
            }
            if self.now - start >= max_ms {
                return None;
            }
            self.run(50);
        }
    }

    /// What one sees other than it is, if any does.
    pub(crate) fn view_mismatch(&self) -> Option<String> {
        let live_members: BTreeMap<_, _> =
            self.nodes.iter().map(|(ip, node)| (*ip, node.membership.local_member().incarnation)).collect();
        self.nodes.iter().find_map(|(at, node)| {
            let seen: BTreeMap<_, _> =
                node.membership.members().map(|(member, _)| (member.ip, member.incarnation)).collect();
            (seen != live_members).then(|| {
                let missing: Vec<_> = live_members
                    .iter()
                    .filter(|(ip, incarnation)| seen.get(ip) != Some(incarnation))
                    .collect();
                let excess: Vec<_> = seen.keys().filter(|ip| !live_members.contains_key(ip)).collect();
                format!("{at} at {} lacks {missing:?} and has {excess:?} too much", self.now)
            })
        })
    }

    #[track_caller]
    pub(crate) fn assert_views_agree(&self) {
        if let Some(view_mismatch) = self.view_mismatch() {
            panic!("{view_mismatch}");
        }
    }

    pub(crate) fn view(&self, at: Ipv4Addr) -> &Membership {
        &self.nodes[&at].membership
    }

    pub(crate) fn live_members(&self) -> Vec<Ipv4Addr> {
        self.nodes.keys().copied().collect()
    }

    /// How many processes list this address.
    pub(crate) fn seen_by(&self, ip: Ipv4Addr) -> usize {
        self.nodes.values().filter(|node| node.membership.member_at(ip).is_some()).count()
    }

    /// How many processes list this address and suspect it.
    pub(crate) fn suspected_by(&self, ip: Ipv4Addr) -> usize {
        self.nodes.values().filter(|node| node.membership.is_suspect(ip)).count()
    }

    /// Counters of all living processes.
    pub(crate) fn counters(&self) -> Vec<Counters> {
        self.nodes.values().map(|node| node.membership.counters()).collect()
    }

    /// All removals that any process has reported.
    pub(crate) fn removals(&self) -> Vec<&(u64, Ipv4Addr, MemberEvent)> {
        self.member_events.iter().filter(|(_, _, change)| matches!(change, MemberEvent::Removed(_))).collect()
    }

    fn tick(&mut self, at: Ipv4Addr) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&at) else { return };
        let effects = node.membership.tick(now);
        self.apply_effects(at, effects);
    }

    fn deliver(&mut self, from: Ipv4Addr, to: Ipv4Addr, bytes: Vec<u8>) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&to) else { return };
        if node.frozen {
            node.pending.push((from, bytes));
            return;
        }
        let effects = node.membership.receive_datagram(now, from, &bytes);
        self.apply_effects(to, effects);
    }

    fn apply_effects(&mut self, at: Ipv4Addr, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Event(change) => self.member_events.push((self.now, at, change)),
                Effect::Send { to, bytes } => {
                    assert!(
                        bytes.len() <= fleet_membership::MAX_DATAGRAM,
                        "a datagram of {} bytes",
                        bytes.len()
                    );
                    if self.blocked_links.contains(&(at, to))
                        || self.random_below(1_000) < self.loss_per_mille
                    {
                        continue;
                    }
                    let delay = 1 + self.random_below(5);
                    self.schedule(self.now + delay, Event::Arrival { from: at, to, bytes });
                }
            }
        }
        let Some(node) = self.nodes.get(&at) else { return };
        let (due, incarnation_index) = (node.membership.next_tick_ms(), node.incarnation_index);
        if due < u64::MAX {
            self.schedule(due.max(self.now + 1), Event::Tick(at, incarnation_index));
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }
}
