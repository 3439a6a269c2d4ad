//! Storage machines in memory, one control node with a clock, and what was promised to clients.

use crate::client_operations::Operation;
use controllers::{
    LossTolerance, RetireVerdict, StorageController, complete_backfill, join, proposed_nodes, retire,
    retire_status, times,
};
use fleet_model::{Answer, Call, ControlState, Roster, StorageNode};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use turn_store::{Backfill, Payload, Payloads, ReplicaState, Stored, TURNS, Write};

/// The control node's clock goes on by so much a tick.
const TICK_MS: u64 = 250;
/// So long a fleet without further trouble may take until all is as it should be.
const SETTLE_TIMEOUT_MS: u64 = 60_000;

/// What is broken on purpose, so that the checks are seen to find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mutation {
    None,
    /// A member of the next set tells that it is full before it has filled.
    NextCountsUnfilled,
    /// The next set counts as soon as it is asked for: the former one is released before anything is filled.
    FormerReleasedEarly,
    /// A turn is answered with one copy less.
    CopiesOneShort,
    /// A store fills from one source less than together know all.
    FillsFromOneLess,
    /// An account is read at one holder less.
    ReadsOneLess,
    /// "Not there" counts from as many as know all, whatever epoch others go by.
    AbsentByCovering,
}

#[derive(Default)]
pub(crate) struct PayloadStore(BTreeMap<Vec<u8>, fleet_model::Turn>);

impl Payloads for PayloadStore {
    fn get(&self, attempt: &str) -> Payload {
        self.0.get(attempt.as_bytes()).cloned().map_or(Payload::Pending, Payload::Present)
    }
}

impl PayloadStore {
    fn write(&mut self, writes: &[Write]) {
        for write in writes.iter().filter(|write| write.keyspace == TURNS) {
            match &write.value {
                Some(value) => {
                    let turn = postcard::from_bytes(value).expect("a store writes what it reads");
                    drop(self.0.insert(write.key.clone(), turn));
                }
                None => drop(self.0.remove(&write.key)),
            }
        }
    }
}

pub(crate) struct Machine {
    pub(crate) store: StorageNode,
    pub(crate) up: bool,
    /// Since when it is down, if it is.
    pub(crate) down_since: u64,
    pub(crate) state: ReplicaState,
    pub(crate) payloads: PayloadStore,
    pub(crate) backfill: Option<Backfill>,
}

impl Machine {
    fn new(store: StorageNode, tolerance: usize) -> Self {
        let state = ReplicaState::new(0, store.disk, tolerance, Stored::default());
        Self { store, up: true, down_since: 0, state, payloads: PayloadStore::default(), backfill: None }
    }

    pub(crate) fn answer(&mut self, call: &Call) -> Answer {
        let outcome = self.state.handle(0, call, &self.payloads);
        self.payloads.write(&outcome.writes);
        outcome.answer
    }

    fn learn(&mut self, roster: &Roster) {
        let writes = self.state.set_roster(roster);
        self.payloads.write(&writes);
    }
}

pub(crate) struct Cluster {
    pub(crate) tolerance: usize,
    pub(crate) mutation: Mutation,
    pub(crate) now: u64,
    pub(crate) control: ControlState,
    pub(crate) machines: Vec<Machine>,
    /// Machines by name that are lost or away, or were and copies do not stand again.
    pub(crate) impaired: BTreeSet<String>,
    pub(crate) operations: Vec<Operation>,
    /// Turns that were answered whole.
    pub(crate) turns: Vec<String>,
    /// Reservations that were granted: program, number, tokens.
    pub(crate) granted: Vec<(String, u64, u32)>,
    pub(crate) broken: Vec<String>,
    pub(crate) reported: Vec<String>,
    /// For how long copies may have been fewer than they should be: since the loss.
    pub(crate) short_since: Option<u64>,
    pub(crate) longest_short: u64,
    /// The most machines that ever counted.
    pub(crate) max_nodes: usize,
    /// Rosters by epoch: some machine or proxy may still go by any of them.
    pub(crate) rosters: BTreeMap<u64, Roster>,
    pub(crate) watch: StorageController,
    pub(crate) names: u8,
    pub(crate) disks: u64,
    pub(crate) random: ChaCha8Rng,
}

pub(crate) fn disks(stores: &[StorageNode]) -> BTreeSet<u64> {
    stores.iter().map(|store| store.disk).collect()
}

impl Cluster {
    /// So many machines, in the roster and in sync.
    pub(crate) fn new(seed: u64, machines: usize, tolerance: usize, mutation: Mutation) -> Self {
        let mut cluster = Self {
            tolerance,
            mutation: Mutation::None,
            now: 0,
            control: ControlState::default(),
            machines: Vec::new(),
            impaired: BTreeSet::new(),
            operations: Vec::new(),
            turns: Vec::new(),
            granted: Vec::new(),
            broken: Vec::new(),
            reported: Vec::new(),
            short_since: None,
            longest_short: 0,
            max_nodes: 0,
            rosters: BTreeMap::new(),
            watch: StorageController::default(),
            names: 0,
            disks: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        for _ in 0..machines {
            cluster.start_another();
        }
        cluster.settle();
        cluster.mutation = mutation;
        cluster
    }

    pub(crate) fn random_below(&mut self, below: usize) -> usize {
        (self.random.next_u64() % below.max(1) as u64) as usize
    }

    pub(crate) fn min_nodes(&self) -> usize {
        controllers::min_storage_nodes(self.tolerance)
    }

    pub(crate) fn roster(&self) -> &Roster {
        &self.control.roster
    }

    pub(crate) fn record_event(&mut self, reported: String) {
        let roster = &self.control.roster;
        let next = roster.next.as_deref().map(disks);
        let place = format!("epoch {}: {:?} -> {next:?}", roster.epoch, disks(&roster.current));
        self.reported.push(format!("{} {place}: {reported}", self.now));
    }

    pub(crate) fn at(&self, name: &str) -> Option<usize> {
        self.machines.iter().rposition(|machine| machine.store.name == name)
    }

    pub(crate) fn by_disk(&mut self, disk: u64) -> Option<&mut Machine> {
        self.machines.iter_mut().find(|machine| machine.store.disk == disk)
    }

    /// A machine that was never there.
    pub(crate) fn start_another(&mut self) -> String {
        self.names += 1;
        let name = format!("s{}", self.names);
        self.start(name.clone(), self.names);
        name
    }

    /// A machine of this name and address with an empty disk.
    fn start(&mut self, name: String, ip: u8) {
        self.disks += 1;
        let zone = if ip.is_multiple_of(2) { "a" } else { "b" };
        let store =
            StorageNode { name, ip: Ipv4Addr::new(10, 3, 0, ip), zone: zone.to_owned(), disk: self.disks };
        let machine = Machine::new(store, self.tolerance);
        self.machines.push(machine);
    }

    /// How many more machines may be hurt now.
    pub(crate) fn remaining_loss_budget(&self) -> usize {
        LossTolerance::from_roster(self.roster(), self.tolerance)
            .losses_survived
            .saturating_sub(self.impaired.len())
    }

    fn impaired(&mut self, name: &str, how: &str) {
        self.record_event(format!("{name} {how}"));
        self.impaired.insert(name.to_owned());
        self.short_since.get_or_insert(self.now);
    }

    /// It does not answer, and keeps its disk.
    pub(crate) fn stop(&mut self, name: &str) {
        self.impaired(name, "stops");
        let at = self.at(name).expect("a machine of this name");
        (self.machines[at].up, self.machines[at].backfill) = (false, None);
        self.machines[at].down_since = self.now;
    }

    pub(crate) fn restart(&mut self, name: &str) {
        self.record_event(format!("{name} comes back"));
        let at = self.at(name).expect("a machine of this name");
        self.machines[at].up = true;
    }

    /// The machine is gone with its disk.
    pub(crate) fn destroy(&mut self, name: &str) {
        self.impaired(name, "is destroyed");
        self.machines.retain(|machine| machine.store.name != name);
    }

    /// It loses its disk and comes back at once, at its address or another.
    pub(crate) fn wipe(&mut self, name: &str, moves: bool) {
        let at = self.at(name).expect("a machine of this name");
        let mut ip = self.machines[at].store.ip.octets()[3];
        self.destroy(name);
        if moves {
            self.names += 1;
            ip = self.names;
        }
        self.start(name.to_owned(), ip);
    }

    pub(crate) fn retire(&mut self, name: &str) -> RetireVerdict {
        let (state, verdict) = retire(&self.control, name, self.min_nodes());
        self.record_event(format!("{name} is to be retired: {verdict:?}"));
        if let Some(state) = state {
            self.choose(state);
        }
        verdict
    }

    /// Takes away machines that are retired and out: nothing may be left that only they have.
    fn remove_retired(&mut self) {
        let done: Vec<String> = self
            .machines
            .iter()
            .map(|machine| machine.store.name.clone())
            .filter(|name| retire_status(&self.control, name) == RetireVerdict::Completed)
            .collect();
        for name in done {
            self.record_event(format!("{name} is retired and taken away"));
            self.machines.retain(|machine| machine.store.name != name);
            self.impaired.remove(&name);
        }
    }

    /// Names of machines without which the proposed set goes below what a fleet is founded with although they were not gone for
    /// long. One whose place another takes is not left out.
    fn left_out_early(&self, after: &Roster) -> Vec<String> {
        let (before, left) = (proposed_nodes(self.roster()), proposed_nodes(after));
        if before.len() < self.min_nodes() || left.len() >= self.min_nodes() {
            return Vec::new();
        }
        let same = |one: &StorageNode, other: &StorageNode| one.name == other.name || one.ip == other.ip;
        let out = before.iter().filter(|store| !left.iter().any(|other| same(store, other)));
        out.filter(|store| !self.is_down_beyond_timeout(store)).map(|store| store.name.clone()).collect()
    }

    /// The watch may have heard from a machine a look before it fell silent, not later.
    fn is_down_beyond_timeout(&self, store: &StorageNode) -> bool {
        let machine = self.machines.iter().find(|machine| machine.store.disk == store.disk);
        machine.is_none_or(|machine| {
            !machine.up
                && self.now - machine.down_since + 2 * times::PROBE_INTERVAL_MS >= times::STORAGE_TIMEOUT_MS
        })
    }

    fn choose(&mut self, state: ControlState) {
        let early = self.left_out_early(&state.roster);
        if !early.is_empty() {
            self.broken.push(format!("{}: goes below what was founded, without {early:?}", self.now));
        }
        let former = self.roster().current.len();
        self.control = state;
        if self.mutation == Mutation::FormerReleasedEarly
            && let Some(next) = self.control.roster.next.take()
        {
            self.control.roster.epoch += 1;
            self.control.roster.current = next;
        }
        let roster = self.control.roster.clone();
        if former >= self.min_nodes() && roster.current.len() <= self.tolerance {
            self.broken.push(format!("{}: {} of {former} are left", self.now, roster.current.len()));
        }
        self.max_nodes = self.max_nodes.max(roster.current.len());
        self.rosters.insert(roster.epoch, roster);
        self.remove_retired();
    }

    /// The control node looks at the machines, and does what the controller asks for.
    pub(crate) fn run_controller(&mut self) {
        self.now += TICK_MS;
        let (now, min_nodes) = (self.now, self.min_nodes());
        self.watch.observe(now, &self.control.roster, min_nodes);
        if !self.watch.is_probe_due(now) {
            return;
        }
        self.watch.begin_probe_round(now);
        let members: BTreeSet<u64> =
            disks(&self.roster().current).union(&disks(proposed_nodes(self.roster()))).copied().collect();
        for disk in members {
            match self.by_disk(disk).is_some_and(|machine| machine.up) {
                true => self.watch.record_response(now, disk),
                false => self.watch.record_missed_probe(disk),
            }
        }
        let step = self.watch.step(now, &self.control, self.tolerance);
        if let Some(state) = step.apply_to(&self.control, self.roster().epoch, min_nodes) {
            self.record_event(format!("{step:?}"));
            self.choose(state);
        }
    }

    /// One thing that a machine does next: whether there was any.
    pub(crate) fn advance(&mut self, at: usize) -> bool {
        if !self.machines[at].up {
            return false;
        }
        self.learn(at) || self.ask_to_join(at) || self.backfill(at) || self.report_in_sync(at)
    }

    fn learn(&mut self, at: usize) -> bool {
        let machine = &mut self.machines[at];
        if machine.state.epoch() >= self.control.roster.epoch {
            return false;
        }
        machine.learn(&self.control.roster);
        machine.backfill = None;
        true
    }

    fn ask_to_join(&mut self, at: usize) -> bool {
        let store = self.machines[at].store.clone();
        let roster = &self.control.roster;
        if proposed_nodes(roster).contains(&store) || roster.retiring.contains(&store.name) {
            return false;
        }
        self.watch.observe(self.now, roster, 2 * self.tolerance + 1);
        self.watch.record_response(self.now, store.disk);
        if !self.watch.may_join(roster, &store) {
            return false;
        }
        let Some(state) = join(&self.control, &store, self.min_nodes()) else { return false };
        self.record_event(format!("{} joins with disk {}", store.name, store.disk));
        self.choose(state);
        true
    }

    fn backfill(&mut self, at: usize) -> bool {
        let machine = &self.machines[at];
        let Some(due) = machine.state.backfill() else { return false };
        let mut backfill =
            machine.backfill.clone().filter(|begun| begun.epoch() == due.epoch()).unwrap_or(due);
        if self.mutation == Mutation::NextCountsUnfilled {
            let sources: Vec<u64> = backfill.calls().map(|(store, _)| store.disk).collect();
            sources.into_iter().for_each(|disk| backfill.page_applied(disk, None));
        }
        let drained_page = !backfill.is_done() && self.drain_page(at, &mut backfill);
        if !self.is_enough(&backfill) {
            self.machines[at].backfill = Some(backfill);
            return drained_page;
        }
        let disk = self.machines[at].store.disk;
        let done = Call::BackfillDone { epoch: backfill.epoch(), disk };
        let sources: Vec<u64> = backfill.drained().map(|store| store.disk).collect();
        for source in sources {
            if let Some(source) = self.by_disk(source).filter(|source| source.up) {
                source.answer(&done);
            }
        }
        if self.mutation == Mutation::FillsFromOneLess {
            let rest: Vec<u64> = backfill.calls().map(|(store, _)| store.disk).collect();
            rest.into_iter().for_each(|disk| backfill.page_applied(disk, None));
        }
        self.machines[at].backfill = None;
        self.machines[at].state.mark_in_sync(&backfill).is_some()
    }

    fn is_enough(&self, backfill: &Backfill) -> bool {
        if self.mutation != Mutation::FillsFromOneLess {
            return backfill.is_done();
        }
        let mut one_more = backfill.clone();
        let further = backfill.calls().next().map(|(store, _)| store.disk);
        further.into_iter().for_each(|disk| one_more.page_applied(disk, None));
        one_more.is_done()
    }

    /// A page from one of the sources that answer, drawn by lot.
    fn drain_page(&mut self, at: usize, backfill: &mut Backfill) -> bool {
        let mut calls: Vec<(u64, Call)> = backfill.calls().map(|(store, call)| (store.disk, call)).collect();
        while !calls.is_empty() {
            let (source, call) = calls.swap_remove(self.random_below(calls.len()));
            let Some(machine) = self.by_disk(source).filter(|machine| machine.up) else { continue };
            if let Answer::Records { turns, accounts, cursor } = machine.answer(&call) {
                let machine = &mut self.machines[at];
                let writes = machine.state.apply_page(0, turns, accounts);
                machine.payloads.write(&writes);
                backfill.page_applied(source, cursor);
                return true;
            }
        }
        false
    }

    fn report_in_sync(&mut self, at: usize) -> bool {
        let machine = &self.machines[at];
        let (disk, epoch) = (machine.store.disk, machine.state.epoch());
        if !machine.state.is_in_sync_for_next() || self.control.roster.in_sync.contains(&disk) {
            return false;
        }
        let Some(state) = complete_backfill(&self.control, Some(disk), epoch, &[], self.min_nodes()) else {
            return false;
        };
        self.record_event(format!("disk {disk} is full"));
        self.choose(state);
        true
    }

    /// Everyone does what there is to do, for as long as it takes.
    pub(crate) fn settle(&mut self) -> bool {
        let until = self.now + SETTLE_TIMEOUT_MS;
        while self.now < until {
            self.tick();
            if self.is_at_rest() {
                self.clear_faults_if_complete();
                return true;
            }
        }
        false
    }

    /// Everyone does all there is to do at this moment; the time goes on.
    pub(crate) fn tick(&mut self) {
        while (0..self.machines.len()).any(|at| self.machines.len() > at && self.advance(at)) {}
        self.run_controller();
    }
}
