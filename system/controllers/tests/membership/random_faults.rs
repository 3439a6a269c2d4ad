//! Random faults of control and storage nodes, never more at once than the cluster tolerates.

use crate::cluster::Cluster;
use controllers::RetireVerdict;
use googletest::prelude::*;

/// Time in milliseconds for which a node still counts as lost after its return, if the cluster tolerates one loss.
const CATCH_UP_MS: u64 = 4_000;
/// As [`CATCH_UP_MS`], if the cluster tolerates two losses. The return of the second node restarts the backfill of the first:
/// with four seconds, about four of a thousand such schedules ended with more nodes lost than the cluster tolerates.
const CATCH_UP_WITH_TWO_LOSSES_MS: u64 = 5_000;
/// Time in milliseconds after the last fault by which the roster has to match the live nodes.
const SETTLE_TIMEOUT_MS: u64 = 20_000;
const SCHEDULES: u64 = 2_500;

/// The action that ends a fault. Machines are given by their disk, control nodes by their index.
enum Recovery {
    Restart(u64),
    StartEmpty(String, u8),
    Stop(u64),
    RestartControlNode(usize),
    HealPartition(usize),
}

struct FaultInjector {
    cluster: Cluster,
    log: Vec<String>,
    recoveries: Vec<(u64, Recovery)>,
    /// For each of the faults that may be active concurrently, when the next one may start.
    slots: Vec<u64>,
    last_name: u8,
    catch_up_ms: u64,
    /// Disks that were lost or replaced: no further fault is injected into their machines.
    lost_disks: Vec<u64>,
}

impl FaultInjector {
    fn new(seed: u64) -> Self {
        let tolerance = if seed.is_multiple_of(3) { 2 } else { 1 };
        let machines = (2 * tolerance + 1 + (seed as usize / 3) % 3) as u8;
        let cluster = Cluster::new(seed, tolerance, 2 * tolerance as u8 + 1, machines);
        Self {
            cluster,
            log: Vec::new(),
            recoveries: Vec::new(),
            slots: vec![0; tolerance],
            last_name: 20,
            catch_up_ms: if tolerance == 2 { CATCH_UP_WITH_TWO_LOSSES_MS } else { CATCH_UP_MS },
            lost_disks: Vec::new(),
        }
    }

    fn log(&mut self, message: String) {
        self.log.push(format!("{}: {message}", self.cluster.now));
    }

    fn new_name(&mut self) -> (String, u8) {
        self.last_name += 1;
        (format!("s{}", self.last_name), self.last_name)
    }

    /// Disks of the current nodes that are live, not lost and not being retired.
    fn healthy_disks(&self) -> Vec<u64> {
        let roster = self.cluster.roster();
        roster
            .current
            .iter()
            .filter(|store| !roster.retiring.contains(&store.name))
            .map(|store| store.disk)
            .filter(|disk| !self.lost_disks.contains(disk))
            .filter(|disk| {
                self.cluster.machines.iter().any(|machine| machine.store.disk == *disk && machine.up)
            })
            .collect()
    }

    fn random_healthy_disk(&mut self) -> Option<u64> {
        let healthy = self.healthy_disks();
        match healthy.len() as u64 {
            0 => None,
            count => Some(healthy[self.cluster.random_below(count) as usize]),
        }
    }

    fn step(&mut self) {
        let now = self.cluster.now;
        let due: Vec<Recovery> = {
            let (due, later) =
                std::mem::take(&mut self.recoveries).into_iter().partition(|(due_at, _)| *due_at <= now);
            self.recoveries = later;
            due.into_iter().map(|(_, recovery)| recovery).collect()
        };
        for recovery in due {
            match recovery {
                Recovery::Restart(disk) => self.cluster.restart(disk),
                Recovery::StartEmpty(name, ip) => drop(self.cluster.start(&name, ip)),
                Recovery::Stop(disk) => self.cluster.stop(disk),
                Recovery::RestartControlNode(index) => self.cluster.restart_control_node(index),
                Recovery::HealPartition(index) => self.cluster.control_nodes[index].partitioned = false,
            }
        }
        if let Some(slot) = self.slots.iter().position(|free_at| *free_at <= now) {
            self.slots[slot] = match self.cluster.random_below(25) {
                0..3 => self.inject_storage_fault(),
                3 => self.inject_control_fault(),
                _ => now,
            };
        }
    }

    fn inject_storage_fault(&mut self) -> u64 {
        let now = self.cluster.now;
        let Some(disk) = self.random_healthy_disk() else { return now };
        let store = self.cluster.machine(disk).store.clone();
        let returns_at = now + 300 + self.cluster.random_below(1_700);
        let ip = store.ip.octets()[3];
        let kind = self.cluster.random_below(8);
        if kind != 6 && kind != 7 {
            self.lost_disks.push(disk);
        }
        let descriptions =
            ["freezes", "is killed", "is wiped", "is replaced", "is replaced by name", "is to be replaced"];
        if let Some(description) = descriptions.get(kind as usize) {
            self.log(format!("{} (disk {disk}) {description}, returns at {returns_at}", store.name));
        }
        match kind {
            0 => {
                let duration_ms = 500 + self.cluster.random_below(3_500);
                self.cluster.freeze(disk, duration_ms);
                self.lost_disks.retain(|other| *other != disk);
                return now + duration_ms + self.catch_up_ms;
            }
            1 => {
                self.cluster.stop(disk);
                self.recoveries.push((returns_at, Recovery::Restart(disk)));
                self.lost_disks.retain(|other| *other != disk);
            }
            2 => {
                self.cluster.stop(disk);
                self.recoveries.push((returns_at, Recovery::StartEmpty(store.name, ip)));
            }
            3 => {
                self.cluster.stop(disk);
                let (name, ip) = self.new_name();
                let returns_at = now + 1_000 + self.cluster.random_below(1_000);
                self.recoveries.push((returns_at, Recovery::StartEmpty(name, ip)));
                return returns_at + self.catch_up_ms;
            }
            4 => {
                self.cluster.stop(disk);
                let (_, ip) = self.new_name();
                self.recoveries.push((returns_at, Recovery::StartEmpty(store.name, ip)));
            }
            5 => {
                return self.start_planned_replacement(disk, store.name);
            }
            6 => {
                let (name, ip) = self.new_name();
                self.cluster.start(&name, ip);
                self.log(format!("{name} joins"));
                return now + 500;
            }
            // An operator does not retire a node that is needed once the lost nodes have been removed.
            _ if self.healthy_disks().len() <= self.cluster.min_nodes() => return now,
            _ => {
                let verdict = self.cluster.retire(&store.name);
                self.log(format!("retirement of {}: {verdict:?}", store.name));
                return if verdict == RetireVerdict::Active { now + self.catch_up_ms } else { now };
            }
        }
        returns_at + self.catch_up_ms
    }

    /// Starts a new node and, some seconds later, stops the node that it replaces. Returns when the next fault may start.
    fn start_planned_replacement(&mut self, disk: u64, replaced_name: String) -> u64 {
        let now = self.cluster.now;
        let (name, ip) = self.new_name();
        let name = if self.cluster.random_below(2) == 0 { name } else { replaced_name };
        self.cluster.start(&name, ip);
        let stops_at = now + 4_000 + self.cluster.random_below(2_000);
        self.recoveries.push((stops_at, Recovery::Stop(disk)));
        stops_at + self.catch_up_ms + 2_000
    }

    fn inject_control_fault(&mut self) -> u64 {
        let now = self.cluster.now;
        let count = self.cluster.control_nodes.len() as u64;
        let index = match self.cluster.lease_holder() {
            Some(holder) if self.cluster.random_below(2) == 0 => holder,
            _ => self.cluster.random_below(count) as usize,
        };
        if !self.cluster.control_nodes[index].up || self.cluster.control_nodes[index].partitioned {
            return now;
        }
        let duration_ms = 500 + self.cluster.random_below(3_500);
        let kind = self.cluster.random_below(3);
        self.log(format!(
            "control node {index} {} for {duration_ms} ms",
            ["freezes", "stops", "is partitioned"][kind as usize]
        ));
        match kind {
            0 => self.cluster.freeze_control_node(index, duration_ms),
            1 => {
                self.cluster.control_nodes[index].up = false;
                self.recoveries.push((now + duration_ms, Recovery::RestartControlNode(index)));
            }
            _ => {
                self.cluster.control_nodes[index].partitioned = true;
                self.recoveries.push((now + duration_ms, Recovery::HealPartition(index)));
            }
        }
        now + duration_ms + self.catch_up_ms
    }

    fn run(&mut self, duration_ms: u64) {
        let until = self.cluster.now + duration_ms;
        while self.cluster.now < until {
            self.step();
            self.cluster.run(200);
        }
        while !self.recoveries.is_empty() {
            let now = self.cluster.now;
            // Active faults end, and no new fault starts.
            self.slots.iter_mut().for_each(|free_at| *free_at = now + 100_000);
            self.step();
            self.cluster.run(200);
        }
    }
}

#[gtest]
fn the_invariants_hold_and_the_roster_settles_under_random_faults() {
    let mut changes = 0;
    for seed in 0..SCHEDULES {
        let mut injector = FaultInjector::new(seed);
        injector.run(25_000);
        let elapsed = injector.cluster.run_until(SETTLE_TIMEOUT_MS, Cluster::is_settled);
        let violations = injector.cluster.violations();
        let has_live_holder =
            injector.cluster.lease_holder().is_some_and(|index| injector.cluster.control_nodes[index].up);
        changes += injector.cluster.history.len();
        if elapsed.is_none() || !violations.is_empty() || !has_live_holder {
            let rosters: Vec<String> = injector
                .cluster
                .history
                .iter()
                .filter_map(|(now, event)| match event {
                    crate::cluster::Event::RosterCommitted(roster, waived) => Some(format!(
                        "{now}: {} {:?} -> {:?} in sync {:?} waived {waived:?}",
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
                "seed {seed}, settled {elapsed:?}, live lease holder {has_live_holder}, violations {violations:#?}\n{}\n{}\nretiring {:?}",
                injector.log.join("\n"),
                rosters.join("\n"),
                injector.cluster.roster().retiring,
            );
        }
    }
    // The faults have to cause changes, or the invariants would hold trivially.
    expect_that!(changes as u64, gt(SCHEDULES * 20));
}
