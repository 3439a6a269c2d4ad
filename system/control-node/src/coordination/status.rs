//! The coordination service as an operator sees it.

use crate::{ControlBackend, ControlNode};
use coordination::Lock;
use fleet_model::{Ballot, LogLeader, LogMember, ReplicaId};
use node_runtime::Runtime;
use serde::{Deserialize, Serialize};

/// What a node knows of the coordination service: its replica, and the state that it has applied. A replica that is behind shows
/// an older state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinationStatus {
    /// The leader that the node knows.
    pub leader: Option<LogLeader>,
    /// The highest ballot that the replica has promised.
    pub promised: Ballot,
    /// The node's replica; `None` before it has one.
    pub replica: Option<ReplicaId>,
    /// The last slot that the replica has applied.
    pub applied_slot: u64,
    /// The members that decide on the next slot.
    pub members: Vec<LogMember>,
    /// The locks that are held or were held, by name.
    pub locks: Vec<LockStatus>,
    /// The counters, by name.
    pub counters: Vec<CounterStatus>,
    /// The groups of keys, by name.
    pub groups: Vec<GroupStatus>,
    /// Number of watches that wait at this node.
    pub watchers: usize,
}

/// A lock. How many callers wait for it is not known: they ask again by themselves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LockStatus {
    /// Its name.
    pub name: String,
    /// The holder; `None` if the lock is free.
    pub holder: Option<String>,
    /// The last fencing token that was given.
    pub fence: u64,
    /// Remaining time of the hold in milliseconds, on this node's steady clock; `None` if this node does not time it.
    pub remaining_ms: Option<u64>,
}

/// A counter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterStatus {
    /// Its name.
    pub name: String,
    /// The last value that was given.
    pub value: u64,
}

/// A group of keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// Its name, with the dot.
    pub name: String,
    /// The last revision that was given.
    pub revision: u64,
    /// Number of keys.
    pub keys: usize,
    /// Number of events that are retained for watches.
    pub retained_events: usize,
}

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// The coordination service as this node sees it.
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
