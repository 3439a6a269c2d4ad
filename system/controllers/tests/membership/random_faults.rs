//! Random trouble, never more machines of a class at once than the fleet bears.

use crate::cluster::Fleet;
use controllers::RetireVerdict;
use googletest::prelude::*;

/// A machine counts as lost until so long after its return, where one may be lost at once.
const CATCH_UP: u64 = 4_000;
/// The same where two may be: the second's return begins the filling for the first anew, and with four seconds about four
/// of a thousand such schedules end with more machines lost than the fleet bears.
const CATCH_UP_OF_TWO: u64 = 5_000;
/// By then after the last trouble the roster is as the machines are.
const SETTLED: u64 = 20_000;
const SCHEDULES: u64 = 2_500;

enum Return {
    Same(u64),
    Empty(String, u8),
    End(u64),
    Restart(usize),
    Join(usize),
}

struct Trouble {
    fleet: Fleet,
    told: Vec<String>,
    returns: Vec<(u64, Return)>,
    /// When each of those that may be lost at once is free again.
    slots: Vec<u64>,
    /// Until when a planned replacement is under way: a keeper that restarts meanwhile does not know of it.
    planned: u64,
    names: u8,
    catch_up: u64,
    hurt: Vec<u64>,
}

impl Trouble {
    fn new(seed: u64) -> Self {
        let tolerance = if seed.is_multiple_of(3) { 2 } else { 1 };
        let machines = (2 * tolerance + 1 + (seed as usize / 3) % 3) as u8;
        let fleet = Fleet::new(seed, tolerance, 2 * tolerance as u8 + 1, machines);
        Self {
            fleet,
            told: Vec::new(),
            returns: Vec::new(),
            slots: vec![0; tolerance],
            planned: 0,
            names: 20,
            catch_up: if tolerance == 2 { CATCH_UP_OF_TWO } else { CATCH_UP },
            hurt: Vec::new(),
        }
    }

    fn tell(&mut self, what: String) {
        self.told.push(format!("{}: {what}", self.fleet.now));
    }

    fn new_name(&mut self) -> (String, u8) {
        self.names += 1;
        (format!("s{}", self.names), self.names)
    }

    /// Live machines that are no one's trouble now.
    fn well(&self) -> Vec<u64> {
        let roster = self.fleet.roster();
        roster
            .current
            .iter()
            .filter(|store| !roster.retiring.contains(&store.name))
            .map(|store| store.disk)
            .filter(|disk| !self.hurt.contains(disk))
            .filter(|disk| {
                self.fleet.machines.iter().any(|machine| machine.store.disk == *disk && machine.up)
            })
            .collect()
    }

    fn some_machine(&mut self) -> Option<u64> {
        let well = self.well();
        match well.len() as u64 {
            0 => None,
            count => Some(well[self.fleet.draw(count) as usize]),
        }
    }

    fn step(&mut self) {
        let now = self.fleet.now;
        let due: Vec<Return> = {
            let (due, later) = std::mem::take(&mut self.returns).into_iter().partition(|(at, _)| *at <= now);
            self.returns = later;
            due.into_iter().map(|(_, back)| back).collect()
        };
        for back in due {
            match back {
                Return::Same(disk) => self.fleet.come_back(disk),
                Return::Empty(name, ip) => drop(self.fleet.start(&name, ip)),
                Return::End(disk) => self.fleet.stop(disk),
                Return::Restart(at) => self.fleet.restart_keeper(at),
                Return::Join(at) => self.fleet.keepers[at].cut = false,
            }
        }
        if let Some(slot) = self.slots.iter().position(|free| *free <= now) {
            self.slots[slot] = match self.fleet.draw(25) {
                0..3 => self.trouble_storage(),
                3 => self.trouble_core(),
                _ => now,
            };
        }
    }

    fn trouble_storage(&mut self) -> u64 {
        let now = self.fleet.now;
        let Some(disk) = self.some_machine() else { return now };
        let store = self.fleet.machine(disk).store.clone();
        let back = now + 300 + self.fleet.draw(1_700);
        let ip = store.ip.octets()[3];
        let kind = self.fleet.draw(8);
        if kind != 6 && kind != 7 {
            self.hurt.push(disk);
        }
        let told =
            ["freezes", "is killed", "is wiped", "is replaced", "is replaced by name", "is to be replaced"];
        if let Some(told) = told.get(kind as usize) {
            self.tell(format!("{} (disk {disk}) {told}, back at {back}", store.name));
        }
        match kind {
            0 => {
                let for_ms = 500 + self.fleet.draw(3_500);
                self.fleet.freeze(disk, for_ms);
                self.hurt.retain(|other| *other != disk);
                return now + for_ms + self.catch_up;
            }
            1 => {
                self.fleet.stop(disk);
                self.returns.push((back, Return::Same(disk)));
                self.hurt.retain(|other| *other != disk);
            }
            2 => {
                self.fleet.stop(disk);
                self.returns.push((back, Return::Empty(store.name, ip)));
            }
            3 => {
                self.fleet.stop(disk);
                let (name, ip) = self.new_name();
                let back = now + 1_000 + self.fleet.draw(1_000);
                self.returns.push((back, Return::Empty(name, ip)));
                return back + self.catch_up;
            }
            4 => {
                self.fleet.stop(disk);
                let (_, ip) = self.new_name();
                self.returns.push((back, Return::Empty(store.name, ip)));
            }
            5 => {
                let (name, ip) = self.new_name();
                let name = if self.fleet.draw(2) == 0 { name } else { store.name };
                self.fleet.start(&name, ip);
                let ends = now + 4_000 + self.fleet.draw(2_000);
                self.returns.push((ends, Return::End(disk)));
                self.planned = self.planned.max(ends + self.catch_up);
                return ends + self.catch_up + 2_000;
            }
            6 => {
                let (name, ip) = self.new_name();
                self.fleet.start(&name, ip);
                self.tell(format!("{name} joins"));
                return now + 500;
            }
            // An operator retires none of those that are needed once the lost ones have left.
            _ if self.well().len() <= self.fleet.least() => return now,
            _ => {
                let verdict = self.fleet.retire(&store.name);
                self.tell(format!("{} is to retire: {verdict:?}", store.name));
                return if verdict == RetireVerdict::Active { now + self.catch_up } else { now };
            }
        }
        back + self.catch_up
    }

    fn trouble_core(&mut self) -> u64 {
        let now = self.fleet.now;
        let count = self.fleet.keepers.len() as u64;
        let at = match self.fleet.holder() {
            Some(holder) if self.fleet.draw(2) == 0 => holder,
            _ => self.fleet.draw(count) as usize,
        };
        if !self.fleet.keepers[at].up || self.fleet.keepers[at].cut {
            return now;
        }
        let for_ms = 500 + self.fleet.draw(3_500);
        let kind = match self.fleet.draw(3) {
            1 if now < self.planned => 0,
            kind => kind,
        };
        self.tell(format!("keeper {at} {} for {for_ms}", ["freezes", "dies", "is cut off"][kind as usize]));
        match kind {
            0 => self.fleet.freeze_keeper(at, for_ms),
            1 => {
                self.fleet.keepers[at].up = false;
                self.returns.push((now + for_ms, Return::Restart(at)));
            }
            _ => {
                self.fleet.keepers[at].cut = true;
                self.returns.push((now + for_ms, Return::Join(at)));
            }
        }
        now + for_ms + self.catch_up
    }

    fn play(&mut self, for_ms: u64) {
        let until = self.fleet.now + for_ms;
        while self.fleet.now < until {
            self.step();
            self.fleet.run(200);
        }
        while !self.returns.is_empty() {
            let now = self.fleet.now;
            // What has begun comes to its end; nothing new begins.
            self.slots.iter_mut().for_each(|free| *free = now + 100_000);
            self.step();
            self.fleet.run(200);
        }
    }
}

#[gtest]
fn the_roster_keeps_its_rules_and_settles_under_random_trouble() {
    let mut changes = 0;
    for seed in 0..SCHEDULES {
        let mut trouble = Trouble::new(seed);
        trouble.play(25_000);
        let took = trouble.fleet.run_until(SETTLED, Fleet::is_settled);
        let broken = trouble.fleet.broken();
        let holder = trouble.fleet.holder().is_some_and(|at| trouble.fleet.keepers[at].up);
        changes += trouble.fleet.history.len();
        if took.is_none() || !broken.is_empty() || !holder {
            let rosters: Vec<String> = trouble
                .fleet
                .history
                .iter()
                .filter_map(|(at, event)| match event {
                    crate::cluster::Event::Roster(roster, waived) => Some(format!(
                        "{at}: {} {:?} -> {:?} filled {:?} waived {waived:?}",
                        roster.epoch,
                        roster.current.iter().map(|store| (&store.name, store.disk)).collect::<Vec<_>>(),
                        roster
                            .next
                            .as_ref()
                            .map(|next| next.iter().map(|store| store.disk).collect::<Vec<_>>()),
                        roster.in_sync,
                    )),
                    _ => None,
                })
                .collect();
            panic!(
                "seed {seed}, settled {took:?}, held {holder}, broken {broken:#?}\n{}\n{}\nretiring {:?}",
                trouble.told.join("\n"),
                rosters.join("\n"),
                trouble.fleet.roster().retiring,
            );
        }
    }
    // Trouble that changes nothing would show nothing.
    expect_that!(changes as u64, gt(SCHEDULES * 20));
}
