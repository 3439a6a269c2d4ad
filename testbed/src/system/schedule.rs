//! What goes wrong in a play, and when: drawn from a seed, never more machines lost at once than the fleet is to bear.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::Ipv4Addr;

/// What a machine, or a process, is there for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A core machine: a voter of the register.
    #[serde(rename = "keeper")]
    ControlNode,
    /// A storage machine.
    Store,
    /// An edge machine, and its agent.
    Agent,
    /// The proxy of an edge machine.
    Proxy,
}

/// A machine of a play.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its zone.
    pub zone: String,
    /// What it is there for.
    pub class: Class,
    /// It is there when the whole system starts for the first time.
    pub first: bool,
}

/// How a machine is kept from others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Isolation {
    /// It hears nobody and nobody hears it.
    Cut,
    /// It hears nobody; what it sends arrives.
    CutIncoming,
    /// Nobody hears it; what others send arrives.
    CutOutgoing,
    /// It and the other core machines do not hear one another; edge and storage machines and operators reach it.
    PeersCut,
    /// It does not hear the other core machines.
    PeersCutIncoming,
    /// The other core machines do not hear it.
    PeersCutOutgoing,
    /// Its processes stand still.
    Frozen,
    /// What it sends arrives after its askers have given up.
    Slow,
}

/// All of them.
pub const ISOLATIONS: [Isolation; 8] = [
    Isolation::Cut,
    Isolation::CutIncoming,
    Isolation::CutOutgoing,
    Isolation::PeersCut,
    Isolation::PeersCutIncoming,
    Isolation::PeersCutOutgoing,
    Isolation::Frozen,
    Isolation::Slow,
];

/// Whom a fault befalls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// The machine of this number.
    Machine(usize),
    /// The core machine that holds the lease of the singleton task at that time.
    LeaseHolder,
}

/// A moment of a change of members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MembershipStep {
    /// The next set of storage machines is agreed.
    Agreed,
    /// Its members catch up.
    Filling,
    /// The first of them has caught up.
    Filled,
    /// The next set is the current one.
    Current,
    /// A while after that: what the former set holds is released.
    Released,
    /// The core has a voter more.
    VoterAdded,
    /// The core has a voter less.
    VoterRemoved,
}

/// Who is lost in a change of members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Victim {
    /// The member that joins.
    Newcomer,
    /// A member that stays, from which the newcomer catches up.
    Source,
    /// The member that leaves.
    Leaver,
    /// The member with the oldest disk.
    Oldest,
}

/// What goes wrong. Machines are numbers in the schedule's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Trouble {
    /// Its processes stand still.
    Freeze { machine: usize, for_ms: u64 },
    /// Its processes end and come back.
    Kill { machine: usize, back_ms: u64 },
    /// The same for its proxy alone.
    KillProxy { machine: usize, back_ms: u64 },
    /// It loses power; of what is not synced some is there, some gone, some torn.
    LosePower { machine: usize, back_ms: u64 },
    /// It loses power, and one turn on its disk cannot be read any more.
    Damage { machine: usize, back_ms: u64 },
    /// It loses power and its disk.
    LoseDisk { machine: usize, back_ms: u64 },
    /// What one sends to the other does not arrive.
    Cut { from: usize, to: usize, for_ms: u64 },
    /// It hears neither the core nor the edge, and goes on with the storage machines by what it knows.
    Mislead { machine: usize, for_ms: u64 },
    /// It hears nobody and nobody hears it.
    CutOff { machine: usize, for_ms: u64 },
    /// So many of a thousand messages are lost or late.
    LoseMessages { of_thousand: u64, for_ms: u64 },
    /// A new machine starts, and the other ends for good.
    Replace { old: usize, new: usize, starts_ms: u64, ends_ms: u64 },
    /// A new machine starts.
    Add { machine: usize },
    /// The operator has it emptied.
    Retire { machine: usize },
    /// Right after a configuration was acknowledged, or after a while: all processes are killed, or all machines lose power;
    /// some of them their disks.
    All { power: bool, disks: Vec<usize>, back_ms: u64 },
    /// A machine is kept from others; operators send it changes all the while, and one in the moment of its return.
    Isolate { target: Target, how: Isolation, for_ms: u64 },
    /// So many of a thousand answers to operators are lost: the orders are sent again elsewhere.
    LoseAnswers { of_thousand: u64, for_ms: u64 },
    /// Nothing is written to its disk in this time.
    StallDisk { machine: usize, for_ms: u64 },
    /// Its disk is full: writes are refused in this time.
    RefuseWrites { machine: usize, for_ms: u64 },
    /// Its disk refuses the next sync.
    RefuseSync { machine: usize },
    /// Operators send so many changes, eight at once with those that are always there, each as soon as its last was answered.
    Burst { orders: u64 },
    /// All core processes are killed.
    KillCore { back_ms: u64 },
    /// At this step of the next change of members one is lost.
    LossAtStep { step: MembershipStep, victim: Victim, wiped: bool, back_ms: u64 },
    /// The operator has a machine emptied and takes it away once that is completed; in that moment others lose their disks.
    RetireThenWipe { machine: usize, wiped: Vec<usize>, back_ms: u64 },
}

/// A trouble at its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Milliseconds from the beginning.
    pub at_ms: u64,
    /// What it is.
    pub trouble: Trouble,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:6} {:?}", self.at_ms, self.trouble)
    }
}

/// A play's machines and faults.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Draws all other chances of the play.
    pub seed: u64,
    /// Machines that may be lost at once.
    pub tolerance: usize,
    /// All machines, those that come later too.
    pub machines: Vec<Machine>,
    /// In order of their times.
    pub faults: Vec<Fault>,
    /// By then all faults are over.
    pub calm_ms: u64,
}

/// So long the last fault waits for a configuration to be acknowledged.
pub const LAST_WAITS: u64 = 1_500;
const EDGES: usize = 3;
const ZONES: usize = 3;
/// Faults begin within this time.
const TROUBLED: u64 = 16_000;
/// The first ones, only after the founding.
const BEGIN: u64 = 4_500;
/// A burst of changes is over by then, in most plays.
const BURST_MS: u64 = 3_000;
/// How long a core machine is kept from others, at least and at most.
const ISOLATED: (u64, u64) = (12_000, 22_000);
/// So long after it begins a change of members that was begun for a loss is over, with the loss.
const STEP_MS: u64 = 7_000;
/// A machine counts as lost until so long after its return, where one may be lost at once.
const CATCH_UP: u64 = 4_100;
/// The same where two may be: see the schedules of `controllers`.
const CATCH_UP_OF_TWO: u64 = 5_000;

struct Drawing {
    rng: ChaCha8Rng,
    schedule: Schedule,
    catch_up: u64,
    /// Machines that count, and until when each is in trouble.
    keepers: Vec<(usize, u64)>,
    stores: Vec<(usize, u64)>,
    /// Until when a planned replacement is under way: a keeper that restarts meanwhile does not know of it.
    planned: u64,
    over: u64,
}

impl Schedule {
    /// Draws a schedule.
    pub fn draw(seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5ced);
        let tolerance = if seed.is_multiple_of(4) { 2 } else { 1 };
        let schedule = Self { seed, tolerance, machines: Vec::new(), faults: Vec::new(), calm_ms: 0 };
        let mut drawing = Drawing {
            rng,
            schedule,
            catch_up: if tolerance == 2 { CATCH_UP_OF_TWO } else { CATCH_UP },
            keepers: Vec::new(),
            stores: Vec::new(),
            planned: 0,
            over: 0,
        };
        drawing.play();
        drawing.schedule
    }

    /// A fleet without faults, whose machines are spread over the zones.
    pub fn fleet(seed: u64, tolerance: usize, stores: usize, edges: usize) -> Self {
        let mut schedule = Self { seed, tolerance, machines: Vec::new(), faults: Vec::new(), calm_ms: BEGIN };
        let counts = [(Class::ControlNode, 2 * tolerance + 1), (Class::Store, stores), (Class::Agent, edges)];
        for (class, count) in counts {
            for place in 0..count {
                schedule.add_machine(class, None, place % ZONES, true);
            }
        }
        schedule
    }

    /// Adds a machine; its number.
    pub fn add_machine(&mut self, class: Class, name: Option<String>, zone: usize, first: bool) -> usize {
        let number = self.machines.len();
        let (letter, net) = match class {
            Class::ControlNode => ("k", 0),
            Class::Store => ("s", 2),
            Class::Agent | Class::Proxy => ("e", 1),
        };
        self.machines.push(Machine {
            name: name.unwrap_or_else(|| format!("{letter}{number}")),
            ip: Ipv4Addr::new(10, 0, net, number as u8 + 1),
            zone: format!("z{zone}"),
            class,
            first,
        });
        number
    }

    /// Machines of a class, those that come later too.
    pub fn machines_of(&self, class: Class) -> Vec<usize> {
        (0..self.machines.len()).filter(|number| self.machines[*number].class == class).collect()
    }

    /// Whether a machine is one of the edge.
    pub fn edges(&self) -> Vec<usize> {
        let is_edge = |number: &usize| self.machines[*number].class == Class::Agent;
        (0..self.machines.len()).filter(is_edge).collect()
    }
}

impl Drawing {
    fn below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound.max(1)
    }

    fn between(&mut self, from: u64, to: u64) -> u64 {
        from + self.below(to - from + 1)
    }

    fn machine(&mut self, class: Class, name: Option<String>, first: bool) -> usize {
        let zone = match first {
            true => self.schedule.machines.len() % ZONES,
            false => self.below(ZONES as u64) as usize,
        };
        self.schedule.add_machine(class, name, zone, first)
    }

    fn add(&mut self, at_ms: u64, trouble: Trouble, over: u64) {
        self.schedule.faults.push(Fault { at_ms, trouble });
        self.over = self.over.max(over);
    }

    fn play(&mut self) {
        let tolerance = self.schedule.tolerance;
        for _ in 0..2 * tolerance + 1 {
            let number = self.machine(Class::ControlNode, None, true);
            self.keepers.push((number, 0));
        }
        let stores = 2 * tolerance as u64 + 1 + self.below(3);
        for _ in 0..stores {
            let number = self.machine(Class::Store, None, true);
            self.stores.push((number, 0));
        }
        let edges: Vec<usize> = (0..EDGES).map(|_| self.machine(Class::Agent, None, true)).collect();
        let mut slots = vec![BEGIN; tolerance];
        let mut now = BEGIN;
        while now < TROUBLED {
            if self.below(9) == 0 {
                self.trouble_edge(now, &edges);
            }
            if self.below(60) == 0 {
                let for_ms = self.between(500, 3_000);
                let of_thousand = self.between(5, 40);
                self.add(now, Trouble::LoseMessages { of_thousand, for_ms }, now + for_ms);
            }
            self.trouble_operators(now);
            if let Some(slot) = slots.iter().position(|free| *free <= now) {
                slots[slot] = match self.below(12) {
                    0..3 => self.trouble_store(now),
                    3 | 4 => self.trouble_core(now),
                    _ => now,
                };
            }
            now += 200;
        }
        let free = slots.into_iter().max().unwrap_or(now).max(self.over).max(now);
        let kind = self.below(6);
        if kind < 4 {
            let back_ms = self.between(300, 2_000);
            let mut disks = Vec::new();
            if kind > 1 {
                let places = self.between(1, tolerance as u64);
                for _ in 0..places {
                    let counted: Vec<usize> =
                        self.keepers.iter().chain(&self.stores).map(|(number, _)| *number).collect();
                    let chosen = counted[self.below(counted.len() as u64) as usize];
                    if !disks.contains(&chosen) {
                        disks.push(chosen);
                    }
                }
            }
            let over = free + LAST_WAITS + back_ms + 400;
            self.add(free, Trouble::All { power: kind > 0, disks, back_ms }, over);
        }
        self.schedule.faults.sort_by_key(|fault| fault.at_ms);
        self.schedule.calm_ms = self.over.max(free) + 100;
    }

    fn trouble_operators(&mut self, now: u64) {
        match self.below(160) {
            0 | 1 => {
                let (of_thousand, for_ms) = (self.between(50, 500), self.between(500, 4_000));
                self.add(now, Trouble::LoseAnswers { of_thousand, for_ms }, now + for_ms);
            }
            2 => {
                let orders = self.between(20, 200);
                self.add(now, Trouble::Burst { orders }, now + BURST_MS);
            }
            _ => {}
        }
    }

    fn trouble_edge(&mut self, now: u64, edges: &[usize]) {
        let machine = edges[self.below(edges.len() as u64) as usize];
        let for_ms = self.between(200, 3_000);
        let counted: Vec<usize> =
            self.keepers.iter().chain(&self.stores).map(|(number, _)| *number).collect();
        let other = counted[self.below(counted.len() as u64) as usize];
        let trouble = match self.below(9) {
            7 | 8 => {
                let for_ms = self.between(2_000, 7_000);
                self.add(now, Trouble::Mislead { machine, for_ms }, now + for_ms);
                return;
            }
            0 => Trouble::Freeze { machine, for_ms },
            1 => Trouble::Kill { machine, back_ms: for_ms },
            2 => Trouble::KillProxy { machine, back_ms: for_ms },
            3 => Trouble::LosePower { machine, back_ms: for_ms },
            4 => Trouble::CutOff { machine, for_ms },
            5 => Trouble::Cut { from: machine, to: other, for_ms },
            _ => Trouble::Cut { from: other, to: machine, for_ms },
        };
        self.add(now, trouble, now + for_ms);
    }

    /// One that is in no trouble.
    fn well(&mut self, now: u64, stores: bool) -> Option<usize> {
        let all = if stores { &self.stores } else { &self.keepers };
        let well: Vec<usize> =
            all.iter().filter(|(_, until)| *until <= now).map(|(number, _)| *number).collect();
        match well.len() {
            0 => None,
            count => Some(well[self.below(count as u64) as usize]),
        }
    }

    fn occupy(&mut self, machine: usize, until: u64) -> u64 {
        let all = self.keepers.iter_mut().chain(&mut self.stores);
        all.filter(|(number, _)| *number == machine).for_each(|(_, at)| *at = until);
        until
    }

    fn short(&mut self, now: u64, machine: usize, trouble: impl Fn(u64) -> Trouble, most: u64) -> u64 {
        let for_ms = self.between(300, most);
        self.add(now, trouble(for_ms), now + for_ms);
        self.occupy(machine, now + for_ms + self.catch_up)
    }

    /// When the slot is free again.
    fn trouble_store(&mut self, now: u64) -> u64 {
        let Some(machine) = self.well(now, true) else { return now };
        let name = self.schedule.machines[machine].name.clone();
        match self.below(17) {
            11 => self.short(now, machine, |for_ms| Trouble::StallDisk { machine, for_ms }, 4_000),
            12 => self.short(now, machine, |for_ms| Trouble::RefuseWrites { machine, for_ms }, 4_000),
            13 => self.short(now, machine, |_| Trouble::RefuseSync { machine }, 300),
            14 => {
                let (target, how) = (Target::Machine(machine), self.isolation());
                self.short(now, machine, |for_ms| Trouble::Isolate { target, how, for_ms }, 6_000)
            }
            15 => self.lose_at_step(now),
            16 if self.has_spare_store(now) => self.retire_then_wipe(now, machine),
            0 => self.short(now, machine, |for_ms| Trouble::Freeze { machine, for_ms }, 4_000),
            1 => self.short(now, machine, |back_ms| Trouble::Kill { machine, back_ms }, 2_000),
            2 => self.short(now, machine, |back_ms| Trouble::LosePower { machine, back_ms }, 2_000),
            3 => self.short(now, machine, |back_ms| Trouble::Damage { machine, back_ms }, 2_000),
            4 | 5 => self.short(now, machine, |back_ms| Trouble::LoseDisk { machine, back_ms }, 2_000),
            6 => self.short(now, machine, |for_ms| Trouble::CutOff { machine, for_ms }, 4_000),
            7 => match self.well(now, true).filter(|other| *other != machine) {
                Some(other) => self.short(
                    now,
                    machine,
                    |for_ms| Trouble::Cut { from: machine, to: other, for_ms },
                    3_000,
                ),
                None => now,
            },
            8 => {
                // One that is gone, or one whose end is planned.
                let planned = self.below(2) == 0;
                let name = if self.below(2) == 0 { Some(name) } else { None };
                let new = self.machine(Class::Store, name, false);
                let (starts_ms, ends_ms) = match planned {
                    true => (0, self.between(4_000, 6_000)),
                    false => (self.between(1_000, 2_000), 0),
                };
                let over = now + starts_ms.max(ends_ms);
                self.add(now, Trouble::Replace { old: machine, new, starts_ms, ends_ms }, over);
                self.stores.retain(|(number, _)| *number != machine);
                let free = over + self.catch_up + if planned { 2_000 } else { 0 };
                self.stores.push((new, free));
                if planned {
                    self.planned = self.planned.max(over + self.catch_up);
                }
                free
            }
            9 => {
                let new = self.machine(Class::Store, None, false);
                self.add(now, Trouble::Add { machine: new }, now + 500);
                self.stores.push((new, now + self.catch_up));
                now + 500
            }
            // An operator retires none of those that are needed once the lost ones have left.
            _ if !self.has_spare_store(now) => now,
            _ => {
                self.add(now, Trouble::Retire { machine }, now + 1_000);
                self.stores.retain(|(number, _)| *number != machine);
                now + self.catch_up
            }
        }
    }

    fn has_spare_store(&self, now: u64) -> bool {
        let well = self.stores.iter().filter(|(_, until)| *until <= now).count();
        well > 2 * self.schedule.tolerance + 1
    }

    fn isolation(&mut self) -> Isolation {
        ISOLATIONS[self.below(ISOLATIONS.len() as u64) as usize]
    }

    /// A storage machine joins, and at some step of that change one is lost.
    fn lose_at_step(&mut self, now: u64) -> u64 {
        let steps = [
            MembershipStep::Agreed,
            MembershipStep::Filling,
            MembershipStep::Filled,
            MembershipStep::Current,
            MembershipStep::Released,
        ];
        let victims = [Victim::Newcomer, Victim::Source, Victim::Oldest];
        let step = steps[self.below(steps.len() as u64) as usize];
        let victim = victims[self.below(victims.len() as u64) as usize];
        let (wiped, back_ms) = (self.below(3) > 0, self.between(300, 2_000));
        let new = self.machine(Class::Store, None, false);
        self.add(now, Trouble::LossAtStep { step, victim, wiped, back_ms }, now + STEP_MS);
        self.add(now + 50, Trouble::Add { machine: new }, now + STEP_MS);
        let free = now + STEP_MS + self.catch_up;
        // Who is lost is not known yet.
        self.stores.iter_mut().for_each(|(_, until)| *until = free);
        self.stores.push((new, free));
        free
    }

    /// A storage machine is emptied and taken away, and in that moment as many as may be lose their disks.
    fn retire_then_wipe(&mut self, now: u64, machine: usize) -> u64 {
        self.stores.retain(|(number, _)| *number != machine);
        let Some(other) = self.well(now, true) else { return now };
        let back_ms = self.between(300, 2_000);
        let trouble = Trouble::RetireThenWipe { machine, wiped: vec![other], back_ms };
        self.add(now, trouble, now + STEP_MS);
        self.occupy(other, now + STEP_MS + self.catch_up)
    }

    /// A core machine is kept from others for long, at times the one that holds the lease.
    fn isolate_core(&mut self, now: u64, machine: usize) -> u64 {
        let how = self.isolation();
        let for_ms = self.between(ISOLATED.0, ISOLATED.1);
        let over = now + for_ms;
        let target = if self.below(2) == 0 { Target::LeaseHolder } else { Target::Machine(machine) };
        self.add(now, Trouble::Isolate { target, how, for_ms }, over);
        let free = over + self.catch_up;
        self.keepers.iter_mut().for_each(|(_, until)| *until = free);
        free
    }

    fn trouble_core(&mut self, now: u64) -> u64 {
        let Some(machine) = self.well(now, false) else { return now };
        let kind = match self.below(16) {
            // While a replacement is planned, no keeper forgets of it.
            1 | 2 | 3 | 7 | 13 if now < self.planned => 0,
            kind => kind,
        };
        match kind {
            9 => self.isolate_core(now, machine),
            10 => self.short(now, machine, |for_ms| Trouble::StallDisk { machine, for_ms }, 4_000),
            11 => self.short(now, machine, |for_ms| Trouble::RefuseWrites { machine, for_ms }, 4_000),
            12 => self.short(now, machine, |_| Trouble::RefuseSync { machine }, 300),
            13 => {
                let back_ms = self.between(300, 2_000);
                let over = now + back_ms + 400;
                self.add(now, Trouble::KillCore { back_ms }, over);
                over + self.catch_up
            }
            14 => {
                let (target, how) = (Target::Machine(machine), self.isolation());
                self.short(now, machine, |for_ms| Trouble::Isolate { target, how, for_ms }, 6_000)
            }
            0 => self.short(now, machine, |for_ms| Trouble::Freeze { machine, for_ms }, 4_000),
            1 => self.short(now, machine, |back_ms| Trouble::Kill { machine, back_ms }, 4_000),
            2 => self.short(now, machine, |back_ms| Trouble::LosePower { machine, back_ms }, 4_000),
            3 | 4 if now >= self.planned => {
                self.short(now, machine, |back_ms| Trouble::LoseDisk { machine, back_ms }, 4_000)
            }
            5 => match self.well(now, false).filter(|other| *other != machine) {
                Some(other) => self.short(
                    now,
                    machine,
                    |for_ms| Trouble::Cut { from: machine, to: other, for_ms },
                    3_000,
                ),
                None => now,
            },
            7 => {
                let new = self.machine(Class::ControlNode, None, false);
                let starts_ms = self.between(500, 2_000);
                let over = now + starts_ms;
                self.add(now, Trouble::Replace { old: machine, new, starts_ms, ends_ms: 0 }, over);
                self.keepers.retain(|(number, _)| *number != machine);
                let free = over + 3_000 + self.catch_up;
                self.keepers.push((new, free));
                free
            }
            8 if self.keepers.len() < 2 * self.schedule.tolerance + 3 => {
                let new = self.machine(Class::ControlNode, None, false);
                self.add(now, Trouble::Add { machine: new }, now + 500);
                self.keepers.push((new, now + self.catch_up));
                now + self.catch_up
            }
            _ => self.short(now, machine, |for_ms| Trouble::CutOff { machine, for_ms }, 4_000),
        }
    }
}
