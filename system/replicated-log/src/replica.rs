//! A replica: acceptor of the next slot and learner of those before it.

use crate::journal::{Checkpoint, Record};
use crate::{JournalError, StateMachine};
use bytes::Bytes;
use fleet_model::{
    AcceptedEntry, Ballot, CommitPosition, CoordinationOutcome, LogEntry, LogMember, LogReply, LogRequest,
    LogSnapshot, ReplicaId, SlotEntry,
};
use std::collections::VecDeque;

/// Number of applied entries that a replica retains for others that lack them.
pub const MAX_RECENT_ENTRIES: usize = 256;

/// Whether a reply is a vote, which may be sent only after the replica's records are synced.
pub fn is_vote(reply: &LogReply) -> bool {
    matches!(reply, LogReply::Promised { .. } | LogReply::Accepted)
}

/// The replica of a node.
#[derive(Clone, Debug)]
pub struct Replica<M> {
    id: ReplicaId,
    promised: Ballot,
    /// The last slot that is applied to the machine.
    applied: u64,
    /// The members that decide on the slot after it; empty before slot 1 is known.
    members: Vec<LogMember>,
    /// The entry accepted for the slot after it.
    pending: Option<AcceptedEntry>,
    machine: M,
    /// The last applied entries, oldest first.
    recent: VecDeque<SlotEntry>,
    /// Changes of the durable state that the host has not taken yet.
    records: Vec<Bytes>,
    /// Whether the state was replaced, so that only a checkpoint can make it durable.
    needs_checkpoint: bool,
}

impl<M: StateMachine> Replica<M> {
    /// A new replica; it becomes durable by a checkpoint.
    pub fn new(id: ReplicaId) -> Self {
        Self {
            id,
            promised: Ballot::default(),
            applied: 0,
            members: Vec::new(),
            pending: None,
            machine: M::default(),
            recent: VecDeque::new(),
            records: Vec::new(),
            needs_checkpoint: true,
        }
    }

    /// The replica that a journal describes.
    ///
    /// # Errors
    ///
    /// [`JournalError`] if a part of it cannot be decoded; the replica that wrote it is lost then.
    pub fn recover(checkpoint: &[u8], records: &[Bytes]) -> Result<Self, JournalError> {
        let stored = Checkpoint::decode(checkpoint)?;
        let mut replica = Self {
            promised: stored.promised,
            applied: stored.applied,
            members: stored.members,
            pending: stored.pending,
            needs_checkpoint: false,
            ..Self::new(stored.replica)
        };
        if !replica.machine.restore(&stored.state) {
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

    /// Its identity.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// The highest ballot that it has promised.
    pub fn promised(&self) -> Ballot {
        self.promised
    }

    /// The last applied slot.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The members that decide on the next slot; empty before slot 1 is known.
    pub fn members(&self) -> &[LogMember] {
        &self.members
    }

    /// The state machine, with all applied slots.
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// Handles a request. The reply may be sent at once unless it [`is_vote`]. Returns whether slots were applied as well.
    pub fn handle(&mut self, request: LogRequest) -> LogReply {
        match request {
            LogRequest::Prepare(ballot) => self.prepare(ballot),
            LogRequest::Accept { accepted, committed } => self.accept(accepted, committed),
            LogRequest::Heartbeat { ballot, committed } => self.heartbeat(ballot, committed),
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
        // A slot that is applied here is chosen, and a valid leader proposes nothing else for it.
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

    /// Applies the accepted entry if it is the one at this position. Returns whether all slots up to there are applied.
    fn commit(&mut self, committed: CommitPosition) -> bool {
        let is_pending = committed.slot == self.applied + 1
            && self.pending.as_ref().is_some_and(|pending| pending.ballot == committed.ballot);
        if is_pending && let Some(pending) = self.pending.take() {
            self.records.push(Record::Committed(committed).encode());
            self.apply(pending.entry);
        }
        committed.slot <= self.applied
    }

    /// Applies the entry that this replica has accepted as a part of its own leader's round, once that is chosen. Returns the
    /// outcomes of its commands; `None` if another entry is accepted meanwhile.
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
        self.recent.push_back(entry);
        if self.recent.len() > MAX_RECENT_ENTRIES {
            self.recent.pop_front();
        }
        outcomes
    }

    /// Replaces the state by a newer one.
    pub fn install(&mut self, snapshot: LogSnapshot) {
        if snapshot.slot <= self.applied || !self.machine.restore(&snapshot.state) {
            return;
        }
        self.applied = snapshot.slot;
        self.members = snapshot.members;
        self.pending = None;
        self.recent.clear();
        self.records.clear();
        self.needs_checkpoint = true;
    }

    /// The state of the applied slots.
    pub fn snapshot(&self) -> LogSnapshot {
        LogSnapshot {
            slot: self.applied,
            members: self.members.clone(),
            state: self.machine.snapshot().into(),
        }
    }

    /// The request that brings a replica which has applied the slots up to `applied` up to date.
    pub fn catch_up(&self, applied: u64) -> LogRequest {
        let has_all = self.recent.front().is_some_and(|oldest| oldest.slot <= applied + 1);
        match has_all {
            true => LogRequest::Learn {
                entries: self.recent.iter().filter(|entry| entry.slot > applied).cloned().collect(),
            },
            false => LogRequest::Install(self.snapshot()),
        }
    }

    /// Takes the records to append to the journal; `None` if the journal has to begin anew with a checkpoint.
    pub fn take_records(&mut self) -> Option<Vec<Bytes>> {
        (!self.needs_checkpoint).then(|| std::mem::take(&mut self.records))
    }

    /// The complete durable state, which supersedes all records so far.
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

    /// Has the next write be a checkpoint, after a write failed.
    pub fn require_checkpoint(&mut self) {
        self.needs_checkpoint = true;
    }
}
