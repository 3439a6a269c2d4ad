//! A fleet in memory: keepers over a register that is a plain compare-and-set for whoever reaches a majority, and storage
//! machines that join, fill and tell. Its clock goes in ticks; the history is all that the checks look at.

mod control_nodes;
mod invariants;
mod storage_nodes;

use controllers::{
    DiscoveryPolls, LeaseCandidate, RosterStep, StorageController, VoterController, proposed_nodes, retire,
};
use fleet_model::{ControlState, EndpointList, ListVersion, Roster, StorageNode};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::rc::Rc;

pub(crate) const LIST: &str = "list";
const TICK: u64 = 50;
const POLL: u64 = 250;
const FRESH: u64 = 1_000;
/// How often a storage machine looks at what it was told.
const TOLD: u64 = 150;
/// A filling from machines that answer, and one that has to give a source up.
const FILLING: u64 = 300;
const SOURCE_GONE: u64 = 1_400;

/// What happened, in order.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// The register got this roster; who need not have been full for it.
    Roster(Roster, Vec<u64>),
    /// A storage machine holds all that it should under that epoch.
    Filled(u64, u64),
    /// A list got this stamp; it was read then.
    List(ListVersion, u64),
    /// The proposed set went below what a fleet is founded with: so many are left, without these disks, each silent for so long.
    Shrunk(usize, Vec<(u64, u64)>),
}

#[derive(Clone)]
enum Pending {
    Roster(RosterStep, u64, u64),
    Remove(Ipv4Addr, u64),
}

pub(crate) struct Keeper {
    pub ip: Ipv4Addr,
    pub up: bool,
    frozen_until: u64,
    pub cut: bool,
    began: u64,
    version: u64,
    state: Rc<ControlState>,
    voters: Vec<Ipv4Addr>,
    fresh_at: Option<u64>,
    core: VoterController,
    claim: LeaseCandidate,
    watch: StorageController,
    readings: DiscoveryPolls,
    list: EndpointList,
    pending: Option<Pending>,
    next_poll: u64,
    next_duty: u64,
    next_watch: u64,
}

pub(crate) struct Machine {
    pub store: StorageNode,
    pub up: bool,
    /// Since when it is down, or when it last froze.
    silent_since: u64,
    frozen_until: u64,
    version: u64,
    roster: Roster,
    full_for: BTreeSet<BTreeSet<u64>>,
    filling: Option<(u64, u64)>,
    next: u64,
}

pub(crate) struct Fleet {
    pub now: u64,
    pub tolerance: usize,
    pub keepers: Vec<Keeper>,
    pub machines: Vec<Machine>,
    pub history: Vec<(u64, Event)>,
    state: Rc<ControlState>,
    voters: Vec<Ipv4Addr>,
    version: u64,
    disks: u64,
    random: ChaCha8Rng,
}

fn disks(stores: &[StorageNode]) -> BTreeSet<u64> {
    stores.iter().map(|store| store.disk).collect()
}

fn keeper(ip: Ipv4Addr, now: u64, phase: u64) -> Keeper {
    Keeper {
        ip,
        up: true,
        frozen_until: 0,
        cut: false,
        began: now,
        version: 0,
        state: Rc::default(),
        voters: Vec::new(),
        fresh_at: None,
        core: VoterController::new(ip),
        claim: LeaseCandidate::new(LIST, ip),
        watch: StorageController::default(),
        readings: DiscoveryPolls::default(),
        list: EndpointList::default(),
        pending: None,
        next_poll: now + phase % POLL,
        next_duty: now + phase % 200,
        next_watch: now + phase % 150,
    }
}

impl Fleet {
    /// Founded by so many keepers and storage machines, and run for a while.
    pub(crate) fn new(seed: u64, tolerance: usize, keepers: u8, machines: u8) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let voters: Vec<Ipv4Addr> = (1..=keepers).map(|at| Ipv4Addr::new(10, 0, 0, at)).collect();
        let keepers = voters.iter().map(|ip| keeper(*ip, 0, random.next_u64())).collect();
        let mut fleet = Self {
            now: 0,
            tolerance,
            keepers,
            machines: Vec::new(),
            history: Vec::new(),
            state: Rc::default(),
            voters,
            version: 1,
            disks: 0,
            random,
        };
        for at in 1..=machines {
            fleet.start(&format!("s{at}"), at);
        }
        fleet.run(8_000);
        fleet
    }

    pub(crate) fn least(&self) -> usize {
        2 * self.tolerance + 1
    }

    pub(crate) fn draw(&mut self, below: u64) -> u64 {
        self.random.next_u64() % below
    }

    pub(crate) fn roster(&self) -> &Roster {
        &self.state.roster
    }

    pub(crate) fn state(&self) -> &ControlState {
        &self.state
    }

    pub(crate) fn voters(&self) -> &[Ipv4Addr] {
        &self.voters
    }

    /// A machine with an empty disk starts under this name and address.
    pub(crate) fn start(&mut self, name: &str, ip: u8) -> u64 {
        self.disks += 1;
        let store = StorageNode {
            name: name.into(),
            ip: Ipv4Addr::new(10, 3, 0, ip),
            zone: "a".into(),
            disk: self.disks,
        };
        let next = self.now + 300 + self.draw(TOLD);
        self.machines.push(Machine {
            store,
            up: true,
            silent_since: 0,
            frozen_until: 0,
            version: 0,
            roster: Roster::default(),
            full_for: BTreeSet::new(),
            filling: None,
            next,
        });
        self.disks
    }

    pub(crate) fn machine(&mut self, disk: u64) -> &mut Machine {
        self.machines.iter_mut().find(|machine| machine.store.disk == disk).unwrap()
    }

    /// The machine is gone, for good or until it comes back.
    pub(crate) fn stop(&mut self, disk: u64) {
        let now = self.now;
        let machine = self.machine(disk);
        (machine.up, machine.silent_since) = (false, now);
    }

    /// It comes back with its disk.
    pub(crate) fn come_back(&mut self, disk: u64) {
        let now = self.now;
        let machine = self.machine(disk);
        (machine.up, machine.filling, machine.next) = (true, None, now + 300);
    }

    pub(crate) fn freeze(&mut self, disk: u64, for_ms: u64) {
        let now = self.now;
        let machine = self.machine(disk);
        (machine.frozen_until, machine.silent_since) = (now + for_ms, now);
    }

    pub(crate) fn freeze_keeper(&mut self, at: usize, for_ms: u64) {
        self.keepers[at].frozen_until = self.now + for_ms;
    }

    /// The keeper's process ends and starts again: it knows nothing.
    pub(crate) fn restart_keeper(&mut self, at: usize) {
        let phase = self.random.next_u64();
        self.keepers[at] = keeper(self.keepers[at].ip, self.now, phase);
    }

    /// A core machine that was never there starts, and is taken in at once.
    pub(crate) fn add_keeper(&mut self, last: u8) {
        let ip = Ipv4Addr::new(10, 0, 0, last);
        let phase = self.random.next_u64();
        self.keepers.push(keeper(ip, self.now, phase));
        self.voters.push(ip);
        self.version += 1;
    }

    /// The keeper that holds the duty by the register.
    pub(crate) fn holder(&self) -> Option<usize> {
        let holder = self.state.leases.get(LIST)?.holder?;
        self.keepers.iter().position(|keeper| keeper.ip == holder)
    }

    pub(crate) fn retire(&mut self, name: &str) -> controllers::RetireVerdict {
        let (state, verdict) = retire(&self.state, name, self.least());
        if let Some(state) = state {
            self.choose(state, Vec::new());
        }
        verdict
    }

    pub(crate) fn run(&mut self, for_ms: u64) {
        let until = self.now + for_ms;
        while self.now < until {
            self.now += TICK;
            for at in 0..self.keepers.len() {
                self.keep(at);
            }
            for at in 0..self.machines.len() {
                self.store(at);
            }
        }
    }

    /// Runs until this holds; how long that took.
    pub(crate) fn run_until(&mut self, most_ms: u64, holds: impl Fn(&Fleet) -> bool) -> Option<u64> {
        let began = self.now;
        while !holds(self) {
            if self.now - began >= most_ms {
                return None;
            }
            self.run(TICK);
        }
        Some(self.now - began)
    }

    /// What is to be told where a change leaves fewer than a fleet is founded with. A disk whose place another takes is not
    /// left out.
    fn shrunk(&self, after: &Roster) -> Option<Event> {
        let (before, left) = (proposed_nodes(&self.state.roster), proposed_nodes(after));
        let same = |one: &StorageNode, other: &StorageNode| one.name == other.name || one.ip == other.ip;
        let out: Vec<(u64, u64)> = before
            .iter()
            .filter(|store| !left.iter().any(|other| same(store, other)))
            .map(|store| (store.disk, self.silent_ms(store.disk)))
            .collect();
        let falls_below = before.len() >= self.least() && left.len() < self.least();
        (falls_below && !out.is_empty()).then_some(Event::Shrunk(left.len(), out))
    }

    fn silent_ms(&self, disk: u64) -> u64 {
        let machine = self.machines.iter().find(|machine| machine.store.disk == disk);
        let silent = machine.filter(|machine| !machine.up || machine.frozen_until > self.now);
        silent.map_or(0, |machine| self.now - machine.silent_since)
    }

    fn choose(&mut self, state: ControlState, waived: Vec<u64>) {
        if state.roster != self.state.roster {
            self.history.extend(self.shrunk(&state.roster).map(|shrunk| (self.now, shrunk)));
            self.history.push((self.now, Event::Roster(state.roster.clone(), waived)));
        }
        self.state = Rc::new(state);
        self.version += 1;
    }
}
