//! A replica: the acceptor of the next slot and the learner of all slots before it.

use crate::journal::{Checkpoint, Record};
use crate::{JournalError, StateMachine};
use bytes::Bytes;
use fleet_model::{
    AcceptedEntry, Ballot, CommitPosition, CoordinationOutcome, LogEntry, LogMember, LogReply, LogRequest,
    LogSnapshot, ReplicaId, SlotEntry,
};
use std::collections::VecDeque;

/// Number of applied entries that a replica retains, to send them to replicas that are missing some.
pub const MAX_RECENT_ENTRIES: usize = 256;

/// Whether a reply is a vote. A vote may be sent only after the records of the replica are synced.
pub fn is_vote(reply: &LogReply) -> bool {
    matches!(reply, LogReply::Promised { .. } | LogReply::Accepted)
}

/// The acceptor and learner of one node.
#[derive(Clone, Debug)]
pub struct Replica<M> {
    id: ReplicaId,
    promised: Ballot,
    /// The last slot that is applied to the machine.
    applied: u64,
    /// The members that decide on the next slot; empty until slot 1 is applied.
    members: Vec<LogMember>,
    /// The entry accepted for the next slot.
    pending: Option<AcceptedEntry>,
    machine: M,
    /// The last applied entries, oldest first.
    recent_entries: VecDeque<SlotEntry>,
    /// Encoded changes of the durable state that the host has not collected yet.
    records: Vec<Bytes>,
    /// Whether only a checkpoint can make the state durable: the state was replaced, or a write failed.
    needs_checkpoint: bool,
}

impl<M: StateMachine> Replica<M> {
    /// A new replica without state. Write a [`Replica::checkpoint`] to make its identity durable.
    pub fn new(id: ReplicaId) -> Self {
        Self {
            id,
            promised: Ballot::default(),
            applied: 0,
            members: Vec::new(),
            pending: None,
            machine: M::default(),
            recent_entries: VecDeque::new(),
            records: Vec::new(),
            needs_checkpoint: true,
        }
    }

    /// Restores a replica from its journal.
    ///
    /// # Errors
    ///
    /// [`JournalError`] if the checkpoint or a record cannot be decoded. The replica that wrote the journal is lost in that case.
    pub fn recover(checkpoint: &[u8], records: &[Bytes]) -> Result<Self, JournalError> {
        let checkpoint_data = Checkpoint::decode(checkpoint)?;
        let mut replica = Self {
            promised: checkpoint_data.promised,
            applied: checkpoint_data.applied,
            members: checkpoint_data.members,
            pending: checkpoint_data.pending,
            needs_checkpoint: false,
            ..Self::new(checkpoint_data.replica)
        };
        if !replica.machine.restore(&checkpoint_data.state) {
            return Err(JournalError::Undecodable("the state in the checkpoint".to_owned()));
        }
        for record in records {
            replica.replay(Record::decode(record)?);
        }
        replica.records.clear();
        Ok(replica)
    }

    fn replay(&mut self, record: Record) {
        match record {
            Record::Promised(ballot) => self.promised = self.promised.max(ballot),
            Record::Accepted(accepted) => {
                self.promised = self.promised.max(accepted.ballot);
                self.pending = Some(accepted);
            }
            Record::Committed(committed) => {
                self.commit(committed);
            }
            Record::Learned(entry) => {
                self.learn(entry);
            }
        }
    }

    /// The identity of this replica, which changes only when its disk is lost.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// The highest ballot that this replica has promised; requests with a lower one are rejected.
    pub fn promised(&self) -> Ballot {
        self.promised
    }

    /// The last applied slot; 0 before the first.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The members that decide on the next slot; empty until slot 1 is applied.
    pub fn members(&self) -> &[LogMember] {
        &self.members
    }

    /// The state machine after all applied slots.
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// Handles a request. The reply may be sent immediately unless it is a vote, see [`is_vote`].
    pub fn handle(&mut self, request: LogRequest) -> LogReply {
        match request {
            LogRequest::Prepare(ballot) => self.prepare(ballot),
            LogRequest::Accept { accepted, committed } => self.accept(accepted, committed),
            LogRequest::Heartbeat { ballot, committed } => self.heartbeat(ballot, committed),
            LogRequest::Resign(_) => LogReply::Confirmed,
            LogRequest::Learn { entries } => {
                for entry in entries {
                    self.learn(entry);
                }
                LogReply::Learned(self.applied)
            }
            LogRequest::Install(snapshot) => {
                self.install(snapshot);
                LogReply::Learned(self.applied)
            }
            LogRequest::Fetch => LogReply::Fetched(self.snapshot()),
        }
    }

    fn prepare(&mut self, ballot: Ballot) -> LogReply {
        if ballot < self.promised {
            return LogReply::Rejected(self.promised);
        }
        if ballot > self.promised {
            self.promised = ballot;
            self.records.push(Record::Promised(ballot).encode());
        }
        LogReply::Promised { applied: self.applied, pending: self.pending.clone() }
    }

    fn accept(&mut self, accepted: AcceptedEntry, committed: CommitPosition) -> LogReply {
        if accepted.ballot < self.promised {
            return LogReply::Rejected(self.promised);
        }
        if !self.commit(committed) || accepted.entry.slot > self.applied + 1 {
            return LogReply::Behind(self.applied);
        }
        // An applied slot is chosen, and a valid leader proposes no other entry for it.
        if accepted.entry.slot == self.applied + 1 {
            self.promised = accepted.ballot;
            self.records.push(Record::Accepted(accepted.clone()).encode());
            self.pending = Some(accepted);
        }
        LogReply::Accepted
    }

    fn heartbeat(&mut self, ballot: Ballot, committed: CommitPosition) -> LogReply {
        if ballot < self.promised {
            return LogReply::Rejected(self.promised);
        }
        match self.commit(committed) {
            true => LogReply::Confirmed,
            false => LogReply::Behind(self.applied),
        }
    }

    /// Applies the accepted entry if it is the one at the position. Returns whether all slots up to the position are applied.
    fn commit(&mut self, committed: CommitPosition) -> bool {
        let is_pending = committed.slot == self.applied + 1
            && self.pending.as_ref().is_some_and(|pending| pending.ballot == committed.ballot);
        if is_pending && let Some(pending) = self.pending.take() {
            self.records.push(Record::Committed(committed).encode());
            self.apply(pending.entry);
        }
        committed.slot <= self.applied
    }

    /// Applies the entry that the leader on the same node has proposed, once it is chosen. Returns the outcomes of its commands;
    /// `None` if this replica has accepted another entry in the meantime.
    pub fn commit_own(&mut self, committed: CommitPosition) -> Option<Vec<CoordinationOutcome>> {
        let pending = self
            .pending
            .take_if(|pending| pending.ballot == committed.ballot && pending.entry.slot == committed.slot)?;
        self.records.push(Record::Committed(committed).encode());
        Some(self.apply(pending.entry))
    }

    fn learn(&mut self, entry: SlotEntry) {
        if entry.slot != self.applied + 1 {
            return;
        }
        self.pending = None;
        self.records.push(Record::Learned(entry.clone()).encode());
        self.apply(entry);
    }

    fn apply(&mut self, entry: SlotEntry) -> Vec<CoordinationOutcome> {
        self.applied = entry.slot;
        let outcomes = match &entry.entry {
            LogEntry::Empty => Vec::new(),
            LogEntry::Batch(batch) => self.machine.apply(batch),
            LogEntry::Members(members) => {
                self.members.clone_from(members);
                Vec::new()
            }
        };
        self.recent_entries.push_back(entry);
        if self.recent_entries.len() > MAX_RECENT_ENTRIES {
            self.recent_entries.pop_front();
        }
        outcomes
    }

    /// Replaces the state by a newer snapshot; an older or undecodable one is ignored.
    pub fn install(&mut self, snapshot: LogSnapshot) {
        if snapshot.slot <= self.applied || !self.machine.restore(&snapshot.state) {
            return;
        }
        self.applied = snapshot.slot;
        self.members = snapshot.members;
        self.pending = None;
        self.recent_entries.clear();
        self.records.clear();
        self.needs_checkpoint = true;
    }

    /// A snapshot of the state after the last applied slot.
    pub fn snapshot(&self) -> LogSnapshot {
        LogSnapshot {
            slot: self.applied,
            members: self.members.clone(),
            state: self.machine.snapshot().into(),
        }
    }

    /// The request that brings another replica up to date, which has applied the slots up to `applied`: the missing entries if
    /// they are all retained, otherwise a snapshot.
    pub fn catch_up(&self, applied: u64) -> LogRequest {
        let is_retained = self.recent_entries.front().is_some_and(|oldest| oldest.slot <= applied + 1);
        match is_retained {
            true => LogRequest::Learn {
                entries: self.recent_entries.iter().filter(|entry| entry.slot > applied).cloned().collect(),
            },
            false => LogRequest::Install(self.snapshot()),
        }
    }

    /// Removes and returns the records to append to the journal; `None` if the next write must be a [`Replica::checkpoint`].
    pub fn take_records(&mut self) -> Option<Vec<Bytes>> {
        (!self.needs_checkpoint).then(|| std::mem::take(&mut self.records))
    }

    /// Encodes the complete durable state, which supersedes all earlier records.
    pub fn checkpoint(&mut self) -> Bytes {
        self.records.clear();
        self.needs_checkpoint = false;
        let checkpoint = Checkpoint {
            replica: self.id,
            promised: self.promised,
            applied: self.applied,
            members: self.members.clone(),
            pending: self.pending.clone(),
            state: self.machine.snapshot().into(),
        };
        checkpoint.encode()
    }

    /// Requires that the next write is a checkpoint. The host calls this after a failed write.
    pub fn require_checkpoint(&mut self) {
        self.needs_checkpoint = true;
    }
}
