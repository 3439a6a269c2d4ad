//! Roster changes that the storage controller decides on.

use crate::roster::{complete_backfill, forget_turnover, remove_node};
use fleet_model::{ControlState, StorageNode};

/// The next change that the holder of the storage controller's lease makes to the roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RosterStep {
    /// Change nothing.
    NoChange,
    /// Remove an unresponsive node, by [`remove_node`](crate::remove_node).
    RemoveNode {
        /// The node to remove, as it is listed in the proposed set.
        store: StorageNode,
        /// Time in milliseconds since its last response or, without one, since it was first observed.
        unresponsive_ms: u64,
        /// Number of nodes that have to remain, apart from those being retired.
        min_remaining: usize,
    },
    /// Complete the backfill although these disks are not in sync, by [`complete_backfill`](crate::complete_backfill).
    WaiveBackfill(Vec<u64>),
    /// Bootstrap the fleet with the nodes that have joined, although its loss tolerance needs more.
    Bootstrap,
    /// Delete these machines from the turnover, by [`forget_turnover`](crate::forget_turnover).
    ForgetTurnover(Vec<String>),
}

impl RosterStep {
    /// The state after the step; `None` if the step changes nothing or `epoch` is no longer the roster's.
    ///
    /// `min_nodes` is the number of nodes with which a fleet is bootstrapped without waiting.
    pub fn apply_to(&self, state: &ControlState, epoch: u64, min_nodes: usize) -> Option<ControlState> {
        match self {
            Self::NoChange => None,
            Self::RemoveNode { store, min_remaining, .. } => remove_node(state, store, epoch, *min_remaining),
            Self::WaiveBackfill(waived) => complete_backfill(state, None, epoch, waived, min_nodes),
            Self::ForgetTurnover(machines) => forget_turnover(state, machines),
            Self::Bootstrap => complete_backfill(state, None, epoch, &[], 1),
        }
    }
}
