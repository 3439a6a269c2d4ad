//! Injection of the schedule's faults.

use super::SystemRun;
use crate::system::history::{Disturbance, Fact};
use crate::system::schedule::{Class, Fault, FaultKind, Isolation, LAST_FAULT_DELAY_MS, Target};
use std::rc::Rc;
/// A processor quota is granted anew in each period of this length.
const QUOTA_PERIOD_MS: u64 = 100;

impl SystemRun {
    pub(in crate::system) fn record_disturbance(&self, machine: usize, for_ms: u64) {
        let until = self.cluster.elapsed_ms() + for_ms;
        self.cluster.record(Fact::Disturbed { machine, how: Disturbance::Lost, until });
    }

    /// Stops a machine's processes and restarts them after `back_ms`.
    pub(in crate::system) fn restart_machine(
        self: &Rc<Self>,
        machine: usize,
        power: bool,
        wiped: bool,
        back_ms: u64,
    ) {
        self.record_disturbance(machine, back_ms);
        self.end(machine, power);
        if wiped {
            self.cluster.nodes_of(machine).into_iter().for_each(|node| self.cluster.wipe(node));
        }
        self.run_after(back_ms, move |run| run.start_and_watch(machine));
    }

    /// Starts a machine, again or for the first time, and measures its catch-up.
    pub(in crate::system) fn start_and_watch(self: &Rc<Self>, machine: usize) {
        self.start(machine);
        self.watch_return(machine);
    }

    pub(in crate::system) fn freeze(self: &Rc<Self>, machine: usize, for_ms: u64) {
        self.record_disturbance(machine, for_ms);
        for node in self.cluster.nodes_of(machine) {
            if let Some(process) = self.cluster.freeze(node) {
                self.run_after(for_ms, move |run| run.cluster.executor.thaw(process));
            }
        }
    }

    /// Lets a machine's processes run for `run_ms` of each quota period, from the next one on.
    pub(in crate::system) fn throttle(self: &Rc<Self>, machine: usize, run_ms: u64, for_ms: u64) {
        let until = self.cluster.elapsed_ms() + for_ms;
        let run = self.clone();
        self.spawn(async move {
            while run.cluster.elapsed_ms() < until {
                let into_period = run.cluster.elapsed_ms() % QUOTA_PERIOD_MS;
                if into_period < run_ms {
                    run.sleep_ms(run_ms - into_period).await;
                    continue;
                }
                let frozen: Vec<_> = run
                    .cluster
                    .nodes_of(machine)
                    .into_iter()
                    .filter_map(|node| run.cluster.freeze(node))
                    .collect();
                run.sleep_ms(QUOTA_PERIOD_MS - into_period).await;
                frozen.into_iter().for_each(|process| run.cluster.executor.thaw(process));
            }
        });
    }

    /// Makes each sync of a machine's disk take `sync_ms` longer.
    fn slow_disk(&self, machine: usize, sync_ms: u64, for_ms: u64) {
        let until = self.cluster.elapsed_ms() + for_ms;
        self.cluster.record(Fact::Disturbed { machine, how: Disturbance::Disk, until });
        let until_us = self.cluster.executor.now() + for_ms * 1_000;
        for node in self.cluster.nodes_of(machine) {
            self.cluster.disk_of(node).slow_down(sync_ms, until_us);
        }
    }

    pub(in crate::system) fn inject(self: &Rc<Self>, fault: Fault) {
        self.cluster.record(Fact::Fault(fault.to_string()));
        let count = self.schedule.machines.len();
        match fault.kind {
            FaultKind::Freeze { machine, for_ms } => self.freeze(machine, for_ms),
            FaultKind::Throttle { machines, run_ms, for_ms } => {
                machines.into_iter().for_each(|machine| self.throttle(machine, run_ms, for_ms));
            }
            FaultKind::Kill { machine, back_ms } => self.restart_machine(machine, false, false, back_ms),
            FaultKind::KillProxy { machine, back_ms } => {
                let Some(proxy) = self.cluster.nodes_of(machine).pop() else { return };
                self.record_disturbance(machine, back_ms);
                self.end_process(proxy, false);
                self.run_after(back_ms, move |run| run.start(machine));
            }
            FaultKind::LosePower { machine, back_ms } => self.restart_machine(machine, true, false, back_ms),
            FaultKind::Damage { machine, back_ms } => {
                self.restart_machine(machine, true, false, back_ms);
                for node in self.cluster.nodes_of(machine) {
                    self.cluster.disk_of(node).damage(self.cluster.random_below(1 << 20));
                }
            }
            FaultKind::LoseDisk { machine, back_ms } => self.restart_machine(machine, true, true, back_ms),
            FaultKind::Cut { from, to, for_ms } => self.cluster.cut(from, to, for_ms),
            FaultKind::CutOff { machine, for_ms } => {
                for other in (0..count).filter(|other| *other != machine) {
                    self.cluster.cut(machine, other, for_ms);
                    self.cluster.cut(other, machine, for_ms);
                }
            }
            FaultKind::Mislead { machine, for_ms } => {
                let speaks = |other: &usize| self.schedule.machines[*other].class != Class::Store;
                for other in (0..count).filter(|other| *other != machine).filter(speaks) {
                    self.cluster.cut(other, machine, for_ms);
                }
            }
            FaultKind::LoseMessages { of_thousand, for_ms } => {
                self.cluster.lose_messages(for_ms, of_thousand)
            }
            FaultKind::Replace { old, new, starts_ms, ends_ms } => {
                self.run_after(starts_ms, move |run| run.start_and_watch(new));
                self.run_after(ends_ms, move |run| run.remove_machine(old));
            }
            FaultKind::Add { machine } => self.start_and_watch(machine),
            FaultKind::Retire { machine } => {
                self.retired.borrow_mut().push(machine);
                let run = self.clone();
                self.spawn(async move { run.retire(machine).await });
            }
            FaultKind::Isolate { target, how, for_ms } => self.isolate(target, how, for_ms),
            FaultKind::LoseAnswers { of_thousand, for_ms } => self.cluster.lose_answers(for_ms, of_thousand),
            FaultKind::SlowDisk { machine, sync_ms, for_ms } => self.slow_disk(machine, sync_ms, for_ms),
            FaultKind::StallDisk { machine, for_ms } => self.disturb_disk(machine, false, for_ms),
            FaultKind::RefuseWrites { machine, for_ms } => self.disturb_disk(machine, true, for_ms),
            FaultKind::RefuseSync { machine } => {
                let nodes = self.cluster.nodes_of(machine);
                nodes.into_iter().for_each(|node| self.cluster.disk_of(node).refuse_sync());
            }
            FaultKind::Burst { orders } => self.spawn(self.clone().burst(orders)),
            FaultKind::KillCore { back_ms } => {
                for machine in self.machines_of(Class::ControlNode) {
                    if self.is_up(machine) {
                        self.restart_machine(machine, false, false, back_ms + self.cluster.random_below(300));
                    }
                }
            }
            FaultKind::LossAtStep { step, victim, wiped, back_ms } => {
                self.spawn(self.clone().lose_at(step, victim, wiped, back_ms));
            }
            FaultKind::RetireThenWipe { machine, wiped, back_ms } => {
                self.retired.borrow_mut().push(machine);
                self.spawn(self.clone().retire_then_wipe(machine, wiped, back_ms));
            }
            FaultKind::All { power, disks, back_ms } => {
                *self.last_fault.borrow_mut() = Some((power, disks, back_ms));
                self.run_after(LAST_FAULT_DELAY_MS, |run| run.inject_last_fault());
            }
        }
    }

    /// Isolates a machine. If it is a control node, operators send it changes meanwhile, and one at the moment of its return.
    pub(in crate::system) fn isolate(self: &Rc<Self>, target: Target, how: Isolation, for_ms: u64) {
        let machine = match target {
            Target::Machine(machine) => Some(machine),
            Target::LeaseHolder => self.lease_holder(),
        };
        let Some(machine) = machine else { return };
        self.cluster.record(Fact::Isolated { machine, until: self.cluster.elapsed_ms() + for_ms });
        self.run_after(for_ms, move |run| run.watch_return(machine));
        let everybody: Vec<usize> = (0..self.schedule.machines.len()).collect();
        let core = self.machines_of(Class::ControlNode);
        match how {
            Isolation::Cut => self.cut_paths(machine, &everybody, true, true, for_ms),
            Isolation::CutIncoming => self.cut_paths(machine, &everybody, true, false, for_ms),
            Isolation::CutOutgoing => self.cut_paths(machine, &everybody, false, true, for_ms),
            Isolation::PeersCut => self.cut_paths(machine, &core, true, true, for_ms),
            Isolation::PeersCutIncoming => self.cut_paths(machine, &core, true, false, for_ms),
            Isolation::PeersCutOutgoing => self.cut_paths(machine, &core, false, true, for_ms),
            Isolation::Frozen => self.freeze(machine, for_ms),
            Isolation::Slow => self.cluster.slow_down(machine, for_ms),
        }
        if self.schedule.machines[machine].class == Class::ControlNode {
            for node in self.cluster.nodes_of(machine) {
                self.spawn(self.clone().send_during_isolation(node, for_ms));
                self.spawn(self.clone().send_on_return(node, for_ms));
            }
        }
    }

    pub(in crate::system) fn cut_paths(
        &self,
        machine: usize,
        others: &[usize],
        incoming: bool,
        outgoing: bool,
        for_ms: u64,
    ) {
        for other in others.iter().filter(|other| **other != machine) {
            if incoming {
                self.cluster.cut(*other, machine, for_ms);
            }
            if outgoing {
                self.cluster.cut(machine, *other, for_ms);
            }
        }
    }

    /// Injects the last fault unless that has already happened.
    pub(in crate::system) fn inject_last_fault(self: &Rc<Self>) {
        let Some((power, disks, back_ms)) = self.last_fault.borrow_mut().take() else { return };
        self.cluster.record(Fact::Fault("all go down".to_owned()));
        for machine in 0..self.schedule.machines.len() {
            if self.is_up(machine) {
                let delay_ms = back_ms + self.cluster.random_below(300);
                let wiped = disks.contains(&machine);
                self.restart_machine(machine, power || wiped, wiped, delay_ms);
            }
        }
    }
}
