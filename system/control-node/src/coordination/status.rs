//! The state of the coordination service at one node, for operators.

use crate::{ControlBackend, ControlNode};
use coordination::Lock;
use fleet_model::{Ballot, LogLeader, LogMember, ReplicaId};
use node_runtime::Runtime;
use serde::{Deserialize, Serialize};

/// The coordination service as known to one node: its replica, and the state that the replica has applied. A replica that lags
/// behind reports an older state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinationStatus {
    /// The leader to which the node forwards requests; `None` if it knows no live leader.
    pub leader: Option<LogLeader>,
    /// The highest ballot that the replica has promised.
    pub promised: Ballot,
    /// The node's replica, which changes when its journal is lost. A control node always reports one.
    pub replica: Option<ReplicaId>,
    /// The last slot that the replica has applied.
    pub applied_slot: u64,
    /// The members that decide on the next slot.
    pub members: Vec<LogMember>,
    /// The locks that are or were held, by name.
    pub locks: Vec<LockStatus>,
    /// The counters, by name.
    pub counters: Vec<CounterStatus>,
    /// The groups of keys, by name.
    pub groups: Vec<GroupStatus>,
    /// Number of watches that are waiting at this node.
    pub watchers: usize,
}

/// The state of a lock. The number of waiting callers is unknown, because each caller polls for the lock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LockStatus {
    /// The name that applications use for the lock.
    pub name: String,
    /// The holder; `None` if the lock is free.
    pub holder: Option<String>,
    /// The fencing token of the latest grant.
    pub fence: u64,
    /// Remaining time of the hold in milliseconds, by this node's monotonic clock; `None` if this node does not time the hold.
    pub remaining_ms: Option<u64>,
}

/// The state of a counter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterStatus {
    /// The name that applications use for the counter.
    pub name: String,
    /// The last value that was issued.
    pub value: u64,
}

/// The state of a group of keys, which share one sequence of revisions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The group's name, with the trailing dot.
    pub name: String,
    /// The last revision that was assigned to a key of the group.
    pub revision: u64,
    /// Number of keys in the group.
    pub keys: usize,
    /// Number of events that are retained for watches.
    pub retained_events: usize,
}

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// The state of the coordination service at this node.
    pub fn coordination_status(&self) -> CoordinationStatus {
        let replica = self.coordination.replica.borrow();
        let state = &replica.machine().state;
        let counter = |(name, value): (&str, u64)| CounterStatus { name: name.to_owned(), value };
        let group = |(name, group): (&str, coordination::GroupSummary)| GroupStatus {
            name: name.to_owned(),
            revision: group.revision,
            keys: group.key_count,
            retained_events: group.event_count,
        };
        CoordinationStatus {
            leader: self.live_leader(),
            promised: replica.promised(),
            replica: Some(replica.id()),
            applied_slot: replica.applied(),
            members: self.log_members(),
            locks: state.locks().map(|(name, lock)| self.lock_status(name, lock)).collect(),
            counters: state.counters().map(counter).collect(),
            groups: state.groups().map(group).collect(),
            watchers: self.coordination.watchers.get(),
        }
    }

    fn lock_status(&self, name: &str, lock: &Lock) -> LockStatus {
        let replica = self.coordination.replica.borrow();
        let holds = self.coordination.holds.borrow();
        LockStatus {
            name: name.to_owned(),
            holder: Some(lock.holder.clone()),
            fence: lock.fence,
            remaining_ms: holds.remaining_ms(name, &replica.machine().state, self.runtime.now_ms()),
        }
    }
}
