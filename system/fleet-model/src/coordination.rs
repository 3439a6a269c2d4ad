//! Messages of the coordination service: the commands of applications, the replicated log that orders them, and the calls
//! between control nodes that carry both.

use crate::Ballot;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// Identity of a replica of the log. It is generated with the replica's disk folder: a node that lost its disk returns as
/// another replica, so a promise that was lost with the disk binds nobody.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId(pub u64);

/// A member of the log's quorums.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LogMember {
    /// Address of the control node.
    pub ip: Ipv4Addr,
    /// Its replica.
    pub replica: ReplicaId,
}

/// A command of an application that changes the coordination state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CoordinationCommand {
    /// Acquire a lock, or extend it for the same holder.
    AcquireLock {
        /// Name of the lock.
        lock: String,
        /// Name of the holder.
        holder: String,
        /// Duration of the hold in milliseconds.
        hold_ms: u64,
        /// The grant of another holder that the leader has found expired on its steady clock, if it has; that grant may be
        /// replaced.
        expired_grant: Option<u64>,
    },
    /// Extend a held lock.
    RenewLock {
        /// Name of the lock.
        lock: String,
        /// Name of the holder.
        holder: String,
        /// Fencing token of the hold.
        fence: u64,
        /// Duration of the hold in milliseconds.
        hold_ms: u64,
    },
    /// Release a lock if it is held under this fencing token.
    ReleaseLock {
        /// Name of the lock.
        lock: String,
        /// Name of the holder.
        holder: String,
        /// Fencing token of the hold.
        fence: u64,
    },
    /// Take the next value of a counter.
    NextNumber {
        /// Name of the counter.
        name: String,
    },
    /// Store the value of a key.
    PutKey {
        /// The key; what precedes its first dot, with the dot, names its group.
        key: String,
        /// The value, unique among all values.
        value: String,
        /// The revision that the key must have, 0 if it must not exist; `None` if any will do.
        expected: Option<u64>,
    },
}

/// The outcome of a [`CoordinationCommand`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CoordinationOutcome {
    /// The lock is held by the caller.
    LockGranted {
        /// The fencing token.
        fence: u64,
    },
    /// Another holder has the lock, or the caller's hold was lost.
    LockNotHeld,
    /// The caller does not hold the lock any more, if it did.
    LockReleased,
    /// The counter's next value.
    Number {
        /// The value.
        value: u64,
    },
    /// The value is stored, by this command or an earlier one with the same value.
    KeyStored {
        /// The revision that it was given.
        revision: u64,
    },
    /// The key has another revision than the expected one; nothing was stored.
    RevisionMismatch {
        /// The key's revision; 0 if it does not exist.
        revision: u64,
    },
    /// A limit on the number of names or their length is reached; nothing was done.
    LimitReached,
}

/// Commands that are chosen together, in this order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CoordinationBatch {
    /// Time since the batch before, in milliseconds on the leader's steady clock; 0 where it is unknown.
    pub elapsed_ms: u64,
    /// For how long events are retained, in milliseconds.
    pub history_ms: u64,
    /// The commands.
    pub commands: Vec<CoordinationCommand>,
}

/// The content of one slot of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LogEntry {
    /// Nothing: a new leader fills a slot.
    Empty,
    /// Commands of applications.
    Batch(CoordinationBatch),
    /// The members that decide on the following slots.
    Members(Vec<LogMember>),
}

/// A slot and its entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SlotEntry {
    /// Position in the log, from 1 on.
    pub slot: u64,
    /// Its content.
    pub entry: LogEntry,
}

/// An entry with the ballot under which it was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptedEntry {
    /// The ballot.
    pub ballot: Ballot,
    /// The slot and its entry.
    pub entry: SlotEntry,
}

/// The state after all slots up to one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LogSnapshot {
    /// The last slot that it contains.
    pub slot: u64,
    /// The members that decide on the next slot.
    pub members: Vec<LogMember>,
    /// The encoded state machine.
    pub state: Bytes,
}

/// The last chosen slot, with the ballot under which the leader had it chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CommitPosition {
    /// The slot.
    pub slot: u64,
    /// The ballot.
    pub ballot: Ballot,
}

/// A request of a leader or candidate to a replica of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LogRequest {
    /// Phase 1: promise to reject all lower ballots.
    Prepare(Ballot),
    /// Phase 2: accept the entry. All slots before it are chosen.
    Accept {
        /// The entry with its ballot.
        accepted: AcceptedEntry,
        /// The slot before it.
        committed: CommitPosition,
    },
    /// The leader of this ballot is alive and knows these slots to be chosen.
    Heartbeat {
        /// The leader's ballot.
        ballot: Ballot,
        /// The last chosen slot.
        committed: CommitPosition,
    },
    /// The leader of this ballot leads no more.
    Resign(Ballot),
    /// Chosen entries that the replica lacks, in the order of their slots.
    Learn {
        /// The entries.
        entries: Vec<SlotEntry>,
    },
    /// The chosen state, for a replica that lacks too many entries.
    Install(LogSnapshot),
    /// Return the state of the applied slots.
    Fetch,
}

/// The reply of a replica to a [`LogRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LogReply {
    /// The promise, which is on disk.
    Promised {
        /// The last applied slot.
        applied: u64,
        /// The entry accepted for the next slot, if any.
        pending: Option<AcceptedEntry>,
    },
    /// The entry is accepted and on disk.
    Accepted,
    /// The replica has not promised a higher ballot than the heartbeat's.
    Confirmed,
    /// The replica has promised this higher ballot.
    Rejected(Ballot),
    /// The replica lacks slots; this is the last one that it has applied.
    Behind(u64),
    /// The replica has applied slots up to this one.
    Learned(u64),
    /// The state of the applied slots.
    Fetched(LogSnapshot),
}

/// A read of the coordination state, answered by the leader after a quorum has confirmed that it leads.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CoordinationQuery {
    /// The value of a key.
    Key(String),
    /// The last chosen slot.
    CommitIndex,
}

/// The answer to a [`CoordinationQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CoordinationReading {
    /// The key's value; `None` if it was never stored.
    Key(Option<KeyRevision>),
    /// The last chosen slot.
    CommitIndex(u64),
}

/// A value of a key, with the revision that it was given.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyRevision {
    /// The value.
    pub value: String,
    /// Its revision within the key's group.
    pub revision: u64,
}

/// The leader of the log, as far as a node knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LogLeader {
    /// Its ballot.
    pub ballot: Ballot,
    /// Its address.
    pub ip: Ipv4Addr,
}

/// A call of one control node to another for the coordination service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CoordinationCall {
    /// To a replica of the log.
    Log(LogRequest),
    /// Have the leader of this ballot, and no later one, execute a command.
    Submit {
        /// The ballot.
        ballot: Ballot,
        /// The command.
        command: CoordinationCommand,
    },
    /// Have the leader of this ballot answer a read.
    Read {
        /// The ballot.
        ballot: Ballot,
        /// The read.
        query: CoordinationQuery,
    },
    /// Report the own replica and the leader, if it is heard.
    Locate {
        /// Whether a node that hears no leader should become a candidate: the caller cannot.
        needs_leader: bool,
    },
}

/// The answer to a [`CoordinationCall`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CoordinationAnswer {
    /// A replica's reply.
    Log {
        /// The replica that replies.
        replica: ReplicaId,
        /// Whether applications at its node wait for events.
        has_watchers: bool,
        /// The reply.
        reply: LogReply,
    },
    /// The outcome of a command.
    Outcome(CoordinationOutcome),
    /// The answer to a read.
    Reading(CoordinationReading),
    /// The command was not executed and will not be: the node does not lead under that ballot.
    NotExecuted {
        /// The leader that it knows.
        leader: Option<LogLeader>,
    },
    /// The command was not executed and will not be: too many are waiting.
    Overloaded,
    /// The command may have been executed or not.
    Indeterminate,
    /// The answer to [`CoordinationCall::Locate`].
    Located {
        /// The node's replica.
        replica: ReplicaId,
        /// The leader that it knows.
        leader: Option<LogLeader>,
    },
}
