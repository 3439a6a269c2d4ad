//! An acceptor whose votes count only once they are on disk, as section 2.4 of *Paxos Made Simple* requires: stable storage is
//! written before the reply is sent.
//!
//! The acceptor keeps two states: the newest one, which votes change, and the synced one, which is known to be on disk. The reply
//! to a vote may be sent once the write that contains the vote is synced. Reads are answered from the synced state, as if they
//! had arrived before the votes whose writes are in flight and whose replies have not been sent. So reads never wait for the
//! disk.
//!
//! When a write fails and no later one is in flight, the newest state reverts to the synced one: no peer has seen the votes that
//! are dropped, because their replies were not sent. Each write contains the complete record, so a later write supersedes the
//! earlier ones. The caller must perform writes one at a time in order, and may skip a write if it performs a later one
//! instead.

use config_register::{Acceptor, AcceptorRecord, AcceptorResponse};
use fleet_model::{AcceptedValue, Ballot, RegisterReply, RegisterRequest};
use std::collections::BTreeMap;

/// Identifies a write. Each write of a generation contains the votes of the earlier ones; a new generation starts when the state
/// reverts to the synced one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteNumber {
    generation: u64,
    number: u64,
}

/// The state of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write, or a later one of its generation, is on disk.
    Synced,
    /// The write has not completed yet.
    Pending,
    /// The write failed. It becomes `Synced` if a later write of its generation succeeds.
    Failed,
}

/// Whether the disk accepts writes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiskState {
    /// Whether the most recently completed write failed.
    pub is_failing: bool,
    /// Number of failed writes in this incarnation.
    pub failed_writes: u64,
}

/// A write for the caller to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingWrite {
    /// Identifies the write in [`DurableAcceptor::on_write_completed`].
    pub number: WriteNumber,
    /// The acceptor's complete record.
    pub record: AcceptorRecord,
}

/// A reply, and the write after which it may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingReply {
    /// The reply, which must not be sent before the write in `after` is synced.
    pub reply: RegisterReply,
    /// The write that must be synced before the reply is sent; without one the reply may be sent immediately.
    pub after: Option<WriteNumber>,
    /// A write that the caller must start, whether or not the reply depends on it.
    pub write: Option<PendingWrite>,
}

/// An acceptor that tracks which of its votes are on disk; see the module documentation.
#[derive(Clone, Debug)]
pub struct DurableAcceptor {
    newest: Acceptor,
    /// The write that contains the newest state.
    newest_write: WriteNumber,
    synced: Acceptor,
    /// The write that contains the synced state.
    synced_write: WriteNumber,
    last_write: WriteNumber,
    in_flight: BTreeMap<WriteNumber, AcceptorRecord>,
    disk: DiskState,
}

impl DurableAcceptor {
    /// Creates an acceptor from the record on disk. Without a record, it does not vote until the record from
    /// [`DurableAcceptor::recover`] is synced.
    pub fn new(record: Option<AcceptorRecord>) -> Self {
        let acceptor = record.map_or_else(Acceptor::recovering, Acceptor::new);
        Self {
            newest: acceptor.clone(),
            newest_write: WriteNumber::default(),
            synced: acceptor,
            synced_write: WriteNumber::default(),
            last_write: WriteNumber::default(),
            in_flight: BTreeMap::new(),
            disk: DiskState::default(),
        }
    }

    /// Whether the acceptor has a record on disk and may vote.
    pub fn has_record(&self) -> bool {
        self.synced.record().is_some()
    }

    /// The value accepted last, even if it is not synced yet.
    pub fn accepted(&self) -> Option<&AcceptedValue> {
        self.newest.record()?.accepted.as_ref()
    }

    /// The record on disk; `None` while the acceptor is recovering.
    pub fn synced_record(&self) -> Option<&AcceptorRecord> {
        self.synced.record()
    }

    /// The newest record; it equals the synced one when no write is in flight.
    pub fn newest_record(&self) -> Option<&AcceptorRecord> {
        self.newest.record()
    }

    /// The result of the most recent write, and the number of failures.
    pub fn disk(&self) -> DiskState {
        self.disk
    }

    /// Records that a value is chosen. This need not be synced.
    pub fn learn_value(&mut self, chosen: &AcceptedValue) {
        self.newest.learn_value(chosen);
        self.synced.learn_value(chosen);
    }

    /// Handles a request. The caller starts the write of the result, and sends the reply once the write in `after` is synced.
    pub fn handle(&mut self, request: &RegisterRequest) -> PendingReply {
        match request {
            RegisterRequest::Prepare(_) | RegisterRequest::Accept(_) => self.vote(request),
            RegisterRequest::Poll { chosen } => self.poll(*chosen),
            RegisterRequest::Fetch => {
                let reply = self.synced.handle(request).reply;
                PendingReply { reply, after: None, write: None }
            }
        }
    }

    fn vote(&mut self, request: &RegisterRequest) -> PendingReply {
        let AcceptorResponse { reply, record_changed: is_changed } = self.newest.handle(request);
        let write = if is_changed { self.write_newest() } else { None };
        // The reply waits for the newest write even if another request caused it, because it reveals that write's promise or
        // value.
        let after = (self.outcome(self.newest_write) != WriteOutcome::Synced).then_some(self.newest_write);
        PendingReply { reply, after, write }
    }

    /// A newly learned chosen ballot is written, but the reply does not wait for the write.
    fn poll(&mut self, chosen: Ballot) -> PendingReply {
        let is_newest_changed = self.newest.learn_chosen(chosen);
        let AcceptorResponse { reply, record_changed: is_synced_changed } =
            self.synced.handle(&RegisterRequest::Poll { chosen });
        let write = if is_newest_changed || is_synced_changed { self.write_newest() } else { None };
        PendingReply { reply, after: None, write }
    }

    /// Returns a write of the newest record; `None` without a record. Also used to find out whether the disk has recovered.
    pub fn write_newest(&mut self) -> Option<PendingWrite> {
        let record = self.newest.record()?.clone();
        let write = self.start_write(record);
        self.newest_write = write.number;
        Some(write)
    }

    /// Returns a write of a record for an acceptor without one. The acceptor may vote once the write is synced.
    pub fn recover(&mut self, record: AcceptorRecord) -> PendingWrite {
        self.start_write(record)
    }

    fn start_write(&mut self, record: AcceptorRecord) -> PendingWrite {
        self.last_write.number += 1;
        let number = self.last_write;
        self.in_flight.insert(number, record.clone());
        PendingWrite { number, record }
    }

    /// Records that a write has completed, which also completes the earlier writes that it supersedes. Returns whether the disk
    /// has started or stopped failing.
    pub fn on_write_completed(&mut self, number: WriteNumber, succeeded: bool) -> bool {
        let Some(record) = self.in_flight.remove(&number) else { return false };
        self.in_flight.retain(|other, _| *other > number);
        let was_refusing = self.disk.is_failing;
        self.disk.is_failing = !succeeded;
        if succeeded {
            self.on_synced(number, record);
        } else {
            self.disk.failed_writes += 1;
        }
        if self.in_flight.is_empty() && self.newest_write != self.synced_write {
            self.revert_to_synced();
        }
        self.disk.is_failing != was_refusing
    }

    fn on_synced(&mut self, number: WriteNumber, record: AcceptorRecord) {
        self.synced_write = number;
        if self.newest.record().is_none() {
            self.newest.restore(record.clone());
            self.newest_write = number;
        }
        self.synced.restore(record);
    }

    fn revert_to_synced(&mut self) {
        if let Some(record) = self.synced.record() {
            self.newest.restore(record.clone());
        }
        self.newest_write = self.synced_write;
        self.last_write = WriteNumber { generation: self.last_write.generation + 1, number: 0 };
    }

    /// The state of a write. A write that was synced in an earlier generation may be reported as failed.
    pub fn outcome(&self, number: WriteNumber) -> WriteOutcome {
        let is_synced =
            number.generation == self.synced_write.generation && number.number <= self.synced_write.number;
        if is_synced {
            WriteOutcome::Synced
        } else if self.in_flight.contains_key(&number) {
            WriteOutcome::Pending
        } else {
            WriteOutcome::Failed
        }
    }

    /// Whether a write is in flight.
    pub fn is_writing(&self) -> bool {
        !self.in_flight.is_empty()
    }
}
