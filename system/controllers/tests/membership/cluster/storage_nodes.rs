//! Storage nodes of the cluster: joining and backfill.

use super::{
    BACKFILL_MS, BACKFILL_WITH_LOST_SOURCE_MS, Cluster, Event, Machine, STORAGE_STEP_INTERVAL_MS, disk_set,
};
use controllers::{complete_backfill, join, join_initial_node, proposed_nodes};
use fleet_model::{QuorumSizes, Roster, StorageNode};
use std::collections::BTreeSet;

impl Cluster {
    /// Index of a random control node that can serve a storage node: it is live, not partitioned, and reaches a majority.
    pub(super) fn random_reachable_control_node(&mut self) -> Option<usize> {
        let now = self.now;
        let reachable: Vec<usize> = (0..self.control_nodes.len())
            .filter(|index| {
                let node = &self.control_nodes[*index];
                node.up && node.frozen_until <= now && !node.partitioned && self.reaches_majority(*index)
            })
            .collect();
        match reachable.len() as u64 {
            0 => None,
            count => Some(reachable[self.random_below(count) as usize]),
        }
    }

    pub(super) fn step_storage_node(&mut self, index: usize) {
        let now = self.now;
        let machine = &self.machines[index];
        if !machine.up || machine.frozen_until > now || machine.next_step_at > now {
            return;
        }
        self.machines[index].next_step_at = now + STORAGE_STEP_INTERVAL_MS;
        let Some(control_index) = self.random_reachable_control_node() else { return };
        if self.control_nodes[control_index].version > self.machines[index].version {
            self.machines[index].version = self.control_nodes[control_index].version;
            self.machines[index].roster = self.control_nodes[control_index].state.roster.clone();
        } else if self.machines[index].version == 0 {
            return;
        }
        let (own_node, roster) = (self.machines[index].store.clone(), self.machines[index].roster.clone());
        if !proposed_nodes(&roster).contains(&own_node) && !roster.retiring.contains(&own_node.name) {
            self.request_join(control_index, &own_node);
        }
        let next_set = disk_set(proposed_nodes(&roster));
        if !next_set.contains(&own_node.disk) {
            return;
        }
        if self.machines[index].in_sync_for.contains(&next_set) {
            if roster.next.is_some() && !roster.in_sync.contains(&own_node.disk) {
                self.history.push((now, Event::ReportedInSync(own_node.disk, roster.epoch)));
                let min_nodes = self.min_nodes();
                self.change(control_index, Vec::new(), |state| {
                    complete_backfill(state, Some(own_node.disk), roster.epoch, &[], min_nodes)
                });
            }
            return;
        }
        self.step_backfill(index, &roster, next_set);
    }

    /// Starts or completes the backfill of a node for `next_set`. The sources have to be in sync and sufficient to cover all
    /// records.
    fn step_backfill(&mut self, index: usize, roster: &Roster, next_set: BTreeSet<u64>) {
        let now = self.now;
        let own_disk = self.machines[index].store.disk;
        let current = disk_set(&roster.current);
        let is_source = |machine: &Machine| {
            machine.up
                && machine.frozen_until <= now
                && current.contains(&machine.store.disk)
                && machine.in_sync_for.contains(&current)
        };
        let sources = self
            .machines
            .iter()
            .filter(|machine| machine.store.disk != own_disk && is_source(machine))
            .count();
        let own_count = usize::from(current.contains(&own_disk) && is_source(&self.machines[index]));
        let covering =
            QuorumSizes::for_machines(current.len(), self.tolerance).map_or(0, |sizes| sizes.covering);
        match self.machines[index].backfill {
            Some((epoch, completes_at)) if epoch == roster.epoch => {
                if now < completes_at {
                    return;
                }
                self.machines[index].backfill = None;
                if sources + own_count >= covering {
                    self.machines[index].in_sync_for.insert(next_set);
                    self.machines[index].next_step_at = now;
                }
            }
            _ => {
                let duration_ms =
                    if sources + own_count >= covering { BACKFILL_MS } else { BACKFILL_WITH_LOST_SOURCE_MS };
                self.machines[index].backfill = Some((roster.epoch, now + duration_ms));
            }
        }
    }

    pub(super) fn request_join(&mut self, index: usize, store: &StorageNode) {
        let (now, min_nodes) = (self.now, self.min_nodes());
        let node = &mut self.control_nodes[index];
        node.storage_controller.observe(now, &node.state.roster, min_nodes);
        node.storage_controller.record_response(now, store.disk);
        let join = if store.disk <= self.last_initial_disk { join_initial_node } else { join };
        if node.storage_controller.may_join(&node.state.roster, store)
            && join(&node.state, store, min_nodes).is_some()
        {
            // The disk of the replaced node counts as waived for the committed roster.
            let is_replaced = |other: &&StorageNode| other.name == store.name || other.ip == store.ip;
            let waived = proposed_nodes(&self.state.roster)
                .iter()
                .filter(is_replaced)
                .map(|other| other.disk)
                .collect();
            self.change(index, waived, |state| join(state, store, min_nodes));
        }
    }
}
