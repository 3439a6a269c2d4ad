//! An acceptor whose votes count only once they are on disk, as section 2.4 of *Paxos Made Simple* requires: stable storage is
//! written before the reply is sent.
//!
//! It has two states: the newest one, which votes change, and the synced one, which the disk is known to have. The reply to a
//! vote may be sent once the write that contains it is synced. Reads are answered from the synced state, as if they had
//! arrived before the votes whose writes are in flight, whose replies have not been sent either. So no read waits for the
//! disk.
//!
//! When a write fails and no later one is in flight, the newest state reverts to the synced one: a promise without a reply was
//! never made. Each write contains the complete record, so a later one supersedes those before it. Writes are to be done one
//! after another in their order, and one may be omitted if a later one is written instead.

use config_register::{Acceptor, AcceptorRecord, AcceptorResponse};
use fleet_model::{AcceptedValue, Ballot, RegisterReply, RegisterRequest};
use std::collections::BTreeMap;

/// Identifies a write. Writes of one generation build on one another; a new generation begins after a reversion to the synced
/// state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteNumber {
    generation: u64,
    number: u64,
}

/// The state of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It is on disk.
    Synced,
    /// It is in flight.
    Pending,
    /// It failed.
    Failed,
}

/// Whether the disk accepts writes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiskState {
    /// Whether the write that completed last has failed.
    pub is_refusing: bool,
    /// Number of failed writes in this incarnation.
    pub refusals: u64,
}

/// A write to begin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingWrite {
    /// Its identifier.
    pub number: WriteNumber,
    /// The record to write.
    pub record: AcceptorRecord,
}

/// A reply, and the write after which it may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingReply {
    /// The reply.
    pub reply: RegisterReply,
    /// The write that must be synced before the reply is sent; it may be sent at once if there is none.
    pub after: Option<WriteNumber>,
    /// A write to begin in any case.
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
    /// An acceptor with the record on disk. Without one it does not vote until [`DurableAcceptor::recover`] has written one.
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

    /// Whether it has a record on disk, so that it may vote.
    pub fn has_record(&self) -> bool {
        self.synced.record().is_some()
    }

    /// The value accepted last, even if it is not on disk yet.
    pub fn accepted(&self) -> Option<&AcceptedValue> {
        self.newest.record()?.accepted.as_ref()
    }

    /// The record on disk.
    pub fn synced_record(&self) -> Option<&AcceptorRecord> {
        self.synced.record()
    }

    /// The newest record; it equals the synced one when no write is in flight.
    pub fn newest_record(&self) -> Option<&AcceptorRecord> {
        self.newest.record()
    }

    /// Whether the disk accepts writes.
    pub fn disk(&self) -> DiskState {
        self.disk
    }

    /// Notes that a value is chosen. That need not be synced.
    pub fn learn_value(&mut self, chosen: &AcceptedValue) {
        self.newest.learn_value(chosen);
        self.synced.learn_value(chosen);
    }

    /// Handles a request.
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
        let AcceptorResponse { reply, record_changed: changed } = self.newest.handle(request);
        let write = if changed { self.write_newest() } else { None };
        // The promise or value in a reply is synced before the reply is sent, whichever request caused the write.
        let after = (self.outcome(self.newest_write) != WriteOutcome::Synced).then_some(self.newest_write);
        PendingReply { reply, after, write }
    }

    /// The fact that a value is chosen is written eventually; the reply does not wait for it.
    fn poll(&mut self, chosen: Ballot) -> PendingReply {
        let newest_changed = self.newest.learn_chosen(chosen);
        let AcceptorResponse { reply, record_changed: synced_changed } =
            self.synced.handle(&RegisterRequest::Poll { chosen });
        let write = if newest_changed || synced_changed { self.write_newest() } else { None };
        PendingReply { reply, after: None, write }
    }

    /// A write of the newest record, if there is one, to find out whether the disk accepts it.
    pub fn write_newest(&mut self) -> Option<PendingWrite> {
        let record = self.newest.record()?.clone();
        let write = self.begin(record);
        self.newest_write = write.number;
        Some(write)
    }

    /// A write of a record for an acceptor without one, which may vote once it is synced.
    pub fn recover(&mut self, record: AcceptorRecord) -> PendingWrite {
        self.begin(record)
    }

    fn begin(&mut self, record: AcceptorRecord) -> PendingWrite {
        self.last_write.number += 1;
        let number = self.last_write;
        self.in_flight.insert(number, record.clone());
        PendingWrite { number, record }
    }

    /// Notes that a write has completed, and with it the earlier ones that it supersedes. Returns whether the disk began or ceased
    /// to refuse writes.
    pub fn on_write_completed(&mut self, number: WriteNumber, succeeded: bool) -> bool {
        let Some(record) = self.in_flight.remove(&number) else { return false };
        self.in_flight.retain(|other, _| *other > number);
        let was_refusing = self.disk.is_refusing;
        self.disk.is_refusing = !succeeded;
        if succeeded {
            self.on_synced(number, record);
        } else {
            self.disk.refusals += 1;
        }
        if self.in_flight.is_empty() && self.newest_write != self.synced_write {
            self.revert_to_synced();
        }
        self.disk.is_refusing != was_refusing
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

    /// The state of a write. One that was synced before a reversion to the synced state may be reported as failed.
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
