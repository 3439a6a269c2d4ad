//! Losses at a step of a membership change; the affected member is known only then.

use super::history::Disturbance;
use super::run::SystemRun;
use super::schedule::{MembershipStep, Victim};
use fleet_model::{ControlState, StorageNode};
use std::net::Ipv4Addr;
use std::rc::Rc;

/// Interval between two checks.
const CHECK_INTERVAL_MS: u64 = 5;
/// Time limit for the change to reach the step; without it nothing is lost.
pub const STEP_TIMEOUT_MS: u64 = 4_000;
/// Delay after a set is agreed, in which its members are being backfilled.
const BACKFILL_DELAY_MS: u64 = 40;
/// Delay after a set becomes current, in which the former one releases its data.
const RELEASED_AFTER_MS: u64 = 400;

/// The voters and the storage roster.
#[derive(Clone, Default)]
struct Members {
    state: Rc<ControlState>,
    voters: Vec<Ipv4Addr>,
}

impl Members {
    fn has_reached(&self, step: MembershipStep, before: &Members) -> bool {
        let (now, former) = (&self.state.roster, &before.state.roster);
        match step {
            MembershipStep::Agreed | MembershipStep::Filling => {
                now.next.is_some() && now.epoch > former.epoch
            }
            MembershipStep::Filled => !now.in_sync.is_empty() && now.epoch > former.epoch,
            MembershipStep::Current | MembershipStep::Released => {
                now.current != former.current && now.epoch > former.epoch
            }
            MembershipStep::VoterAdded => self.voters.iter().any(|voter| !before.voters.contains(voter)),
            MembershipStep::VoterRemoved => before.voters.iter().any(|voter| !self.voters.contains(voter)),
        }
    }

    fn victim(&self, step: MembershipStep, victim: Victim, before: &Members) -> Option<Ipv4Addr> {
        match step {
            MembershipStep::VoterAdded | MembershipStep::VoterRemoved => {
                chosen(victim, &before.voters, &self.voters, |voter| *voter)
            }
            _ => {
                let now = &self.state.roster;
                let mut after = now.next.clone().unwrap_or_else(|| now.current.clone());
                let mut former = before.state.roster.current.clone();
                let by_disk = |store: &StorageNode| store.disk;
                after.sort_by_key(by_disk);
                former.sort_by_key(by_disk);
                chosen(victim, &former, &after, |store| store.ip)
            }
        }
    }
}

/// Selects the victim from the members before and after a change, both sorted with the oldest first.
fn chosen<T: PartialEq>(
    victim: Victim,
    before: &[T],
    after: &[T],
    ip: impl Fn(&T) -> Ipv4Addr,
) -> Option<Ipv4Addr> {
    let found = match victim {
        Victim::Newcomer => after.iter().find(|member| !before.contains(member)),
        Victim::Leaver => before.iter().find(|member| !after.contains(member)),
        Victim::Source => before.iter().rev().find(|member| after.contains(member)),
        Victim::Oldest => before.iter().find(|member| after.contains(member)),
    };
    found.map(ip)
}

impl SystemRun {
    fn members(&self) -> Members {
        let control_nodes = self.control_nodes.borrow();
        let newest = control_nodes.values().max_by_key(|control_node| control_node.feed.value().ballot);
        newest.map_or_else(Members::default, |control_node| Members {
            state: control_node.feed.state(),
            voters: control_node.feed.value().voters.clone(),
        })
    }

    /// Waits for a step of the next membership change, then takes one member down.
    pub(super) async fn lose_at(
        self: Rc<Self>,
        step: MembershipStep,
        victim: Victim,
        wiped: bool,
        back_ms: u64,
    ) {
        let before = self.members();
        let until = self.cluster.elapsed_ms() + STEP_TIMEOUT_MS;
        while !self.members().has_reached(step, &before) {
            if self.cluster.elapsed_ms() > until {
                return;
            }
            self.sleep_ms(CHECK_INTERVAL_MS).await;
        }
        match step {
            MembershipStep::Filling => self.sleep_ms(BACKFILL_DELAY_MS).await,
            MembershipStep::Released => self.sleep_ms(RELEASED_AFTER_MS).await,
            _ => {}
        }
        let lost = self.members().victim(step, victim, &before);
        let machines = &self.schedule.machines;
        let machine = lost.and_then(|ip| machines.iter().position(|machine| machine.ip == ip));
        if let Some(machine) = machine {
            self.restart_machine(machine, true, wiped, back_ms);
        }
    }

    /// Retires a machine, removes it once that is completed, and at that moment wipes others' disks.
    pub(super) async fn retire_then_wipe(self: Rc<Self>, machine: usize, wiped: Vec<usize>, back_ms: u64) {
        self.retire(machine).await;
        self.retire_completed(machine).await;
        self.remove_machine(machine);
        for other in wiped {
            self.restart_machine(other, true, true, back_ms);
        }
    }

    /// Stalls or fills up a machine's disk; the machine counts as disturbed.
    pub(super) fn disturb_disk(&self, machine: usize, is_full: bool, for_ms: u64) {
        let until = self.cluster.executor.now() + for_ms * 1_000;
        for node in self.cluster.nodes_of(machine) {
            match is_full {
                true => self.cluster.disk_of(node).fill_up(until),
                false => self.cluster.disk_of(node).stall(until),
            }
        }
        let until = self.cluster.elapsed_ms() + for_ms;
        self.cluster.record(super::Fact::Disturbed { machine, how: Disturbance::Disk, until });
    }
}
