//! Random schedules: faults that a fleet of a given tolerance has to bear.

use super::{
    Class, FIRST_FAULT_MS, Fault, FaultKind, ISOLATIONS, Isolation, LAST_FAULT_DELAY_MS, MembershipStep,
    Schedule, Target, Victim, ZONES,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const EDGES: usize = 3;
/// No fault begins after this time.
const FAULTS_UNTIL_MS: u64 = 16_000;
/// Usual duration of a burst of changes.
const BURST_MS: u64 = 3_000;
/// Minimum and maximum isolation of a control node.
const ISOLATION_MS: (u64, u64) = (12_000, 22_000);
/// Duration of a membership change with a loss during it.
const STEP_MS: u64 = 7_000;
/// After its return a machine counts as lost for this long, with a fault tolerance of one.
const CATCH_UP_MS: u64 = 4_100;
/// The same with a fault tolerance of two: see the schedules of `controllers`.
const CATCH_UP_OF_TWO_MS: u64 = 5_000;

struct ScheduleGenerator {
    rng: ChaCha8Rng,
    schedule: Schedule,
    catch_up_ms: u64,
    /// Index of each control node, and until when a fault affects it.
    control_nodes: Vec<(usize, u64)>,
    stores: Vec<(usize, u64)>,
    faults_end: u64,
}

impl Schedule {
    /// Generates the schedule of a seed.
    pub fn draw(seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5ced);
        let tolerance = if seed.is_multiple_of(4) { 2 } else { 1 };
        let schedule = Self { seed, tolerance, machines: Vec::new(), faults: Vec::new(), calm_ms: 0 };
        let mut generator = ScheduleGenerator {
            rng,
            schedule,
            catch_up_ms: if tolerance == 2 { CATCH_UP_OF_TWO_MS } else { CATCH_UP_MS },
            control_nodes: Vec::new(),
            stores: Vec::new(),
            faults_end: 0,
        };
        generator.generate();
        generator.schedule
    }
}

impl ScheduleGenerator {
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

    fn add(&mut self, at_ms: u64, kind: FaultKind, faults_end: u64) {
        self.schedule.faults.push(Fault { at_ms, kind });
        self.faults_end = self.faults_end.max(faults_end);
    }

    fn generate(&mut self) {
        let tolerance = self.schedule.tolerance;
        for _ in 0..2 * tolerance + 1 {
            let number = self.machine(Class::ControlNode, None, true);
            self.control_nodes.push((number, 0));
        }
        let stores = 2 * tolerance as u64 + 1 + self.below(3);
        for _ in 0..stores {
            let number = self.machine(Class::Store, None, true);
            self.stores.push((number, 0));
        }
        let edges: Vec<usize> = (0..EDGES).map(|_| self.machine(Class::Agent, None, true)).collect();
        let mut slots = vec![FIRST_FAULT_MS; tolerance];
        let mut now = FIRST_FAULT_MS;
        while now < FAULTS_UNTIL_MS {
            if self.below(9) == 0 {
                self.schedule_edge_fault(now, &edges);
            }
            if self.below(60) == 0 {
                let for_ms = self.between(500, 3_000);
                let of_thousand = self.between(5, 40);
                self.add(now, FaultKind::LoseMessages { of_thousand, for_ms }, now + for_ms);
            }
            self.schedule_operator_fault(now);
            if let Some(slot) = slots.iter().position(|free| *free <= now) {
                slots[slot] = match self.below(12) {
                    0..3 => self.schedule_store_fault(now),
                    3 | 4 => self.schedule_core_fault(now),
                    _ => now,
                };
            }
            now += 200;
        }
        let free = slots.into_iter().max().unwrap_or(now).max(self.faults_end).max(now);
        let kind = self.below(6);
        if kind < 4 {
            let back_ms = self.between(300, 2_000);
            let mut disks = Vec::new();
            if kind > 1 {
                let count = self.between(1, tolerance as u64);
                for _ in 0..count {
                    let counted: Vec<usize> =
                        self.control_nodes.iter().chain(&self.stores).map(|(number, _)| *number).collect();
                    let chosen = counted[self.below(counted.len() as u64) as usize];
                    if !disks.contains(&chosen) {
                        disks.push(chosen);
                    }
                }
            }
            let faults_end = free + LAST_FAULT_DELAY_MS + back_ms + 400;
            self.add(free, FaultKind::All { power: kind > 0, disks, back_ms }, faults_end);
        }
        self.schedule.faults.sort_by_key(|fault| fault.at_ms);
        self.schedule.calm_ms = self.faults_end.max(free) + 100;
    }

    fn schedule_operator_fault(&mut self, now: u64) {
        match self.below(160) {
            0 | 1 => {
                let (of_thousand, for_ms) = (self.between(50, 500), self.between(500, 4_000));
                self.add(now, FaultKind::LoseAnswers { of_thousand, for_ms }, now + for_ms);
            }
            2 => {
                let orders = self.between(20, 200);
                self.add(now, FaultKind::Burst { orders }, now + BURST_MS);
            }
            _ => {}
        }
    }

    fn schedule_edge_fault(&mut self, now: u64, edges: &[usize]) {
        let machine = edges[self.below(edges.len() as u64) as usize];
        let for_ms = self.between(200, 3_000);
        let counted: Vec<usize> =
            self.control_nodes.iter().chain(&self.stores).map(|(number, _)| *number).collect();
        let other = counted[self.below(counted.len() as u64) as usize];
        let kind = match self.below(9) {
            7 | 8 => {
                let for_ms = self.between(2_000, 7_000);
                self.add(now, FaultKind::Mislead { machine, for_ms }, now + for_ms);
                return;
            }
            0 => FaultKind::Freeze { machine, for_ms },
            1 => FaultKind::Kill { machine, back_ms: for_ms },
            2 => FaultKind::KillProxy { machine, back_ms: for_ms },
            3 => FaultKind::LosePower { machine, back_ms: for_ms },
            4 => FaultKind::CutOff { machine, for_ms },
            5 => FaultKind::Cut { from: machine, to: other, for_ms },
            _ => FaultKind::Cut { from: other, to: machine, for_ms },
        };
        self.add(now, kind, now + for_ms);
    }

    /// A random control or storage node that no fault affects.
    fn pick_healthy(&mut self, now: u64, stores: bool) -> Option<usize> {
        let all = if stores { &self.stores } else { &self.control_nodes };
        let healthy: Vec<usize> =
            all.iter().filter(|(_, until)| *until <= now).map(|(number, _)| *number).collect();
        match healthy.len() {
            0 => None,
            count => Some(healthy[self.below(count as u64) as usize]),
        }
    }

    fn mark_busy(&mut self, machine: usize, until: u64) -> u64 {
        let all = self.control_nodes.iter_mut().chain(&mut self.stores);
        all.filter(|(number, _)| *number == machine).for_each(|(_, at)| *at = until);
        until
    }

    fn schedule_short(
        &mut self,
        now: u64,
        machine: usize,
        kind: impl Fn(u64) -> FaultKind,
        max_ms: u64,
    ) -> u64 {
        let for_ms = self.between(300, max_ms);
        self.add(now, kind(for_ms), now + for_ms);
        self.mark_busy(machine, now + for_ms + self.catch_up_ms)
    }

    /// Schedules a fault of a storage node; returns when its slot is free again.
    fn schedule_store_fault(&mut self, now: u64) -> u64 {
        let Some(machine) = self.pick_healthy(now, true) else { return now };
        let name = self.schedule.machines[machine].name.clone();
        match self.below(17) {
            11 => self.schedule_short(now, machine, |for_ms| FaultKind::StallDisk { machine, for_ms }, 4_000),
            12 => {
                self.schedule_short(now, machine, |for_ms| FaultKind::RefuseWrites { machine, for_ms }, 4_000)
            }
            13 => self.schedule_short(now, machine, |_| FaultKind::RefuseSync { machine }, 300),
            14 => {
                let (target, how) = (Target::Machine(machine), self.isolation());
                self.schedule_short(now, machine, |for_ms| FaultKind::Isolate { target, how, for_ms }, 6_000)
            }
            15 => self.lose_at_step(now),
            16 if self.has_surplus_store(now) => self.retire_then_wipe(now, machine),
            0 => self.schedule_short(now, machine, |for_ms| FaultKind::Freeze { machine, for_ms }, 4_000),
            1 => self.schedule_short(now, machine, |back_ms| FaultKind::Kill { machine, back_ms }, 2_000),
            2 => {
                self.schedule_short(now, machine, |back_ms| FaultKind::LosePower { machine, back_ms }, 2_000)
            }
            3 => self.schedule_short(now, machine, |back_ms| FaultKind::Damage { machine, back_ms }, 2_000),
            4 | 5 => {
                self.schedule_short(now, machine, |back_ms| FaultKind::LoseDisk { machine, back_ms }, 2_000)
            }
            6 => self.schedule_short(now, machine, |for_ms| FaultKind::CutOff { machine, for_ms }, 4_000),
            7 => match self.pick_healthy(now, true).filter(|other| *other != machine) {
                Some(other) => self.schedule_short(
                    now,
                    machine,
                    |for_ms| FaultKind::Cut { from: machine, to: other, for_ms },
                    3_000,
                ),
                None => now,
            },
            8 => {
                // Replaces a machine that is lost, or one whose removal is planned.
                let is_planned = self.below(2) == 0;
                let name = if self.below(2) == 0 { Some(name) } else { None };
                let new = self.machine(Class::Store, name, false);
                let (starts_ms, ends_ms) = match is_planned {
                    true => (0, self.between(4_000, 6_000)),
                    false => (self.between(1_000, 2_000), 0),
                };
                let faults_end = now + starts_ms.max(ends_ms);
                self.add(now, FaultKind::Replace { old: machine, new, starts_ms, ends_ms }, faults_end);
                self.stores.retain(|(number, _)| *number != machine);
                let free = faults_end + self.catch_up_ms + if is_planned { 2_000 } else { 0 };
                self.stores.push((new, free));
                free
            }
            9 => {
                let new = self.machine(Class::Store, None, false);
                self.add(now, FaultKind::Add { machine: new }, now + 500);
                self.stores.push((new, now + self.catch_up_ms));
                now + 500
            }
            // An operator retires no machine that is needed once the lost ones have been removed.
            _ if !self.has_surplus_store(now) => now,
            _ => {
                self.add(now, FaultKind::Retire { machine }, now + 1_000);
                self.stores.retain(|(number, _)| *number != machine);
                now + self.catch_up_ms
            }
        }
    }

    fn has_surplus_store(&self, now: u64) -> bool {
        let healthy = self.stores.iter().filter(|(_, until)| *until <= now).count();
        healthy > 2 * self.schedule.tolerance + 1
    }

    fn isolation(&mut self) -> Isolation {
        ISOLATIONS[self.below(ISOLATIONS.len() as u64) as usize]
    }

    /// A storage node joins, and one is lost at some step of that change.
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
        self.add(now, FaultKind::LossAtStep { step, victim, wiped, back_ms }, now + STEP_MS);
        self.add(now + 50, FaultKind::Add { machine: new }, now + STEP_MS);
        let free = now + STEP_MS + self.catch_up_ms;
        // The victim is not known yet.
        self.stores.iter_mut().for_each(|(_, until)| *until = free);
        self.stores.push((new, free));
        free
    }

    /// A storage node is retired and removed, and at that moment another one loses its disk.
    fn retire_then_wipe(&mut self, now: u64, machine: usize) -> u64 {
        self.stores.retain(|(number, _)| *number != machine);
        let Some(other) = self.pick_healthy(now, true) else { return now };
        let back_ms = self.between(300, 2_000);
        let kind = FaultKind::RetireThenWipe { machine, wiped: vec![other], back_ms };
        self.add(now, kind, now + STEP_MS);
        self.mark_busy(other, now + STEP_MS + self.catch_up_ms)
    }

    /// A control node, sometimes the lease holder, is isolated for long.
    fn isolate_core(&mut self, now: u64, machine: usize) -> u64 {
        let how = self.isolation();
        let for_ms = self.between(ISOLATION_MS.0, ISOLATION_MS.1);
        let faults_end = now + for_ms;
        let target = if self.below(2) == 0 { Target::LeaseHolder } else { Target::Machine(machine) };
        self.add(now, FaultKind::Isolate { target, how, for_ms }, faults_end);
        let free = faults_end + self.catch_up_ms;
        self.control_nodes.iter_mut().for_each(|(_, until)| *until = free);
        free
    }

    fn schedule_core_fault(&mut self, now: u64) -> u64 {
        let Some(machine) = self.pick_healthy(now, false) else { return now };
        match self.below(16) {
            9 => self.isolate_core(now, machine),
            10 => self.schedule_short(now, machine, |for_ms| FaultKind::StallDisk { machine, for_ms }, 4_000),
            11 => {
                self.schedule_short(now, machine, |for_ms| FaultKind::RefuseWrites { machine, for_ms }, 4_000)
            }
            12 => self.schedule_short(now, machine, |_| FaultKind::RefuseSync { machine }, 300),
            13 => {
                let back_ms = self.between(300, 2_000);
                let faults_end = now + back_ms + 400;
                self.add(now, FaultKind::KillCore { back_ms }, faults_end);
                faults_end + self.catch_up_ms
            }
            14 => {
                let (target, how) = (Target::Machine(machine), self.isolation());
                self.schedule_short(now, machine, |for_ms| FaultKind::Isolate { target, how, for_ms }, 6_000)
            }
            0 => self.schedule_short(now, machine, |for_ms| FaultKind::Freeze { machine, for_ms }, 4_000),
            1 => self.schedule_short(now, machine, |back_ms| FaultKind::Kill { machine, back_ms }, 4_000),
            2 => {
                self.schedule_short(now, machine, |back_ms| FaultKind::LosePower { machine, back_ms }, 4_000)
            }
            3 | 4 => {
                self.schedule_short(now, machine, |back_ms| FaultKind::LoseDisk { machine, back_ms }, 4_000)
            }
            5 => match self.pick_healthy(now, false).filter(|other| *other != machine) {
                Some(other) => self.schedule_short(
                    now,
                    machine,
                    |for_ms| FaultKind::Cut { from: machine, to: other, for_ms },
                    3_000,
                ),
                None => now,
            },
            7 => {
                let new = self.machine(Class::ControlNode, None, false);
                let starts_ms = self.between(500, 2_000);
                let faults_end = now + starts_ms;
                self.add(now, FaultKind::Replace { old: machine, new, starts_ms, ends_ms: 0 }, faults_end);
                self.control_nodes.retain(|(number, _)| *number != machine);
                let free = faults_end + 3_000 + self.catch_up_ms;
                self.control_nodes.push((new, free));
                free
            }
            8 if self.control_nodes.len() < 2 * self.schedule.tolerance + 3 => {
                let new = self.machine(Class::ControlNode, None, false);
                self.add(now, FaultKind::Add { machine: new }, now + 500);
                self.control_nodes.push((new, now + self.catch_up_ms));
                now + self.catch_up_ms
            }
            _ => self.schedule_short(now, machine, |for_ms| FaultKind::CutOff { machine, for_ms }, 4_000),
        }
    }
}
