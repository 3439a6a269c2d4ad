//! What the history of a cluster has to satisfy.

use super::{Cluster, Event, MAX_STATE_AGE_MS, disks};
use controllers::{proposed_nodes, times};
use fleet_model::{ListVersion, QuorumSizes, Roster, StorageNode};
use std::collections::{BTreeMap, BTreeSet};

impl Cluster {
    /// Whether the roster consists of all live nodes that are not retired, in sync, and of no others as far as enough remain.
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
            && (live == current || current.len() == self.min_nodes())
            && roster.current.iter().all(|store| !retired(store))
    }

    /// The invariants that the history violates.
    pub(crate) fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        let mut in_sync: BTreeSet<(u64, u64)> = BTreeSet::new();
        let mut published: BTreeMap<ListVersion, u64> = BTreeMap::new();
        let mut retired: BTreeSet<String> = BTreeSet::new();
        let mut last = Roster::default();
        for (at, event) in &self.history {
            match event {
                Event::InSync(disk, epoch) => drop(in_sync.insert((*disk, *epoch))),
                Event::List(version, read) => {
                    if published.insert(*version, *read).is_some() {
                        violations.push(format!("{at}: two lists under the version {version:?}"));
                    }
                }
                Event::ShrunkBelowMinimum(left, out) => {
                    // The controller may have received a response up to one probe before the node froze, not later.
                    let is_early = |unresponsive: u64| {
                        unresponsive + 2 * times::PROBE_INTERVAL_MS < times::STORAGE_TIMEOUT_MS
                    };
                    if *left <= self.tolerance || out.iter().any(|(_, unresponsive)| is_early(*unresponsive))
                    {
                        violations.push(format!("{at}: only {left} nodes are left, without {out:?}"));
                    }
                }
                Event::Roster(roster, waived) => {
                    violations.extend(self.roster_violations(*at, &last, roster, waived, &in_sync));
                    for store in roster.current.iter().chain(roster.next.iter().flatten()) {
                        if retired.contains(&store.name) {
                            violations.push(format!("{at}: {} was retired and is back", store.name));
                        }
                    }
                    let is_member = |name: &String| {
                        roster.current.iter().chain(proposed_nodes(roster)).any(|store| store.name == *name)
                    };
                    retired.extend(roster.retiring.iter().filter(|name| !is_member(name)).cloned());
                    last = roster.clone();
                }
            }
        }
        // A list of a later version is older by at most the age that a control node's state may have.
        let mut newest = 0;
        for (version, read) in published {
            if read + MAX_STATE_AGE_MS < newest {
                violations.push(format!(
                    "the list {version:?} was read {} ms before an earlier one",
                    newest - read
                ));
            }
            newest = newest.max(read);
        }
        violations
    }

    /// Violations of one change of the roster: the epoch increases, and a set becomes current only after `next` and once its
    /// disks are in sync or waived within the tolerance.
    fn roster_violations(
        &self,
        at: u64,
        last: &Roster,
        roster: &Roster,
        waived: &[u64],
        in_sync: &BTreeSet<(u64, u64)>,
    ) -> Vec<String> {
        let mut violations = Vec::new();
        let sets = |roster: &Roster| (roster.current.clone(), roster.next.clone());
        if sets(last) != sets(roster) && roster.epoch <= last.epoch {
            violations.push(format!("{at}: another roster under epoch {}", roster.epoch));
        }
        if roster.current != last.current {
            if last.next.as_ref() != Some(&roster.current) {
                violations.push(format!("{at}: the current set was not the next one"));
            }
            let not_in_sync: Vec<u64> = disks(&roster.current)
                .into_iter()
                .filter(|disk| !in_sync.contains(&(*disk, last.epoch)))
                .collect();
            let survived = QuorumSizes::for_machines(roster.current.len(), self.tolerance)
                .map_or(0, |sizes| sizes.losses_survived());
            if not_in_sync.len() > survived || not_in_sync.iter().any(|disk| !waived.contains(disk)) {
                violations
                    .push(format!("{at}: {not_in_sync:?} are current but not in sync, waived {waived:?}"));
            }
        }
        violations
    }
}
