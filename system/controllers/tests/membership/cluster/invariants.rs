//! What the history of a cluster has to satisfy.

use super::{Event, FRESH, Fleet, disks};
use controllers::{proposed_nodes, times};
use fleet_model::{ListVersion, QuorumSizes, Roster, StorageNode};
use std::collections::{BTreeMap, BTreeSet};

impl Fleet {
    /// Whether the roster is as the machines are: all live ones that are not retired, full, and nobody else as far as
    /// enough are left.
    pub(crate) fn is_settled(&self) -> bool {
        let roster = self.roster();
        let retired = |store: &StorageNode| roster.retiring.contains(&store.name);
        let live: BTreeSet<u64> = self
            .machines
            .iter()
            .filter(|machine| machine.up && !retired(&machine.store))
            .map(|machine| machine.store.disk)
            .collect();
        let current = disks(&roster.current);
        roster.next.is_none()
            && live.is_subset(&current)
            && (live == current || current.len() == self.least())
            && roster.current.iter().all(|store| !retired(store))
    }

    /// The rules that the history has to keep. What it does not keep is told.
    pub(crate) fn broken(&self) -> Vec<String> {
        let mut broken = Vec::new();
        let mut filled: BTreeSet<(u64, u64)> = BTreeSet::new();
        let mut stamps: BTreeMap<ListVersion, u64> = BTreeMap::new();
        let mut out: BTreeSet<String> = BTreeSet::new();
        let mut last = Roster::default();
        for (at, event) in &self.history {
            match event {
                Event::Filled(disk, epoch) => drop(filled.insert((*disk, *epoch))),
                Event::List(stamp, read) => {
                    if stamps.insert(*stamp, *read).is_some() {
                        broken.push(format!("{at}: two lists with the stamp {stamp:?}"));
                    }
                }
                Event::Shrunk(left, out) => {
                    // The watch may have heard from a machine a look before it fell silent, not later.
                    let early =
                        |silent: u64| silent + 2 * times::PROBE_INTERVAL_MS < times::STORAGE_TIMEOUT_MS;
                    if *left <= self.tolerance || out.iter().any(|(_, silent)| early(*silent)) {
                        broken.push(format!("{at}: only {left} are left, without {out:?}"));
                    }
                }
                Event::Roster(roster, waived) => {
                    let sets = |roster: &Roster| (roster.current.clone(), roster.next.clone());
                    if sets(&last) != sets(roster) && roster.epoch <= last.epoch {
                        broken.push(format!("{at}: another roster under the epoch {}", roster.epoch));
                    }
                    if roster.current != last.current {
                        if last.next.as_ref() != Some(&roster.current) {
                            broken.push(format!("{at}: what counts was not the next set"));
                        }
                        let unfilled: Vec<u64> = disks(&roster.current)
                            .into_iter()
                            .filter(|disk| !filled.contains(&(*disk, last.epoch)))
                            .collect();
                        let survived = QuorumSizes::for_machines(roster.current.len(), self.tolerance)
                            .map_or(0, |sizes| sizes.losses_survived());
                        if unfilled.len() > survived || unfilled.iter().any(|disk| !waived.contains(disk)) {
                            broken.push(format!(
                                "{at}: {unfilled:?} count and are not full, waived {waived:?}"
                            ));
                        }
                    }
                    for store in roster.current.iter().chain(roster.next.iter().flatten()) {
                        if out.contains(&store.name) {
                            broken.push(format!("{at}: {} was out and is back", store.name));
                        }
                    }
                    let counts = |name: &String| {
                        roster.current.iter().chain(proposed_nodes(roster)).any(|store| store.name == *name)
                    };
                    out.extend(roster.retiring.iter().filter(|name| !counts(name)).cloned());
                    last = roster.clone();
                }
            }
        }
        // Whoever has a list of a later stamp has not gone back by more than a keeper may be behind.
        let mut newest = 0;
        for (stamp, read) in stamps {
            if read + FRESH < newest {
                broken
                    .push(format!("the list {stamp:?} was read {} ms before an earlier one", newest - read));
            }
            newest = newest.max(read);
        }
        broken
    }
}
