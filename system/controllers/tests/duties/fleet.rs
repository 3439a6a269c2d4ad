//! A fleet in memory: keepers over a register that is a plain compare-and-set for whoever reaches a majority, and storage
//! machines that join, fill and tell. Its clock goes in ticks; the history is all that the checks look at.

use controllers::{
    DiscoveryPolls, LeaseCandidate, RosterStep, StorageController, UnresponsiveVoter, VoterController,
    complete_backfill, holds_lease, join, proposed_nodes, retire, times,
};
use fleet_model::{ControlState, EndpointList, ListVersion, QuorumSizes, Roster, StorageNode};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::rc::Rc;

pub const LIST: &str = "list";
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
pub enum Event {
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

pub struct Keeper {
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

pub struct Machine {
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

pub struct Fleet {
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
    pub fn new(seed: u64, tolerance: usize, keepers: u8, machines: u8) -> Self {
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

    pub fn least(&self) -> usize {
        2 * self.tolerance + 1
    }

    pub fn draw(&mut self, below: u64) -> u64 {
        self.random.next_u64() % below
    }

    pub fn roster(&self) -> &Roster {
        &self.state.roster
    }

    pub fn state(&self) -> &ControlState {
        &self.state
    }

    pub fn voters(&self) -> &[Ipv4Addr] {
        &self.voters
    }

    /// A machine with an empty disk starts under this name and address.
    pub fn start(&mut self, name: &str, ip: u8) -> u64 {
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

    pub fn machine(&mut self, disk: u64) -> &mut Machine {
        self.machines.iter_mut().find(|machine| machine.store.disk == disk).unwrap()
    }

    /// The machine is gone, for good or until it comes back.
    pub fn stop(&mut self, disk: u64) {
        let now = self.now;
        let machine = self.machine(disk);
        (machine.up, machine.silent_since) = (false, now);
    }

    /// It comes back with its disk.
    pub fn come_back(&mut self, disk: u64) {
        let now = self.now;
        let machine = self.machine(disk);
        (machine.up, machine.filling, machine.next) = (true, None, now + 300);
    }

    pub fn freeze(&mut self, disk: u64, for_ms: u64) {
        let now = self.now;
        let machine = self.machine(disk);
        (machine.frozen_until, machine.silent_since) = (now + for_ms, now);
    }

    pub fn freeze_keeper(&mut self, at: usize, for_ms: u64) {
        self.keepers[at].frozen_until = self.now + for_ms;
    }

    /// The keeper's process ends and starts again: it knows nothing.
    pub fn restart_keeper(&mut self, at: usize) {
        let phase = self.random.next_u64();
        self.keepers[at] = keeper(self.keepers[at].ip, self.now, phase);
    }

    /// A core machine that was never there starts, and is taken in at once.
    pub fn add_keeper(&mut self, last: u8) {
        let ip = Ipv4Addr::new(10, 0, 0, last);
        let phase = self.random.next_u64();
        self.keepers.push(keeper(ip, self.now, phase));
        self.voters.push(ip);
        self.version += 1;
    }

    /// The keeper that holds the duty by the register.
    pub fn holder(&self) -> Option<usize> {
        let holder = self.state.leases.get(LIST)?.holder?;
        self.keepers.iter().position(|keeper| keeper.ip == holder)
    }

    pub fn retire(&mut self, name: &str) -> controllers::RetireVerdict {
        let (state, verdict) = retire(&self.state, name, self.least());
        if let Some(state) = state {
            self.choose(state, Vec::new());
        }
        verdict
    }

    pub fn run(&mut self, for_ms: u64) {
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
    pub fn run_until(&mut self, most_ms: u64, holds: impl Fn(&Fleet) -> bool) -> Option<u64> {
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

    fn answers(&self, from: usize, ip: Ipv4Addr) -> bool {
        let Some(to) = self.keepers.iter().position(|keeper| keeper.ip == ip) else { return false };
        let other = &self.keepers[to];
        to == from || (other.up && other.frozen_until <= self.now && !other.cut && !self.keepers[from].cut)
    }

    fn reaches_majority(&self, at: usize) -> bool {
        let reached = self.voters.iter().filter(|ip| self.answers(at, **ip)).count();
        reached > self.voters.len() / 2
    }

    /// The keeper's change of the state, if it reaches a majority.
    fn change(
        &mut self,
        at: usize,
        waived: Vec<u64>,
        wanted: impl FnOnce(&ControlState) -> Option<ControlState>,
    ) -> bool {
        if !self.reaches_majority(at) {
            return false;
        }
        if let Some(state) = wanted(&self.state) {
            self.choose(state, waived);
        }
        self.learn(at);
        true
    }

    fn learn(&mut self, at: usize) {
        let keeper = &mut self.keepers[at];
        (keeper.version, keeper.state, keeper.voters) =
            (self.version, self.state.clone(), self.voters.clone());
        keeper.fresh_at = Some(self.now);
    }

    fn keep(&mut self, at: usize) {
        let now = self.now;
        if !self.keepers[at].up || self.keepers[at].frozen_until > now {
            return;
        }
        if let Some(pending) = self.keepers[at].pending.take() {
            self.carry_out(at, pending);
        }
        if self.keepers[at].next_poll <= now {
            self.keepers[at].next_poll = now + POLL;
            self.keepers[at].core.before_request(now);
            let voters = self.keepers[at].voters.clone();
            let answering: Vec<Ipv4Addr> = voters.into_iter().filter(|ip| self.answers(at, *ip)).collect();
            answering.into_iter().for_each(|ip| self.keepers[at].core.record_response(now, ip));
            if self.reaches_majority(at) {
                self.learn(at);
            }
        }
        let fresh = self.keepers[at].fresh_at.is_some_and(|then| now - then < FRESH);
        if fresh && self.keepers[at].next_duty <= now && now - self.keepers[at].began >= 300 {
            self.duty(at);
        }
        if self.keepers[at].next_watch <= now {
            self.keepers[at].next_watch = now + times::PROBE_RETRY_INTERVAL_MS;
            self.watch(at, fresh);
        }
    }

    fn duty(&mut self, at: usize) {
        let now = self.now;
        let keeper = &mut self.keepers[at];
        if let Some(fence) = keeper.claim.held_token(&keeper.state) {
            keeper.next_duty = now + times::POLL_INTERVAL_MS;
            // What the platform lists is told by its time here: it is another one each time.
            let mut endpoint = fleet_model::Endpoint {
                instance_id: now.to_string(),
                service: String::new(),
                address: "10.9.0.1:80".parse().unwrap(),
                zone: String::new(),
                capacity_slots: 1,
                state: fleet_model::EndpointState::Ready,
            };
            endpoint.zone = "a".into();
            if let Some(list) = keeper.readings.accept_poll(now, now, fence, &keeper.list, vec![endpoint])
                && list.version > keeper.list.version
            {
                self.history.push((now, Event::List(list.version, now)));
                keeper.list = list;
            }
            return;
        }
        keeper.next_duty = now + 200;
        let Some(from) = keeper.claim.lease_to_acquire(now, &keeper.state, &keeper.voters, &keeper.core)
        else {
            return;
        };
        let claim = keeper.claim.clone();
        if self.change(at, Vec::new(), |state| claim.acquire(state, &from)) {
            let keeper = &mut self.keepers[at];
            keeper.claim.change_committed(&keeper.state, &from);
            keeper.next_duty = now;
        }
    }

    fn watch(&mut self, at: usize, fresh: bool) {
        let (now, least, tolerance) = (self.now, self.least(), self.tolerance);
        let live: BTreeSet<u64> = self
            .machines
            .iter()
            .filter(|machine| machine.up && machine.frozen_until <= now && !self.keepers[at].cut)
            .map(|machine| machine.store.disk)
            .collect();
        let keeper = &mut self.keepers[at];
        keeper.core.observe(now, &keeper.voters);
        keeper.watch.observe(now, &keeper.state.roster, least);
        let holds = keeper.claim.held_token(&keeper.state).filter(|_| fresh);
        if keeper.watch.is_probe_due(now) {
            keeper.watch.begin_probe_round(now);
            for disk in
                disks(&keeper.state.roster.current).union(&disks(proposed_nodes(&keeper.state.roster)))
            {
                match live.contains(disk) {
                    true => keeper.watch.record_response(now, *disk),
                    false => keeper.watch.record_missed_probe(*disk),
                }
            }
            if let Some(fence) = holds {
                let epoch = keeper.state.roster.epoch;
                keeper.pending = match keeper.watch.step(now, &keeper.state, tolerance) {
                    RosterStep::NoChange => None,
                    step => Some(Pending::Roster(step, epoch, fence)),
                };
            }
        }
        if let (Some(fence), None, Some(UnresponsiveVoter { ip: gone, .. })) =
            (holds, &keeper.pending, keeper.core.voter_to_remove(now, &keeper.voters))
        {
            keeper.pending = Some(Pending::Remove(gone, fence));
        }
    }

    fn carry_out(&mut self, at: usize, pending: Pending) {
        let (me, least) = (self.keepers[at].ip, self.least());
        match pending {
            Pending::Roster(step, epoch, fence) => {
                let waived = match &step {
                    RosterStep::WaiveBackfill(waived) => waived.clone(),
                    _ => Vec::new(),
                };
                self.change(at, waived, |state| {
                    holds_lease(state, LIST, me, fence).then(|| step.apply_to(state, epoch, least)).flatten()
                });
            }
            Pending::Remove(gone, fence) => {
                if self.reaches_majority(at)
                    && holds_lease(&self.state, LIST, me, fence)
                    && let Some(voters) = VoterController::without_voter(&self.voters, gone)
                {
                    self.voters = voters;
                    self.version += 1;
                    self.learn(at);
                }
            }
        }
    }

    /// A keeper that a storage machine would get an answer from.
    fn some_keeper(&mut self) -> Option<usize> {
        let now = self.now;
        let able: Vec<usize> = (0..self.keepers.len())
            .filter(|at| {
                let keeper = &self.keepers[*at];
                keeper.up && keeper.frozen_until <= now && !keeper.cut && self.reaches_majority(*at)
            })
            .collect();
        match able.len() as u64 {
            0 => None,
            count => Some(able[self.draw(count) as usize]),
        }
    }

    fn store(&mut self, at: usize) {
        let now = self.now;
        let machine = &self.machines[at];
        if !machine.up || machine.frozen_until > now || machine.next > now {
            return;
        }
        self.machines[at].next = now + TOLD;
        let Some(keeper) = self.some_keeper() else { return };
        if self.keepers[keeper].version > self.machines[at].version {
            self.machines[at].version = self.keepers[keeper].version;
            self.machines[at].roster = self.keepers[keeper].state.roster.clone();
        } else if self.machines[at].version == 0 {
            return;
        }
        let (me, roster) = (self.machines[at].store.clone(), self.machines[at].roster.clone());
        if !proposed_nodes(&roster).contains(&me) && !roster.retiring.contains(&me.name) {
            self.ask_to_join(keeper, &me);
        }
        let (here, set) = (disks(&roster.current).contains(&me.disk), disks(proposed_nodes(&roster)));
        if !set.contains(&me.disk) {
            return;
        }
        if self.machines[at].full_for.contains(&set) {
            if roster.next.is_some() && !roster.in_sync.contains(&me.disk) {
                self.history.push((now, Event::Filled(me.disk, roster.epoch)));
                let least = self.least();
                self.change(keeper, Vec::new(), |state| {
                    complete_backfill(state, Some(me.disk), roster.epoch, &[], least)
                });
            }
            return;
        }
        let current = disks(&roster.current);
        let full = |machine: &Machine| {
            machine.up
                && machine.frozen_until <= now
                && current.contains(&machine.store.disk)
                && machine.full_for.contains(&current)
        };
        let sources =
            self.machines.iter().filter(|machine| machine.store.disk != me.disk && full(machine)).count();
        let own = usize::from(here && full(&self.machines[at]));
        let covering =
            QuorumSizes::for_machines(current.len(), self.tolerance).map_or(0, |sizes| sizes.covering);
        match self.machines[at].filling {
            Some((epoch, done_at)) if epoch == roster.epoch => {
                if now < done_at {
                    return;
                }
                self.machines[at].filling = None;
                if sources + own >= covering {
                    self.machines[at].full_for.insert(set);
                    self.machines[at].next = now;
                }
            }
            _ => {
                let takes = if sources + own >= covering { FILLING } else { SOURCE_GONE };
                self.machines[at].filling = Some((roster.epoch, now + takes));
            }
        }
    }

    fn ask_to_join(&mut self, at: usize, store: &StorageNode) {
        let (now, least) = (self.now, self.least());
        let keeper = &mut self.keepers[at];
        keeper.watch.observe(now, &keeper.state.roster, least);
        keeper.watch.record_response(now, store.disk);
        if keeper.watch.admits(&keeper.state.roster, store) && join(&keeper.state, store, least).is_some() {
            // Whom it replaces is lost.
            let same = |other: &&StorageNode| other.name == store.name || other.ip == store.ip;
            let lost =
                proposed_nodes(&self.state.roster).iter().filter(same).map(|other| other.disk).collect();
            self.change(at, lost, |state| join(state, store, least));
        }
    }

    /// Whether the roster is as the machines are: all live ones that are not retired, full, and nobody else as far as
    /// enough are left.
    pub fn is_settled(&self) -> bool {
        let roster = self.roster();
        let retired = |store: &StorageNode| roster.retiring.contains(&store.name);
        let live: BTreeSet<u64> = self
            .machines
            .iter()
            .filter(|machine| machine.up && !retired(&machine.store))
            .map(|machine| machine.store.disk)
            .collect();
        let current = disks(&roster.current);
        roster.next.is_none()
            && live.is_subset(&current)
            && (live == current || current.len() == self.least())
            && roster.current.iter().all(|store| !retired(store))
    }

    /// The rules that the history has to keep. What it does not keep is told.
    pub fn broken(&self) -> Vec<String> {
        let mut broken = Vec::new();
        let mut filled: BTreeSet<(u64, u64)> = BTreeSet::new();
        let mut stamps: BTreeMap<ListVersion, u64> = BTreeMap::new();
        let mut out: BTreeSet<String> = BTreeSet::new();
        let mut last = Roster::default();
        for (at, event) in &self.history {
            match event {
                Event::Filled(disk, epoch) => drop(filled.insert((*disk, *epoch))),
                Event::List(stamp, read) => {
                    if stamps.insert(*stamp, *read).is_some() {
                        broken.push(format!("{at}: two lists with the stamp {stamp:?}"));
                    }
                }
                Event::Shrunk(left, out) => {
                    // The watch may have heard from a machine a look before it fell silent, not later.
                    let early =
                        |silent: u64| silent + 2 * times::PROBE_INTERVAL_MS < times::STORAGE_TIMEOUT_MS;
                    if *left <= self.tolerance || out.iter().any(|(_, silent)| early(*silent)) {
                        broken.push(format!("{at}: only {left} are left, without {out:?}"));
                    }
                }
                Event::Roster(roster, waived) => {
                    let sets = |roster: &Roster| (roster.current.clone(), roster.next.clone());
                    if sets(&last) != sets(roster) && roster.epoch <= last.epoch {
                        broken.push(format!("{at}: another roster under the epoch {}", roster.epoch));
                    }
                    if roster.current != last.current {
                        if last.next.as_ref() != Some(&roster.current) {
                            broken.push(format!("{at}: what counts was not the next set"));
                        }
                        let unfilled: Vec<u64> = disks(&roster.current)
                            .into_iter()
                            .filter(|disk| !filled.contains(&(*disk, last.epoch)))
                            .collect();
                        let survived = QuorumSizes::for_machines(roster.current.len(), self.tolerance)
                            .map_or(0, |sizes| sizes.losses_survived());
                        if unfilled.len() > survived || unfilled.iter().any(|disk| !waived.contains(disk)) {
                            broken.push(format!(
                                "{at}: {unfilled:?} count and are not full, waived {waived:?}"
                            ));
                        }
                    }
                    for store in roster.current.iter().chain(roster.next.iter().flatten()) {
                        if out.contains(&store.name) {
                            broken.push(format!("{at}: {} was out and is back", store.name));
                        }
                    }
                    let counts = |name: &String| {
                        roster.current.iter().chain(proposed_nodes(roster)).any(|store| store.name == *name)
                    };
                    out.extend(roster.retiring.iter().filter(|name| !counts(name)).cloned());
                    last = roster.clone();
                }
            }
        }
        // Whoever has a list of a later stamp has not gone back by more than a keeper may be behind.
        let mut newest = 0;
        for (stamp, read) in stamps {
            if read + FRESH < newest {
                broken
                    .push(format!("the list {stamp:?} was read {} ms before an earlier one", newest - read));
            }
            newest = newest.max(read);
        }
        broken
    }
}
