//! Storage nodes of the cluster: joining and backfill.

use super::{Event, FILLING, Fleet, Machine, SOURCE_GONE, TOLD, disks};
use controllers::{complete_backfill, join, proposed_nodes};
use fleet_model::{QuorumSizes, StorageNode};

impl Fleet {
    /// A keeper that a storage machine would get an answer from.
    pub(super) fn some_keeper(&mut self) -> Option<usize> {
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

    pub(super) fn store(&mut self, at: usize) {
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

    pub(super) fn ask_to_join(&mut self, at: usize, store: &StorageNode) {
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
}
