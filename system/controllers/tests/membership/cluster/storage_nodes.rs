//! Storage nodes of the cluster: joining and backfill.

use super::{
    BACKFILL_MS, BACKFILL_WITH_LOST_SOURCE_MS, Cluster, Event, Machine, STORAGE_STEP_INTERVAL_MS, disks,
};
use controllers::{complete_backfill, join, join_founder, proposed_nodes};
use fleet_model::{QuorumSizes, Roster, StorageNode};
use std::collections::BTreeSet;

impl Cluster {
    /// A random control node that would answer a storage node.
    pub(super) fn random_reachable_control_node(&mut self) -> Option<usize> {
        let now = self.now;
        let reachable: Vec<usize> = (0..self.control_nodes.len())
            .filter(|at| {
                let node = &self.control_nodes[*at];
                node.up && node.frozen_until <= now && !node.partitioned && self.reaches_majority(*at)
            })
            .collect();
        match reachable.len() as u64 {
            0 => None,
            count => Some(reachable[self.random_below(count) as usize]),
        }
    }

    pub(super) fn step_storage_node(&mut self, at: usize) {
        let now = self.now;
        let machine = &self.machines[at];
        if !machine.up || machine.frozen_until > now || machine.next > now {
            return;
        }
        self.machines[at].next = now + STORAGE_STEP_INTERVAL_MS;
        let Some(node) = self.random_reachable_control_node() else { return };
        if self.control_nodes[node].version > self.machines[at].version {
            self.machines[at].version = self.control_nodes[node].version;
            self.machines[at].roster = self.control_nodes[node].state.roster.clone();
        } else if self.machines[at].version == 0 {
            return;
        }
        let (me, roster) = (self.machines[at].store.clone(), self.machines[at].roster.clone());
        if !proposed_nodes(&roster).contains(&me) && !roster.retiring.contains(&me.name) {
            self.request_join(node, &me);
        }
        let next_set = disks(proposed_nodes(&roster));
        if !next_set.contains(&me.disk) {
            return;
        }
        if self.machines[at].in_sync_for.contains(&next_set) {
            if roster.next.is_some() && !roster.in_sync.contains(&me.disk) {
                self.history.push((now, Event::InSync(me.disk, roster.epoch)));
                let min_nodes = self.min_nodes();
                self.change(node, Vec::new(), |state| {
                    complete_backfill(state, Some(me.disk), roster.epoch, &[], min_nodes)
                });
            }
            return;
        }
        self.step_backfill(at, &roster, next_set);
    }

    /// Starts or completes the backfill of a node for `next_set`. It needs a covering number of nodes that are in sync.
    fn step_backfill(&mut self, at: usize, roster: &Roster, next_set: BTreeSet<u64>) {
        let now = self.now;
        let me = self.machines[at].store.disk;
        let current = disks(&roster.current);
        let is_source = |machine: &Machine| {
            machine.up
                && machine.frozen_until <= now
                && current.contains(&machine.store.disk)
                && machine.in_sync_for.contains(&current)
        };
        let sources =
            self.machines.iter().filter(|machine| machine.store.disk != me && is_source(machine)).count();
        let own = usize::from(current.contains(&me) && is_source(&self.machines[at]));
        let covering =
            QuorumSizes::for_machines(current.len(), self.tolerance).map_or(0, |sizes| sizes.covering);
        match self.machines[at].backfill {
            Some((epoch, done_at)) if epoch == roster.epoch => {
                if now < done_at {
                    return;
                }
                self.machines[at].backfill = None;
                if sources + own >= covering {
                    self.machines[at].in_sync_for.insert(next_set);
                    self.machines[at].next = now;
                }
            }
            _ => {
                let duration_ms =
                    if sources + own >= covering { BACKFILL_MS } else { BACKFILL_WITH_LOST_SOURCE_MS };
                self.machines[at].backfill = Some((roster.epoch, now + duration_ms));
            }
        }
    }

    pub(super) fn request_join(&mut self, at: usize, store: &StorageNode) {
        let (now, min_nodes) = (self.now, self.min_nodes());
        let node = &mut self.control_nodes[at];
        node.storage_controller.observe(now, &node.state.roster, min_nodes);
        node.storage_controller.record_response(now, store.disk);
        let join = if store.disk <= self.founders { join_founder } else { join };
        if node.storage_controller.admits(&node.state.roster, store)
            && join(&node.state, store, min_nodes).is_some()
        {
            // The node that it replaces counts as lost.
            let is_replaced = |other: &&StorageNode| other.name == store.name || other.ip == store.ip;
            let lost = proposed_nodes(&self.state.roster)
                .iter()
                .filter(is_replaced)
                .map(|other| other.disk)
                .collect();
            self.change(at, lost, |state| join(state, store, min_nodes));
        }
    }
}
