//! Storage machines in memory, one keeper with a clock, and what was promised to clients.

use crate::client_operations::Operation;
use controllers::{
    LossTolerance, RetireVerdict, StorageController, complete_backfill, join, proposed_nodes, retire,
    retire_status, times,
};
use fleet_model::{Answer, Call, ControlState, QuorumSizes, Roster, StorageNode, account_replicas};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use turn_store::{Backfill, Payload, Payloads, ReplicaState, Stored, TURNS, Write, is_surely_absent};

/// The keeper's clock goes on by so much a tick.
const TICK: u64 = 250;
/// So long a fleet without further trouble may take until all is as it should be.
const SETTLED_WITHIN: u64 = 60_000;

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
pub(crate) struct Shelf(BTreeMap<Vec<u8>, fleet_model::Turn>);

impl Payloads for Shelf {
    fn get(&self, attempt: &str) -> Payload {
        self.0.get(attempt.as_bytes()).cloned().map_or(Payload::Pending, Payload::Present)
    }
}

impl Shelf {
    fn write(&mut self, writes: &[Write]) {
        for write in writes.iter().filter(|write| write.space == TURNS) {
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
    down_since: u64,
    state: ReplicaState,
    shelf: Shelf,
    backfill: Option<Backfill>,
}

impl Machine {
    fn new(store: StorageNode, tolerance: usize) -> Self {
        let state = ReplicaState::new(0, store.disk, tolerance, Stored::default());
        Self { store, up: true, down_since: 0, state, shelf: Shelf::default(), backfill: None }
    }

    pub(crate) fn answer(&mut self, call: &Call) -> Answer {
        let outcome = self.state.handle(0, call, &self.shelf);
        self.shelf.write(&outcome.writes);
        outcome.answer
    }

    fn learn(&mut self, roster: &Roster) {
        let writes = self.state.set_roster(roster);
        self.shelf.write(&writes);
    }
}

pub(crate) struct Fleet {
    pub(crate) tolerance: usize,
    pub(crate) mutation: Mutation,
    pub(crate) now: u64,
    pub(crate) control: ControlState,
    pub(crate) machines: Vec<Machine>,
    /// Machines by name that are lost or away, or were and copies do not stand again.
    pub(crate) hurt: BTreeSet<String>,
    pub(crate) operations: Vec<Operation>,
    /// Turns that were answered whole.
    pub(crate) turns: Vec<String>,
    /// Reservations that were granted: program, number, tokens.
    pub(crate) granted: Vec<(String, u64, u32)>,
    pub(crate) broken: Vec<String>,
    pub(crate) told: Vec<String>,
    /// For how long copies may have been fewer than they should be: since the loss.
    pub(crate) short_since: Option<u64>,
    pub(crate) longest_short: u64,
    /// The most machines that ever counted.
    most: usize,
    /// Rosters by epoch: some machine or proxy may still go by any of them.
    pub(crate) rosters: BTreeMap<u64, Roster>,
    watch: StorageController,
    names: u8,
    disks: u64,
    random: ChaCha8Rng,
}

pub(crate) fn disks(stores: &[StorageNode]) -> BTreeSet<u64> {
    stores.iter().map(|store| store.disk).collect()
}

impl Fleet {
    /// So many machines, founded and full.
    pub(crate) fn new(seed: u64, machines: usize, tolerance: usize, mutation: Mutation) -> Self {
        let mut fleet = Self {
            tolerance,
            mutation: Mutation::None,
            now: 0,
            control: ControlState::default(),
            machines: Vec::new(),
            hurt: BTreeSet::new(),
            operations: Vec::new(),
            turns: Vec::new(),
            granted: Vec::new(),
            broken: Vec::new(),
            told: Vec::new(),
            short_since: None,
            longest_short: 0,
            most: 0,
            rosters: BTreeMap::new(),
            watch: StorageController::default(),
            names: 0,
            disks: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        for _ in 0..machines {
            fleet.start_another();
        }
        fleet.settle();
        fleet.mutation = mutation;
        fleet
    }

    pub(crate) fn random_below(&mut self, below: usize) -> usize {
        (self.random.next_u64() % below.max(1) as u64) as usize
    }

    pub(crate) fn least(&self) -> usize {
        controllers::min_storage_nodes(self.tolerance)
    }

    pub(crate) fn roster(&self) -> &Roster {
        &self.control.roster
    }

    pub(crate) fn tell(&mut self, told: String) {
        let roster = &self.control.roster;
        let next = roster.next.as_deref().map(disks);
        let place = format!("epoch {}: {:?} -> {next:?}", roster.epoch, disks(&roster.current));
        self.told.push(format!("{} {place}: {told}", self.now));
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
    pub(crate) fn may_hurt(&self) -> usize {
        LossTolerance::from_roster(self.roster(), self.tolerance).survived.saturating_sub(self.hurt.len())
    }

    fn hurt(&mut self, name: &str, how: &str) {
        self.tell(format!("{name} {how}"));
        self.hurt.insert(name.to_owned());
        self.short_since.get_or_insert(self.now);
    }

    /// It does not answer, and keeps its disk.
    pub(crate) fn stop(&mut self, name: &str) {
        self.hurt(name, "stops");
        let at = self.at(name).expect("a machine of this name");
        (self.machines[at].up, self.machines[at].backfill) = (false, None);
        self.machines[at].down_since = self.now;
    }

    pub(crate) fn come_back(&mut self, name: &str) {
        self.tell(format!("{name} comes back"));
        let at = self.at(name).expect("a machine of this name");
        self.machines[at].up = true;
    }

    /// The machine is gone with its disk.
    pub(crate) fn destroy(&mut self, name: &str) {
        self.hurt(name, "is destroyed");
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
        let (state, verdict) = retire(&self.control, name, self.least());
        self.tell(format!("{name} is to be retired: {verdict:?}"));
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
            self.tell(format!("{name} is retired and taken away"));
            self.machines.retain(|machine| machine.store.name != name);
            self.hurt.remove(&name);
        }
    }

    /// Names of machines without which the proposed set goes below what a fleet is founded with although they were not gone for
    /// long. One whose place another takes is not left out.
    fn left_out_early(&self, after: &Roster) -> Vec<String> {
        let (before, left) = (proposed_nodes(self.roster()), proposed_nodes(after));
        if before.len() < self.least() || left.len() >= self.least() {
            return Vec::new();
        }
        let same = |one: &StorageNode, other: &StorageNode| one.name == other.name || one.ip == other.ip;
        let out = before.iter().filter(|store| !left.iter().any(|other| same(store, other)));
        out.filter(|store| !self.is_gone_for_long(store)).map(|store| store.name.clone()).collect()
    }

    /// The watch may have heard from a machine a look before it fell silent, not later.
    fn is_gone_for_long(&self, store: &StorageNode) -> bool {
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
        if former >= self.least() && roster.current.len() <= self.tolerance {
            self.broken.push(format!("{}: {} of {former} are left", self.now, roster.current.len()));
        }
        self.most = self.most.max(roster.current.len());
        self.rosters.insert(roster.epoch, roster);
        self.remove_retired();
    }

    /// The keeper looks at the machines, and does what the duty asks for.
    pub(crate) fn keep(&mut self) {
        self.now += TICK;
        let (now, least) = (self.now, self.least());
        self.watch.observe(now, &self.control.roster, least);
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
        if let Some(state) = step.apply_to(&self.control, self.roster().epoch, least) {
            self.tell(format!("{step:?}"));
            self.choose(state);
        }
    }

    /// One thing that a machine does next: whether there was any.
    pub(crate) fn advance(&mut self, at: usize) -> bool {
        if !self.machines[at].up {
            return false;
        }
        self.learn(at) || self.ask_to_join(at) || self.backfill(at) || self.tell_filled(at)
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
        if !self.watch.admits(roster, &store) {
            return false;
        }
        let Some(state) = join(&self.control, &store, self.least()) else { return false };
        self.tell(format!("{} joins with disk {}", store.name, store.disk));
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
                machine.shelf.write(&writes);
                backfill.page_applied(source, cursor);
                return true;
            }
        }
        false
    }

    fn tell_filled(&mut self, at: usize) -> bool {
        let machine = &self.machines[at];
        let (disk, epoch) = (machine.store.disk, machine.state.epoch());
        if !machine.state.is_in_sync_for_next() || self.control.roster.in_sync.contains(&disk) {
            return false;
        }
        let Some(state) = complete_backfill(&self.control, Some(disk), epoch, &[], self.least()) else {
            return false;
        };
        self.tell(format!("disk {disk} is full"));
        self.choose(state);
        true
    }

    /// Whether all machines that are up count and are full, and nothing is under way.
    pub(crate) fn is_settled(&self) -> bool {
        let roster = self.roster();
        let is_placed = |machine: &Machine| {
            let retiring = roster.retiring.contains(&machine.store.name);
            roster.current.contains(&machine.store) != retiring
                && machine.state.epoch() == roster.epoch
                && (retiring || machine.state.is_in_sync())
        };
        roster.next.is_none()
            && !roster.current.is_empty()
            && self.machines.iter().filter(|machine| machine.up).all(is_placed)
    }

    /// Whether it is settled, and everyone that counts is there.
    fn is_whole(&self) -> bool {
        let up =
            |store: &StorageNode| self.machines.iter().any(|machine| machine.up && machine.store == *store);
        self.is_settled() && self.roster().current.iter().all(up)
    }

    /// Whether nothing more will happen by itself.
    pub(crate) fn is_at_rest(&self) -> bool {
        self.is_settled() && (self.is_whole() || self.serves_without_some())
    }

    /// Whether no more can be given up, and the rest is enough to serve.
    fn serves_without_some(&self) -> bool {
        let roster = self.roster();
        let up =
            |store: &&StorageNode| self.machines.iter().any(|machine| machine.up && machine.store == **store);
        let silent = roster.current.len() - roster.current.iter().filter(up).count();
        let sizes = QuorumSizes::for_machines(roster.current.len(), self.tolerance);
        roster.current.len() <= self.least() && sizes.is_some_and(|sizes| silent <= sizes.losses_served())
    }

    /// What was hurt counts no more once all copies stand.
    pub(crate) fn look_whether_whole(&mut self) {
        if !self.is_whole() {
            return;
        }
        if let Some(since) = self.short_since.take() {
            self.longest_short = self.longest_short.max(self.now - since);
        }
        self.hurt.clear();
        self.check_copies();
    }

    /// Everyone does what there is to do, for as long as it takes.
    pub(crate) fn settle(&mut self) -> bool {
        let until = self.now + SETTLED_WITHIN;
        while self.now < until {
            self.tick();
            if self.is_at_rest() {
                self.look_whether_whole();
                return true;
            }
        }
        false
    }

    /// Everyone does all there is to do at this moment; the time goes on.
    pub(crate) fn tick(&mut self) {
        while (0..self.machines.len()).any(|at| self.machines.len() > at && self.advance(at)) {}
        self.keep();
    }

    /// No reader may be told that there is no such turn, by whatever roster it goes; somewhere each turn is left.
    pub(crate) fn check_turns(&mut self) {
        let epochs: BTreeSet<u64> = self.machines.iter().map(|machine| machine.state.epoch()).collect();
        for attempt in self.turns.clone() {
            for epoch in &epochs {
                let Some(roster) = self.rosters.get(epoch).cloned() else { continue };
                let absent = self.absent(&attempt, *epoch);
                let denied = match self.mutation {
                    Mutation::AbsentByCovering => {
                        QuorumSizes::for_machines(roster.current.len(), self.tolerance).is_some_and(|sizes| {
                            disks(&roster.current).intersection(&absent).count() >= sizes.covering
                        })
                    }
                    _ => is_surely_absent(&roster, &absent, self.tolerance),
                };
                if denied {
                    self.broken.push(format!("{}: {attempt} is denied under epoch {epoch}", self.now));
                }
            }
            let members = disks(&self.roster().current);
            if self.holding(&attempt).is_disjoint(&members) {
                self.broken.push(format!("{}: {attempt} is lost", self.now));
            }
        }
    }

    fn absent(&mut self, attempt: &str, epoch: u64) -> BTreeSet<u64> {
        let call = Call::ReadChain { epoch, attempt: attempt.to_owned() };
        let says_so = |machine: &mut Machine| {
            (machine.answer(&call) == Answer::Absent { complete: true }).then_some(machine.store.disk)
        };
        self.machines.iter_mut().filter_map(says_so).collect()
    }

    /// The disks that have a turn, those of machines that are away included.
    pub(crate) fn holding(&mut self, attempt: &str) -> BTreeSet<u64> {
        let has_it = |machine: &mut Machine| {
            let epoch = machine.state.epoch();
            let call = Call::ReadChain { epoch, attempt: attempt.to_owned() };
            matches!(machine.answer(&call), Answer::Chain { .. }).then_some(machine.store.disk)
        };
        self.machines.iter_mut().filter_map(has_it).collect()
    }

    /// Where nothing is under way and everyone is there, each record is on as many machines as it should be.
    fn check_copies(&mut self) {
        let roster = self.roster().clone();
        let Some(sizes) = QuorumSizes::for_machines(roster.current.len(), self.tolerance) else { return };
        let members = disks(&roster.current);
        for attempt in self.turns.clone() {
            let count = self.holding(&attempt).intersection(&members).count();
            if count < sizes.write {
                self.broken.push(format!("{}: {attempt} has {count} copies when all is whole", self.now));
            }
        }
        for (program, number, _) in self.granted.clone() {
            let replicas = account_replicas(&roster.current, &program, self.tolerance);
            let replicas: Vec<u64> = replicas.into_iter().map(|store| store.disk).collect();
            let count = replicas.into_iter().filter(|disk| self.knows(*disk, &program, number)).count();
            if count < sizes.write {
                self.broken.push(format!("{}: {program} {number} is known to {count} holders", self.now));
            }
        }
    }

    /// Whether a machine knows of a reservation.
    fn knows(&mut self, disk: u64, program: &str, number: u64) -> bool {
        let Some(machine) = self.by_disk(disk) else { return false };
        let call = Call::ReadAccount { epoch: machine.state.epoch(), program: program.to_owned() };
        match machine.answer(&call) {
            Answer::Account(known) => known.iter().any(|reservation| reservation.attempt == number),
            _ => false,
        }
    }

    /// What an account has granted stays within its bound.
    pub(crate) fn check_accounts(&mut self, bound: u32) {
        let mut sums: BTreeMap<&str, u32> = BTreeMap::new();
        for (program, _, tokens) in &self.granted {
            *sums.entry(program).or_default() += tokens;
        }
        let over = sums.into_iter().find(|(_, sum)| *sum > bound);
        if let Some((program, sum)) = over {
            self.broken.push(format!("{}: {program} has {sum} of {bound}", self.now));
        }
    }
}
