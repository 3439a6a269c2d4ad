//! Failure detection of the storage nodes, and the changes of the roster that follow from it.

use crate::loss_tolerance::{LossTolerance, min_storage_nodes};
use crate::roster::{proposed_nodes, remove_node};
use crate::roster_step::RosterStep;
use crate::times::{
    BACKFILL_MEMBER_TIMEOUT_MS, BLOCKING_STORAGE_TIMEOUT_MS, BOOTSTRAP_WAIT_MS, MAX_BACKFILL_PROTECTED_MS,
    MAX_PROBE_GAP_MS, MIN_BACKFILL_PROTECTED_MS, MIN_MISSED_PROBES, PROBE_INTERVAL_MS,
    PROBE_RETRY_INTERVAL_MS, REPLACED_STORAGE_TIMEOUT_MS, REPLACEMENT_WINDOW_MS,
    STORAGE_TIMEOUT_AFTER_START_MS, STORAGE_TIMEOUT_MS,
};
use crate::turnover;
use fleet_model::{ControlState, QuorumSizes, Roster, StorageNode};
use std::collections::BTreeMap;

/// Results of the probes of one storage node.
#[derive(Clone, Copy, Debug)]
struct ProbeRecord {
    last_response_ms: u64,
    /// Number of probes missed since the last response.
    missed: u32,
}

impl ProbeRecord {
    const fn responded(now_ms: u64) -> Self {
        Self { last_response_ms: now_ms, missed: 0 }
    }
}

/// An epoch of the roster and when this node first observed it.
#[derive(Clone, Copy, Debug, Default)]
struct ObservedEpoch {
    epoch: u64,
    since_ms: u64,
}

/// One control node's view of the storage nodes: which are unresponsive, and which joined recently.
///
/// Every control node probes the storage nodes, so that a new lease holder does not start without probe results.
#[derive(Clone, Debug, Default)]
pub struct StorageController {
    last_probe_round_ms: Option<u64>,
    /// Probe results by disk.
    probes: BTreeMap<u64, ProbeRecord>,
    first_observed_ms: Option<u64>,
    /// When each machine was first observed in the roster's turnover.
    turnover_since_ms: BTreeMap<String, u64>,
    epoch: ObservedEpoch,
    /// When the roster was first observed with as many nodes as the tolerance needs; 0 if it had them when this control node
    /// first observed it.
    bootstrapped_ms: Option<u64>,
    /// When nodes that wait for the bootstrap were first observed.
    bootstrap_wait_since_ms: Option<u64>,
    /// The loss tolerance returned last by [`loss_tolerance_change`](Self::loss_tolerance_change).
    reported_tolerance: Option<LossTolerance>,
}

impl StorageController {
    /// Records the current roster of a fleet whose loss tolerance needs `min_nodes` nodes. An empty roster is ignored.
    pub fn observe(&mut self, now_ms: u64, roster: &Roster, min_nodes: usize) {
        if roster.epoch == 0 {
            return;
        }
        if roster.epoch != self.epoch.epoch {
            self.epoch = ObservedEpoch { epoch: roster.epoch, since_ms: now_ms };
        }
        if roster.current.is_empty() {
            self.bootstrap_wait_since_ms.get_or_insert(now_ms);
        }
        let is_first = self.first_observed_ms.is_none();
        self.first_observed_ms.get_or_insert(now_ms);
        if roster.current.len() >= min_nodes {
            self.bootstrapped_ms.get_or_insert(if is_first { 0 } else { now_ms });
        }
        self.turnover_since_ms
            .retain(|name, _| turnover::machines(&roster.turnover).any(|other| other == name));
        for name in turnover::machines(&roster.turnover) {
            self.turnover_since_ms.entry(name.clone()).or_insert(now_ms);
        }
        let members = proposed_nodes(roster);
        let is_member = |disk: u64| members.iter().chain(&roster.current).any(|store| store.disk == disk);
        self.probes.retain(|disk, _| is_member(*disk));
        for store in members.iter().chain(&roster.current) {
            // The timeouts of a new node run from now, as if it had just responded.
            self.probes.entry(store.disk).or_insert(ProbeRecord::responded(now_ms));
        }
    }

    /// The losses that the roster currently tolerates, if they have changed since the last call. The first call compares with
    /// the full `tolerance`, so full tolerance is reported only after a reduced one.
    pub fn loss_tolerance_change(&mut self, roster: &Roster, tolerance: usize) -> Option<LossTolerance> {
        if roster.epoch == 0 {
            return None;
        }
        let tolerated = LossTolerance::from_roster(roster, tolerance);
        let before = self
            .reported_tolerance
            .replace(tolerated)
            .unwrap_or(LossTolerance { losses_served: tolerance, losses_survived: tolerance });
        (tolerated != before).then_some(tolerated)
    }

    /// Whether a node that requests to join may do so. Of two live machines with the same name, the member stays until it
    /// misses a probe; otherwise the two would replace each other for as long as both run.
    pub fn may_join(&self, roster: &Roster, store: &StorageNode) -> bool {
        let is_rival = |other: &&StorageNode| {
            other.name == store.name && other.ip != store.ip && other.disk != store.disk
        };
        let is_responsive = |disk: u64| self.probes.get(&disk).is_none_or(|probes| probes.missed == 0);
        !proposed_nodes(roster).iter().filter(is_rival).any(|other| is_responsive(other.disk))
    }

    /// Records a probe response or an announcement of the node with this disk.
    pub fn record_response(&mut self, now_ms: u64, disk: u64) {
        self.probes.insert(disk, ProbeRecord::responded(now_ms));
    }

    /// Records that the node with this disk did not respond to a probe.
    pub fn record_missed_probe(&mut self, disk: u64) {
        if let Some(probes) = self.probes.get_mut(&disk) {
            probes.missed = probes.missed.saturating_add(1);
        }
    }

    /// Whether it is time for another probe round, in which the nodes of the current and the proposed set are probed.
    pub fn is_probe_due(&self, now_ms: u64) -> bool {
        let has_missed = self.probes.values().any(|probes| probes.missed > 0);
        let interval = if has_missed { PROBE_RETRY_INTERVAL_MS } else { PROBE_INTERVAL_MS };
        self.last_probe_round_ms.is_none_or(|last| now_ms.saturating_sub(last) >= interval)
    }

    /// Records the start of a probe round. After a gap of more than [`MAX_PROBE_GAP_MS`] the counts of missed probes are reset,
    /// since this control node may have been suspended.
    pub fn begin_probe_round(&mut self, now_ms: u64) {
        if self.has_probe_gap(now_ms) {
            self.probes.values_mut().for_each(|probes| *probes = ProbeRecord::responded(now_ms));
        }
        self.last_probe_round_ms = Some(now_ms);
    }

    fn has_probe_gap(&self, now_ms: u64) -> bool {
        self.last_probe_round_ms.is_none_or(|last| now_ms.saturating_sub(last) > MAX_PROBE_GAP_MS)
    }

    /// Time in milliseconds since the node's last response; 0 if it has missed fewer than [`MIN_MISSED_PROBES`] probes.
    fn unresponsive_ms(&self, now_ms: u64, store: &StorageNode) -> u64 {
        let probes = self.probes.get(&store.disk).filter(|probes| probes.missed >= MIN_MISSED_PROBES);
        probes.map_or(0, |probes| now_ms.saturating_sub(probes.last_response_ms))
    }

    /// Time in milliseconds after which an unresponsive node is removed.
    fn removal_timeout_ms(&self, now_ms: u64, roster: &Roster) -> u64 {
        let started_recently = self.bootstrapped_ms == Some(0)
            && self
                .first_observed_ms
                .is_some_and(|first_ms| now_ms.saturating_sub(first_ms) < REPLACEMENT_WINDOW_MS);
        match roster.turnover.joined.iter().any(|name| self.is_recent(now_ms, name)) {
            true => REPLACED_STORAGE_TIMEOUT_MS,
            false if started_recently => STORAGE_TIMEOUT_AFTER_START_MS,
            false => STORAGE_TIMEOUT_MS,
        }
    }

    /// Whether a machine of the turnover may still replace another one, or be replaced.
    fn is_recent(&self, now_ms: u64, name: &str) -> bool {
        let since_ms = self.turnover_since_ms.get(name);
        since_ms.is_none_or(|since_ms| now_ms.saturating_sub(*since_ms) < REPLACEMENT_WINDOW_MS)
    }

    /// Machines whose turnover is too old for them to replace another machine or to be replaced.
    fn expired_turnover(&self, now_ms: u64, roster: &Roster) -> Vec<String> {
        turnover::machines(&roster.turnover).filter(|name| !self.is_recent(now_ms, name)).cloned().collect()
    }

    /// The change to make after a probe round; `tolerance` is the number of concurrent losses to tolerate.
    pub fn step(&self, now_ms: u64, state: &ControlState, tolerance: usize) -> RosterStep {
        let step = self.membership_step(now_ms, state, tolerance);
        if step != RosterStep::NoChange || self.has_probe_gap(now_ms) {
            return step;
        }
        match self.expired_turnover(now_ms, &state.roster) {
            expired if expired.is_empty() => RosterStep::NoChange,
            expired => RosterStep::ForgetTurnover(expired),
        }
    }

    fn membership_step(&self, now_ms: u64, state: &ControlState, tolerance: usize) -> RosterStep {
        let roster = &state.roster;
        if self.has_probe_gap(now_ms) {
            return RosterStep::NoChange;
        }
        if roster.current.is_empty() {
            return self.bootstrap_step(now_ms, roster);
        }
        // Completing the backfill takes precedence: removing a node would restart it.
        if let Some(next) = &roster.next {
            let waived: Vec<u64> = next
                .iter()
                .filter(|store| self.unresponsive_ms(now_ms, store) > BACKFILL_MEMBER_TIMEOUT_MS)
                .map(|store| store.disk)
                .collect();
            let is_ready =
                |store: &StorageNode| roster.in_sync.contains(&store.disk) || waived.contains(&store.disk);
            let max_waived =
                QuorumSizes::for_machines(next.len(), tolerance).map_or(0, |sizes| sizes.losses_survived());
            if waived.len() <= max_waived && next.iter().all(is_ready) {
                return RosterStep::WaiveBackfill(waived);
            }
            let age_ms = now_ms.saturating_sub(self.epoch.since_ms);
            if self.epoch.epoch == roster.epoch
                && (MIN_BACKFILL_PROTECTED_MS..MAX_BACKFILL_PROTECTED_MS).contains(&age_ms)
            {
                return RosterStep::NoChange;
            }
        }
        match self.is_blocked(now_ms, roster, tolerance) {
            true => self.removal_step(now_ms, state, BLOCKING_STORAGE_TIMEOUT_MS, 1),
            false => self.unblocked_removal_step(now_ms, state, tolerance),
        }
    }

    /// Removes an unresponsive node: sooner while at least [`min_storage_nodes`] remain, and only after [`STORAGE_TIMEOUT_MS`]
    /// while at least `tolerance + 1` remain.
    ///
    /// `tolerance + 1` nodes still preserve every record through `tolerance` losses. If a permanently lost node were kept in
    /// the roster instead, the next loss could block the fleet permanently.
    fn unblocked_removal_step(&self, now_ms: u64, state: &ControlState, tolerance: usize) -> RosterStep {
        let timeout_ms = self.removal_timeout_ms(now_ms, &state.roster);
        match self.removal_step(now_ms, state, timeout_ms, min_storage_nodes(tolerance)) {
            RosterStep::NoChange => self.removal_step(now_ms, state, STORAGE_TIMEOUT_MS, tolerance + 1),
            step => step,
        }
    }

    /// Removes the node that has been unresponsive longest, of those that exceed `timeout_ms` and whose removal leaves
    /// `min_remaining` nodes.
    fn removal_step(
        &self,
        now_ms: u64,
        state: &ControlState,
        timeout_ms: u64,
        min_remaining: usize,
    ) -> RosterStep {
        let roster = &state.roster;
        let longest = proposed_nodes(roster)
            .iter()
            .map(|store| (store, self.unresponsive_ms(now_ms, store)))
            .filter(|(_, elapsed)| *elapsed > timeout_ms)
            .filter(|(store, _)| remove_node(state, store, roster.epoch, min_remaining).is_some())
            .max_by_key(|(_, elapsed)| *elapsed);
        longest.map_or(RosterStep::NoChange, |(store, unresponsive_ms)| RosterStep::RemoveNode {
            store: store.clone(),
            unresponsive_ms,
            min_remaining,
        })
    }

    /// Bootstraps the fleet with the live nodes that have joined, once [`BOOTSTRAP_WAIT_MS`] have passed since the first.
    fn bootstrap_step(&self, now_ms: u64, roster: &Roster) -> RosterStep {
        let has_waited = self
            .bootstrap_wait_since_ms
            .is_some_and(|since| now_ms.saturating_sub(since) >= BOOTSTRAP_WAIT_MS);
        let Some(next) = roster.next.as_ref().filter(|_| has_waited) else { return RosterStep::NoChange };
        let longest = next
            .iter()
            .map(|store| (store, self.unresponsive_ms(now_ms, store)))
            .filter(|(_, elapsed)| *elapsed > BACKFILL_MEMBER_TIMEOUT_MS)
            .max_by_key(|(_, elapsed)| *elapsed);
        match longest {
            Some((store, unresponsive_ms)) if next.len() > 1 => {
                RosterStep::RemoveNode { store: store.clone(), unresponsive_ms, min_remaining: 1 }
            }
            None if next.iter().all(|store| roster.in_sync.contains(&store.disk)) => RosterStep::Bootstrap,
            _ => RosterStep::NoChange,
        }
    }

    /// Whether the roster has to shrink to its responsive nodes: it has fewer nodes than the tolerance needs, nothing can be
    /// written without the unresponsive nodes, and the responsive nodes store all records.
    fn is_blocked(&self, now_ms: u64, roster: &Roster, tolerance: usize) -> bool {
        let members = proposed_nodes(roster);
        let unresponsive = |stores: &[StorageNode]| {
            stores
                .iter()
                .filter(|store| self.unresponsive_ms(now_ms, store) > BLOCKING_STORAGE_TIMEOUT_MS)
                .count()
        };
        let (Some(sizes), Some(current)) = (
            QuorumSizes::for_machines(members.len(), tolerance),
            QuorumSizes::for_machines(roster.current.len(), tolerance),
        ) else {
            return false;
        };
        members.len() < min_storage_nodes(tolerance)
            && unresponsive(members) > sizes.losses_served()
            && unresponsive(members) < members.len()
            && roster.current.len() - unresponsive(&roster.current) >= current.covering
    }
}
