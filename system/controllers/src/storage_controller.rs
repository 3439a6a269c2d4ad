use crate::replacement::Replacement;
use crate::roster::{complete_backfill, proposed_nodes, remove_node};
use crate::times::{
    BACKFILL_MEMBER_TIMEOUT_MS, BLOCKING_STORAGE_TIMEOUT_MS, BOOTSTRAP_SETTLE_MS, BOOTSTRAP_WAIT_MS,
    MAX_BACKFILL_PROTECTED_MS, MAX_PROBE_GAP_MS, MIN_BACKFILL_PROTECTED_MS, MIN_MISSED_PROBES,
    PROBE_INTERVAL_MS, PROBE_RETRY_INTERVAL_MS, REPLACED_STORAGE_TIMEOUT_MS, REPLACEMENT_WINDOW_MS,
    STORAGE_TIMEOUT_AFTER_START_MS, STORAGE_TIMEOUT_MS,
};
use fleet_model::{ControlState, QuorumSizes, Roster, StorageNode};
use std::collections::BTreeMap;

/// What the holder of the duty is to do about the storage machines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RosterStep {
    /// Nothing.
    NoChange,
    /// Go on without this one, by [`give_up`](crate::give_up).
    RemoveNode {
        /// The machine.
        store: StorageNode,
        /// For how long it was silent.
        silent_ms: u64,
        /// How few may be left.
        fewest: usize,
    },
    /// Do not wait for these disks, by [`fill`](crate::fill).
    WaiveBackfill(Vec<u64>),
    /// Found the fleet with the machines that have come, though the tolerance asks for more.
    Bootstrap,
}

impl RosterStep {
    /// The state after the step, if it still fits the one that was read. `least`: with how many machines a fleet is
    /// founded at once.
    pub fn apply_to(&self, state: &ControlState, epoch: u64, least: usize) -> Option<ControlState> {
        match self {
            Self::NoChange => None,
            Self::RemoveNode { store, fewest, .. } => remove_node(state, store, epoch, *fewest),
            Self::WaiveBackfill(waived) => complete_backfill(state, None, epoch, waived, least),
            Self::Bootstrap => complete_backfill(state, None, epoch, &[], 1),
        }
    }
}

/// How many storage machines a fleet needs for all that it is to bear.
pub fn min_storage_nodes(tolerance: usize) -> usize {
    2 * tolerance + 1
}

/// What the storage machines bear, by the smallest set that counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LossTolerance {
    /// So many may be silent at once, and turns go on.
    pub served: usize,
    /// So many disks may be lost at once, and all that was acknowledged is left.
    pub survived: usize,
}

impl LossTolerance {
    /// By this roster. Nothing is borne before it is founded.
    pub fn from_roster(roster: &Roster, tolerance: usize) -> Self {
        let sets = [Some(roster.current.as_slice()), roster.next.as_deref()];
        let sizes = sets.into_iter().flatten().map(|set| QuorumSizes::for_machines(set.len(), tolerance));
        let borne = |sizes: Option<QuorumSizes>| {
            sizes.map_or_else(Self::default, |sizes| Self {
                served: sizes.losses_served(),
                survived: sizes.losses_survived(),
            })
        };
        let fewer =
            |a: Self, b: Self| Self { served: a.served.min(b.served), survived: a.survived.min(b.survived) };
        sizes.map(borne).reduce(fewer).unwrap_or_default()
    }
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    at: u64,
    missed: u32,
}

/// What one keeper knows of the storage machines: who is silent, and who came lately. Every keeper looks at them, so that
/// the next holder of the duty knows what the last one knew.
#[derive(Clone, Debug, Default)]
pub struct StorageController {
    looked: Option<u64>,
    heard: BTreeMap<u64, Heard>,
    /// When this keeper first saw the roster.
    began: Option<u64>,
    turnover: Replacement<String>,
    /// The roster's epoch, and since when it is known.
    epoch: (u64, u64),
    /// Since when the roster has as many machines as the tolerance asks for; 0 if it had when this keeper first saw it.
    founded: Option<u64>,
    /// Since when machines wait for the founding.
    gathering: Option<u64>,
    /// What the machines bore when staff were last told.
    borne: Option<LossTolerance>,
}

impl StorageController {
    /// This is the roster, of a fleet that is founded with `least` machines.
    pub fn observe(&mut self, now_ms: u64, roster: &Roster, least: usize) {
        if roster.epoch == 0 {
            return;
        }
        if roster.epoch != self.epoch.0 {
            self.epoch = (roster.epoch, now_ms);
        }
        if roster.current.is_empty() {
            self.gathering.get_or_insert(now_ms);
        }
        let first = self.began.is_none();
        self.began.get_or_insert(now_ms);
        if roster.current.len() >= least {
            self.founded.get_or_insert(if first { 0 } else { now_ms });
        }
        let settled =
            self.founded.is_some_and(|at| at == 0 || now_ms.saturating_sub(at) >= BOOTSTRAP_SETTLE_MS);
        let names = |stores: &[StorageNode]| stores.iter().map(|store| store.name.clone()).collect();
        if first {
            // A change that is under way tells who came and who leaves.
            self.turnover.observe(now_ms, names(&roster.current), settled, |_| false);
        }
        let members = proposed_nodes(roster);
        self.turnover.observe(now_ms, names(members), settled, |name| roster.retiring.contains(name));
        let counts = |disk: u64| members.iter().chain(&roster.current).any(|store| store.disk == disk);
        self.heard.retain(|disk, _| counts(*disk));
        for store in members.iter().chain(&roster.current) {
            // Who is first known has as long to answer as one that has answered.
            self.heard.entry(store.disk).or_insert(Heard { at: now_ms, missed: 0 });
        }
    }

    /// What the machines bear of the losses of `tolerance`, where staff have not been told that yet. All of them is news
    /// only after less.
    pub fn loss_tolerance_change(&mut self, roster: &Roster, tolerance: usize) -> Option<LossTolerance> {
        if roster.epoch == 0 {
            return None;
        }
        let borne = LossTolerance::from_roster(roster, tolerance);
        let before =
            self.borne.replace(borne).unwrap_or(LossTolerance { served: tolerance, survived: tolerance });
        (borne != before).then_some(borne)
    }

    /// Whether a machine that asks to be taken in may be. Of two live machines of one name the one with the place keeps it
    /// until it is gone, or they would push each other out for as long as both run.
    pub fn admits(&self, roster: &Roster, store: &StorageNode) -> bool {
        let rival = |other: &&StorageNode| {
            other.name == store.name && other.ip != store.ip && other.disk != store.disk
        };
        let lives = |disk: u64| self.heard.get(&disk).is_none_or(|heard| heard.missed == 0);
        !proposed_nodes(roster).iter().filter(rival).any(|other| lives(other.disk))
    }

    /// A machine with this disk has told that it is there.
    pub fn record_response(&mut self, now_ms: u64, disk: u64) {
        self.heard.insert(disk, Heard { at: now_ms, missed: 0 });
    }

    /// A machine with this disk did not answer a look.
    pub fn record_missed_probe(&mut self, disk: u64) {
        if let Some(heard) = self.heard.get_mut(&disk) {
            heard.missed = heard.missed.saturating_add(1);
        }
    }

    /// Whether it is time for a look: at the machines of the current and the proposed set.
    pub fn is_probe_due(&self, now_ms: u64) -> bool {
        let pause = if self.heard.values().any(|heard| heard.missed > 0) {
            PROBE_RETRY_INTERVAL_MS
        } else {
            PROBE_INTERVAL_MS
        };
        self.looked.is_none_or(|looked| now_ms.saturating_sub(looked) >= pause)
    }

    /// A look begins. After a break nobody's silence counts: it may have been this keeper that slept.
    pub fn begin_probe_round(&mut self, now_ms: u64) {
        if self.looked.is_none_or(|looked| now_ms.saturating_sub(looked) > MAX_PROBE_GAP_MS) {
            self.heard.values_mut().for_each(|heard| *heard = Heard { at: now_ms, missed: 0 });
        }
        self.looked = Some(now_ms);
    }

    /// For how long a member has missed its looks.
    fn silent(&self, now_ms: u64, store: &StorageNode) -> u64 {
        let heard = self.heard.get(&store.disk).filter(|heard| heard.missed >= MIN_MISSED_PROBES);
        heard.map_or(0, |heard| now_ms.saturating_sub(heard.at))
    }

    /// How long a member may be silent.
    fn patience(&self, now_ms: u64) -> u64 {
        let unsure = self.founded == Some(0)
            && self.began.is_some_and(|at| now_ms.saturating_sub(at) < REPLACEMENT_WINDOW_MS);
        match self.turnover.surplus(now_ms) {
            0 if unsure => STORAGE_TIMEOUT_AFTER_START_MS,
            0 => STORAGE_TIMEOUT_MS,
            _ => REPLACED_STORAGE_TIMEOUT_MS,
        }
    }

    /// What is to be done after a look. `tolerance`: how many machines may be lost.
    pub fn step(&self, now_ms: u64, state: &ControlState, tolerance: usize) -> RosterStep {
        let roster = &state.roster;
        if self.looked.is_none_or(|looked| now_ms.saturating_sub(looked) > MAX_PROBE_GAP_MS) {
            return RosterStep::NoChange;
        }
        if roster.current.is_empty() {
            return self.bootstrap_step(now_ms, roster);
        }
        // What is full but for these counts first: giving one up begins the filling anew.
        if let Some(next) = &roster.next {
            let waived: Vec<u64> = next
                .iter()
                .filter(|store| self.silent(now_ms, store) > BACKFILL_MEMBER_TIMEOUT_MS)
                .map(|store| store.disk)
                .collect();
            let full =
                |store: &StorageNode| roster.in_sync.contains(&store.disk) || waived.contains(&store.disk);
            let may_lack =
                QuorumSizes::for_machines(next.len(), tolerance).map_or(0, |sizes| sizes.losses_survived());
            if waived.len() <= may_lack && next.iter().all(full) {
                return RosterStep::WaiveBackfill(waived);
            }
            let age = now_ms.saturating_sub(self.epoch.1);
            if self.epoch.0 == roster.epoch
                && (MIN_BACKFILL_PROTECTED_MS..MAX_BACKFILL_PROTECTED_MS).contains(&age)
            {
                return RosterStep::NoChange;
            }
        }
        match self.is_blocked(now_ms, roster, tolerance) {
            true => self.give_up_step(now_ms, state, BLOCKING_STORAGE_TIMEOUT_MS, 1),
            false => self.give_up_gone(now_ms, state, tolerance),
        }
    }

    /// Gives up a machine that is gone: sooner while as many are left as a fleet is founded with, and later below that. Fewer
    /// than that, but more than are to be lost, keep what they were told through as many losses as are to be borne; with the
    /// machine that is gone for good still among them, the next loss could stop them for ever.
    fn give_up_gone(&self, now_ms: u64, state: &ControlState, tolerance: usize) -> RosterStep {
        let step = self.give_up_step(now_ms, state, self.patience(now_ms), min_storage_nodes(tolerance));
        match step {
            RosterStep::NoChange => self.give_up_step(now_ms, state, STORAGE_TIMEOUT_MS, tolerance + 1),
            step => step,
        }
    }

    /// Gives up who was silent longest, if that is longer than `patience` and `fewest` are left.
    fn give_up_step(&self, now_ms: u64, state: &ControlState, patience: u64, fewest: usize) -> RosterStep {
        let roster = &state.roster;
        let gone = proposed_nodes(roster)
            .iter()
            .map(|store| (store, self.silent(now_ms, store)))
            .filter(|(_, silent)| *silent > patience)
            .filter(|(store, _)| remove_node(state, store, roster.epoch, fewest).is_some())
            .max_by_key(|(_, silent)| *silent);
        gone.map_or(RosterStep::NoChange, |(store, silent_ms)| RosterStep::RemoveNode {
            store: store.clone(),
            silent_ms,
            fewest,
        })
    }

    /// Founds the fleet with the live machines there are once it has waited for more long enough.
    fn bootstrap_step(&self, now_ms: u64, roster: &Roster) -> RosterStep {
        let waited = self.gathering.is_some_and(|since| now_ms.saturating_sub(since) >= BOOTSTRAP_WAIT_MS);
        let Some(next) = roster.next.as_ref().filter(|_| waited) else { return RosterStep::NoChange };
        let silent = next.iter().map(|store| (store, self.silent(now_ms, store)));
        let gone = silent
            .filter(|(_, silent)| *silent > BACKFILL_MEMBER_TIMEOUT_MS)
            .max_by_key(|(_, silent)| *silent);
        match gone {
            Some((store, silent_ms)) if next.len() > 1 => {
                RosterStep::RemoveNode { store: store.clone(), silent_ms, fewest: 1 }
            }
            None if next.iter().all(|store| roster.in_sync.contains(&store.disk)) => RosterStep::Bootstrap,
            _ => RosterStep::NoChange,
        }
    }

    /// Whether there are fewer machines than the tolerance asks for, nothing can be written without those that are silent,
    /// and the others hold all that was kept: then the set has to shrink to these.
    fn is_blocked(&self, now_ms: u64, roster: &Roster, tolerance: usize) -> bool {
        let members = proposed_nodes(roster);
        let silent = |stores: &[StorageNode]| {
            stores.iter().filter(|store| self.silent(now_ms, store) > BLOCKING_STORAGE_TIMEOUT_MS).count()
        };
        let (Some(sizes), Some(current)) = (
            QuorumSizes::for_machines(members.len(), tolerance),
            QuorumSizes::for_machines(roster.current.len(), tolerance),
        ) else {
            return false;
        };
        members.len() < min_storage_nodes(tolerance)
            && silent(members) > sizes.losses_served()
            && silent(members) < members.len()
            && roster.current.len() - silent(&roster.current) >= current.covering
    }
}
