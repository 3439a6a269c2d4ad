//! An in-memory cluster in simulated time: control nodes with a register that is a plain compare-and-set for every node that
//! reaches a majority, and storage nodes that join, backfill and report. The invariants are checked on its history alone.
//! All times are in milliseconds.

mod control_nodes;
mod invariants;
mod storage_nodes;

use controllers::{
    DiscoveryPollFilter, LeaseCandidate, RosterStep, StorageController, VoterController, proposed_nodes,
    retire,
};
use fleet_model::{ControlState, EndpointList, ListVersion, Roster, StorageNode};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::rc::Rc;

pub(crate) const ROLE: &str = "list";
const TICK_MS: u64 = 50;
const POLL_INTERVAL_MS: u64 = 250;
const MAX_STATE_AGE_MS: u64 = 1_000;
/// Interval at which a storage node acts on the last state that it received.
const STORAGE_STEP_INTERVAL_MS: u64 = 150;
/// Duration of a backfill from responsive nodes.
const BACKFILL_MS: u64 = 300;
/// Duration of a backfill in which an unresponsive source first has to time out.
const BACKFILL_WITH_LOST_SOURCE_MS: u64 = 1_400;

/// An entry of the cluster's history.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// The register committed a roster: the roster, and the disks that were waived for it.
    RosterCommitted(Roster, Vec<u64>),
    /// A storage node reported to be in sync: its disk, and the epoch.
    ReportedInSync(u64, u64),
    /// An endpoint list was published: its version, and when it was polled.
    ListPublished(ListVersion, u64),
    /// The proposed set fell below the minimum: the number of remaining nodes, and the removed disks, each with how long its
    /// node had been unresponsive.
    ShrunkBelowMinimum(usize, Vec<(u64, u64)>),
}

/// A change that a lease holder has decided on and makes in its next step.
#[derive(Clone)]
enum PendingChange {
    /// The step, the roster's epoch for which it was decided, and the fencing token.
    Roster(RosterStep, u64, u64),
    /// The voter and the fencing token.
    RemoveVoter(Ipv4Addr, u64),
}

pub(crate) struct ControlNode {
    pub ip: Ipv4Addr,
    pub up: bool,
    frozen_until: u64,
    pub partitioned: bool,
    started_at: u64,
    version: u64,
    state: Rc<ControlState>,
    voters: Vec<Ipv4Addr>,
    confirmed_at: Option<u64>,
    voter_controller: VoterController,
    candidate: LeaseCandidate,
    storage_controller: StorageController,
    polls: DiscoveryPollFilter,
    list: EndpointList,
    pending: Option<PendingChange>,
    next_poll: u64,
    next_lease_check: u64,
    next_probe_check: u64,
}

pub(crate) struct Machine {
    pub store: StorageNode,
    pub up: bool,
    /// When it last stopped or froze.
    unresponsive_since: u64,
    frozen_until: u64,
    version: u64,
    roster: Roster,
    /// Sets of disks for which this machine has completed its backfill.
    in_sync_for: BTreeSet<BTreeSet<u64>>,
    /// The epoch of the ongoing backfill, and when it completes.
    backfill: Option<(u64, u64)>,
    next_step_at: u64,
}

pub(crate) struct Cluster {
    pub now: u64,
    pub tolerance: usize,
    pub control_nodes: Vec<ControlNode>,
    pub machines: Vec<Machine>,
    pub history: Vec<(u64, Event)>,
    state: Rc<ControlState>,
    voters: Vec<Ipv4Addr>,
    version: u64,
    last_disk: u64,
    /// The machines of the disks up to this one were started with the fleet.
    last_initial_disk: u64,
    rng: ChaCha8Rng,
}

fn disk_set(stores: &[StorageNode]) -> BTreeSet<u64> {
    stores.iter().map(|store| store.disk).collect()
}

fn new_control_node(ip: Ipv4Addr, now: u64, phase: u64) -> ControlNode {
    ControlNode {
        ip,
        up: true,
        frozen_until: 0,
        partitioned: false,
        started_at: now,
        version: 0,
        state: Rc::default(),
        voters: Vec::new(),
        confirmed_at: None,
        voter_controller: VoterController::new(ip),
        candidate: LeaseCandidate::new(ROLE, ip),
        storage_controller: StorageController::default(),
        polls: DiscoveryPollFilter::default(),
        list: EndpointList::default(),
        pending: None,
        next_poll: now + phase % POLL_INTERVAL_MS,
        next_lease_check: now + phase % 200,
        next_probe_check: now + phase % 150,
    }
}

impl Cluster {
    /// A cluster that was bootstrapped with this many nodes and has run for eight seconds.
    pub(crate) fn new(seed: u64, tolerance: usize, control_node_count: u8, storage_nodes: u8) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let voters: Vec<Ipv4Addr> =
            (1..=control_node_count).map(|number| Ipv4Addr::new(10, 0, 0, number)).collect();
        let control_nodes = voters.iter().map(|ip| new_control_node(*ip, 0, rng.next_u64())).collect();
        let mut cluster = Self {
            now: 0,
            tolerance,
            control_nodes,
            machines: Vec::new(),
            history: Vec::new(),
            state: Rc::default(),
            voters,
            version: 1,
            last_disk: 0,
            last_initial_disk: storage_nodes.into(),
            rng,
        };
        for number in 1..=storage_nodes {
            cluster.start(&format!("s{number}"), number);
        }
        cluster.run(8_000);
        cluster
    }

    pub(crate) fn min_nodes(&self) -> usize {
        2 * self.tolerance + 1
    }

    pub(crate) fn random_below(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below
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

    /// Starts a storage node with an empty disk under this name and address; returns the disk.
    pub(crate) fn start(&mut self, name: &str, ip: u8) -> u64 {
        self.last_disk += 1;
        let store = StorageNode {
            name: name.into(),
            ip: Ipv4Addr::new(10, 3, 0, ip),
            zone: "a".into(),
            disk: self.last_disk,
        };
        let next_step_at = self.now + 300 + self.random_below(STORAGE_STEP_INTERVAL_MS);
        self.machines.push(Machine {
            store,
            up: true,
            unresponsive_since: 0,
            frozen_until: 0,
            version: 0,
            roster: Roster::default(),
            in_sync_for: BTreeSet::new(),
            backfill: None,
            next_step_at,
        });
        self.last_disk
    }

    pub(crate) fn machine(&mut self, disk: u64) -> &mut Machine {
        self.machines.iter_mut().find(|machine| machine.store.disk == disk).unwrap()
    }

    /// Stops a storage node, permanently or until it is restarted.
    pub(crate) fn stop(&mut self, disk: u64) {
        let now = self.now;
        let machine = self.machine(disk);
        (machine.up, machine.unresponsive_since) = (false, now);
    }

    /// Restarts a storage node with its disk intact.
    pub(crate) fn restart(&mut self, disk: u64) {
        let now = self.now;
        let machine = self.machine(disk);
        (machine.up, machine.backfill, machine.next_step_at) = (true, None, now + 300);
    }

    pub(crate) fn freeze(&mut self, disk: u64, duration_ms: u64) {
        let now = self.now;
        let machine = self.machine(disk);
        (machine.frozen_until, machine.unresponsive_since) = (now + duration_ms, now);
    }

    pub(crate) fn freeze_control_node(&mut self, index: usize, duration_ms: u64) {
        self.control_nodes[index].frozen_until = self.now + duration_ms;
    }

    /// Restarts a control node: it loses all state that is not in the register.
    pub(crate) fn restart_control_node(&mut self, index: usize) {
        let phase = self.rng.next_u64();
        self.control_nodes[index] = new_control_node(self.control_nodes[index].ip, self.now, phase);
    }

    /// Starts a new control node, which becomes a voter at once.
    pub(crate) fn add_control_node(&mut self, last_octet: u8) {
        let ip = Ipv4Addr::new(10, 0, 0, last_octet);
        let phase = self.rng.next_u64();
        self.control_nodes.push(new_control_node(ip, self.now, phase));
        self.voters.push(ip);
        self.version += 1;
    }

    /// Index of the control node that holds the lease.
    pub(crate) fn lease_holder(&self) -> Option<usize> {
        let holder = self.state.leases.get(ROLE)?.holder?;
        self.control_nodes.iter().position(|node| node.ip == holder)
    }

    pub(crate) fn retire(&mut self, name: &str) -> controllers::RetireVerdict {
        let (state, verdict) = retire(&self.state, name, self.min_nodes());
        if let Some(state) = state {
            self.commit(state, Vec::new());
        }
        verdict
    }

    pub(crate) fn run(&mut self, duration_ms: u64) {
        let until = self.now + duration_ms;
        while self.now < until {
            self.now += TICK_MS;
            for index in 0..self.control_nodes.len() {
                self.step_control_node(index);
            }
            for index in 0..self.machines.len() {
                self.step_storage_node(index);
            }
        }
    }

    /// Runs until the condition holds; returns how many milliseconds that took, or `None` after `timeout_ms`.
    pub(crate) fn run_until(&mut self, timeout_ms: u64, condition: impl Fn(&Cluster) -> bool) -> Option<u64> {
        let started_at = self.now;
        while !condition(self) {
            if self.now - started_at >= timeout_ms {
                return None;
            }
            self.run(TICK_MS);
        }
        Some(self.now - started_at)
    }

    /// The event to record if a change leaves fewer nodes than the minimum. A disk that is replaced by another disk does not
    /// count as removed.
    fn shrink_event(&self, after: &Roster) -> Option<Event> {
        let (before, remaining) = (proposed_nodes(&self.state.roster), proposed_nodes(after));
        let same_machine =
            |one: &StorageNode, other: &StorageNode| one.name == other.name || one.ip == other.ip;
        let removed: Vec<(u64, u64)> = before
            .iter()
            .filter(|store| !remaining.iter().any(|other| same_machine(store, other)))
            .map(|store| (store.disk, self.unresponsive_ms(store.disk)))
            .collect();
        let falls_below = before.len() >= self.min_nodes() && remaining.len() < self.min_nodes();
        (falls_below && !removed.is_empty()).then_some(Event::ShrunkBelowMinimum(remaining.len(), removed))
    }

    fn unresponsive_ms(&self, disk: u64) -> u64 {
        let machine = self.machines.iter().find(|machine| machine.store.disk == disk);
        let unresponsive = machine.filter(|machine| !machine.up || machine.frozen_until > self.now);
        unresponsive.map_or(0, |machine| self.now - machine.unresponsive_since)
    }

    fn commit(&mut self, state: ControlState, waived: Vec<u64>) {
        if state.roster != self.state.roster {
            self.history.extend(self.shrink_event(&state.roster).map(|event| (self.now, event)));
            self.history.push((self.now, Event::RosterCommitted(state.roster.clone(), waived)));
        }
        self.state = Rc::new(state);
        self.version += 1;
    }
}
