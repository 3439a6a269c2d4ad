//! What is run: control nodes, applications and faults.

use super::history::{Bounds, FinalTargets};
use std::time::Duration;

/// Control nodes in service.
const CONTROL_NODES: u8 = 5;
/// Machines that may replace others in a soak.
const SPARES: u8 = 4;
/// Disks that may be lost at once.
const TOLERATED_LOSSES: usize = 2;

/// How long a lock is held for by one call, in milliseconds.
pub const HOLD_MS: u64 = 1_500;
/// For how long events are retained for watches.
pub const HISTORY: Duration = Duration::from_secs(20);
/// Time within which a lock is free again after its holder's time, in milliseconds.
pub const RELEASE_MS: u64 = 1_500;

/// What is run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Draws what applications do and which faults occur.
    pub seed: u64,
    /// How long applications work before the final calls.
    pub work: Duration,
    /// Whether faults occur.
    pub has_faults: bool,
    /// Control nodes in service at once.
    pub control_nodes: u8,
    /// Control nodes that may lose their disk at once.
    pub tolerated_losses: usize,
    /// Machines that may replace others, at addresses of their own.
    pub spares: u8,
    /// Whether what happens is printed.
    pub is_verbose: bool,
    /// The applications.
    pub applications: Applications,
}

impl Plan {
    /// The usual size, without faults.
    pub fn new(seed: u64, work: Duration) -> Self {
        Self {
            seed,
            work,
            has_faults: false,
            control_nodes: CONTROL_NODES,
            tolerated_losses: TOLERATED_LOSSES,
            spares: 0,
            is_verbose: false,
            applications: Applications::default(),
        }
    }

    /// A soak: faults, with as many losses of disks at once as a minority of these control nodes.
    pub fn soak(seed: u64, work: Duration, control_nodes: u8) -> Self {
        let tolerated_losses = usize::from(control_nodes.saturating_sub(1) / 2).min(TOLERATED_LOSSES);
        Self { has_faults: true, control_nodes, tolerated_losses, spares: SPARES, ..Self::new(seed, work) }
    }

    /// The bounds that the history is checked by.
    pub fn bounds() -> Bounds {
        Bounds { history_ms: u64::try_from(HISTORY.as_millis()).unwrap_or(u64::MAX) }
    }
}

/// How many applications of each kind there are, and on how many names.
#[derive(Clone, Debug)]
pub struct Applications {
    /// Callers that hold locks for a moment.
    pub lock_callers: u32,
    /// Locks that are held for a moment.
    pub locks: u32,
    /// Callers that ask for each long-held lock.
    pub candidates: u32,
    /// Locks that are held for long.
    pub elections: u32,
    /// Callers that take numbers, put and read.
    pub data_callers: u32,
    /// Counters.
    pub numbers: u32,
    /// Groups of keys.
    pub groups: u32,
    /// Keys of each group.
    pub keys_per_group: u32,
    /// Watchers.
    pub watchers: u32,
}

impl Default for Applications {
    fn default() -> Self {
        Self {
            lock_callers: 6,
            locks: 12,
            candidates: 3,
            elections: 2,
            data_callers: 6,
            numbers: 4,
            groups: 3,
            keys_per_group: 16,
            watchers: 4,
        }
    }
}

impl Applications {
    /// Name of a lock that is held for a moment.
    pub fn lock(&self, number: u32) -> String {
        format!("l{number:x}")
    }

    /// Name of a lock that is held for long.
    pub fn election(&self, number: u32) -> String {
        format!("e{number:x}")
    }

    /// Name of a counter.
    pub fn number(&self, number: u32) -> String {
        format!("n{number:x}")
    }

    /// A group, with its dot.
    pub fn group(&self, number: u32) -> String {
        format!("g{number:x}.")
    }

    /// A key of a group.
    pub fn key(&self, group: u32, number: u32) -> String {
        format!("{}{number:x}", self.group(group))
    }

    /// The group that a watcher watches.
    pub fn watched_group(&self, watcher: u32) -> String {
        self.group(watcher % self.groups)
    }

    /// Everything that is asked for at the end.
    pub fn final_targets(&self) -> FinalTargets {
        let locks = (0..self.locks).map(|number| self.lock(number));
        let keys = (0..self.groups)
            .flat_map(|group| (0..self.keys_per_group).map(move |number| (group, number)))
            .map(|(group, number)| self.key(group, number));
        FinalTargets {
            locks: locks.chain((0..self.elections).map(|number| self.election(number))).collect(),
            numbers: (0..self.numbers).map(|number| self.number(number)).collect(),
            keys: keys.collect(),
            groups: (0..self.groups.min(self.watchers)).map(|number| self.group(number)).collect(),
        }
    }

    /// Numbers of the callers of each kind, in the order lock callers, candidates, data callers, watchers.
    pub(super) fn first_numbers(&self) -> [u32; 4] {
        let candidates = self.lock_callers;
        let data_callers = candidates + self.elections * self.candidates;
        [0, candidates, data_callers, data_callers + self.data_callers]
    }

    /// How many callers there are.
    pub fn callers(&self) -> u32 {
        self.first_numbers()[3] + self.watchers
    }
}
