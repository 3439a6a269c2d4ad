//! Invariants of a cluster's history.

use super::{Cluster, Event, MAX_STATE_AGE_MS, disk_set};
use controllers::{proposed_nodes, times};
use fleet_model::{ListVersion, QuorumSizes, Roster, StorageNode};
use std::collections::{BTreeMap, BTreeSet};

impl Cluster {
    /// Whether no change is in progress and the current set contains all live nodes that are not retired, no retired node and,
    /// unless it has the minimum size, no other node.
    pub(crate) fn is_settled(&self) -> bool {
        let roster = self.roster();
        let retired = |store: &StorageNode| roster.retiring.contains(&store.name);
        let live: BTreeSet<u64> = self
            .machines
            .iter()
            .filter(|machine| machine.up && !retired(&machine.store))
            .map(|machine| machine.store.disk)
            .collect();
        let current = disk_set(&roster.current);
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
                Event::ReportedInSync(disk, epoch) => drop(in_sync.insert((*disk, *epoch))),
                Event::ListPublished(version, polled_at) => {
                    if published.insert(*version, *polled_at).is_some() {
                        violations.push(format!("{at}: two lists under the version {version:?}"));
                    }
                }
                Event::ShrunkBelowMinimum(remaining, removed) => {
                    // The controller's last response may be up to one probe interval older than the node's fault.
                    let is_early = |unresponsive_ms: u64| {
                        unresponsive_ms + 2 * times::PROBE_INTERVAL_MS < times::STORAGE_TIMEOUT_MS
                    };
                    if *remaining <= self.tolerance
                        || removed.iter().any(|(_, unresponsive_ms)| is_early(*unresponsive_ms))
                    {
                        violations.push(format!(
                            "{at}: only {remaining} nodes remain after the removal of {removed:?}"
                        ));
                    }
                }
                Event::RosterCommitted(roster, waived) => {
                    violations.extend(self.roster_violations(*at, &last, roster, waived, &in_sync));
                    for store in roster.current.iter().chain(roster.next.iter().flatten()) {
                        if retired.contains(&store.name) {
                            violations.push(format!("{at}: {} was retired and has rejoined", store.name));
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
        // A list of a later version may have been polled earlier by at most the maximum age of a control node's state.
        let mut newest = 0;
        for (version, polled_at) in published {
            if polled_at + MAX_STATE_AGE_MS < newest {
                violations.push(format!(
                    "the list {version:?} was polled {} ms before a list of an earlier version",
                    newest - polled_at
                ));
            }
            newest = newest.max(polled_at);
        }
        violations
    }

    /// Violations by one change of the roster. The epoch has to increase, and only the next set may become current, once its
    /// disks are in sync or, within the tolerance, waived.
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
            violations
                .push(format!("{at}: the roster changed under epoch {}, which is not higher", roster.epoch));
        }
        if roster.current != last.current {
            if last.next.as_ref() != Some(&roster.current) {
                violations.push(format!("{at}: the current set was not the next one"));
            }
            let not_in_sync: Vec<u64> = disk_set(&roster.current)
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
