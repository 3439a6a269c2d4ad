//! When a cluster has converged, and what must hold for the records that clients were promised.

use crate::cluster::{Cluster, Machine, Mutation, disks};
use fleet_model::{Answer, Call, QuorumSizes, StorageNode, account_replicas};
use std::collections::{BTreeMap, BTreeSet};
use turn_store::is_surely_absent;

impl Cluster {
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
    pub(crate) fn is_complete(&self) -> bool {
        let up =
            |store: &StorageNode| self.machines.iter().any(|machine| machine.up && machine.store == *store);
        self.is_settled() && self.roster().current.iter().all(up)
    }

    /// Whether nothing more will happen by itself.
    pub(crate) fn is_at_rest(&self) -> bool {
        self.is_settled() && (self.is_complete() || self.serves_without_some())
    }

    /// Whether no more can be given up, and the rest is enough to serve.
    pub(crate) fn serves_without_some(&self) -> bool {
        let roster = self.roster();
        let up =
            |store: &&StorageNode| self.machines.iter().any(|machine| machine.up && machine.store == **store);
        let unresponsive = roster.current.len() - roster.current.iter().filter(up).count();
        let sizes = QuorumSizes::for_machines(roster.current.len(), self.tolerance);
        roster.current.len() <= self.min_nodes()
            && sizes.is_some_and(|sizes| unresponsive <= sizes.losses_served())
    }

    /// What was hurt counts no more once all copies stand.
    pub(crate) fn clear_faults_if_complete(&mut self) {
        if !self.is_complete() {
            return;
        }
        if let Some(since) = self.short_since.take() {
            self.longest_short = self.longest_short.max(self.now - since);
        }
        self.impaired.clear();
        self.check_copies();
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
            if self.disks_with_turn(&attempt).is_disjoint(&members) {
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
    pub(crate) fn disks_with_turn(&mut self, attempt: &str) -> BTreeSet<u64> {
        let has_it = |machine: &mut Machine| {
            let epoch = machine.state.epoch();
            let call = Call::ReadChain { epoch, attempt: attempt.to_owned() };
            matches!(machine.answer(&call), Answer::Chain { .. }).then_some(machine.store.disk)
        };
        self.machines.iter_mut().filter_map(has_it).collect()
    }

    /// Where nothing is under way and everyone is there, each record is on as many machines as it should be.
    pub(crate) fn check_copies(&mut self) {
        let roster = self.roster().clone();
        let Some(sizes) = QuorumSizes::for_machines(roster.current.len(), self.tolerance) else { return };
        let members = disks(&roster.current);
        for attempt in self.turns.clone() {
            let count = self.disks_with_turn(&attempt).intersection(&members).count();
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
