//! An acceptor whose state counts only once it is on disk.
//!
//! Two states are kept: the newest one, which votes change, and the synced one, which the disk holds for sure. A vote's
//! answer leaves once the write that holds it is synced. Reads are answered from the synced state: as if they had come before
//! the votes that are still being written, whose answers have not left either. So no read waits for the disk.
//!
//! When a write fails, and none that holds it is under way, the newest state goes back to the synced one: what was not
//! answered was never promised. Each write holds the whole state, so that a later one makes good those before it; they are
//! to be written one after another in their order, and one may be left out if a later one is written in its place.

use config_register::{Acceptor, AcceptorRecord, AcceptorResponse};
use fleet_model::{AcceptedValue, Ballot, RegisterReply, RegisterRequest};
use std::collections::BTreeMap;

/// Names a write. Those of one generation build on one another; the next begins after a return to the synced state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteNumber {
    generation: u64,
    number: u64,
}

/// How far a write is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// What it holds is on disk.
    Synced,
    /// It is under way.
    Pending,
    /// It failed.
    Failed,
}

/// Whether the disk takes writes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiskState {
    /// The last write that came to an end has failed.
    pub is_refusing: bool,
    /// Writes that have failed in this life.
    pub refusals: u64,
}

/// A write that is to be begun.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingWrite {
    /// Its name.
    pub number: WriteNumber,
    /// What it holds.
    pub record: AcceptorRecord,
}

/// An answer, and when it may leave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingReply {
    /// The answer.
    pub reply: RegisterReply,
    /// It may leave once this is synced; at once if there is none.
    pub after: Option<WriteNumber>,
    /// This is to be written, in any case.
    pub write: Option<PendingWrite>,
}

/// See the module.
#[derive(Clone, Debug)]
pub struct DurableAcceptor {
    newest: Acceptor,
    /// The write that holds the newest state.
    newest_write: WriteNumber,
    synced: Acceptor,
    /// The write that holds the synced state.
    synced_write: WriteNumber,
    last_write: WriteNumber,
    under_way: BTreeMap<WriteNumber, AcceptorRecord>,
    disk: DiskState,
}

impl DurableAcceptor {
    /// One with what the disk holds; without a record it does not vote until one is written by
    /// [`DurableAcceptor::recover`].
    pub fn new(record: Option<AcceptorRecord>) -> Self {
        let acceptor = record.map_or_else(Acceptor::recovering, Acceptor::new);
        Self {
            newest: acceptor.clone(),
            newest_write: WriteNumber::default(),
            synced: acceptor,
            synced_write: WriteNumber::default(),
            last_write: WriteNumber::default(),
            under_way: BTreeMap::new(),
            disk: DiskState::default(),
        }
    }

    /// Whether it has a state on disk to vote by.
    pub fn has_record(&self) -> bool {
        self.synced.record().is_some()
    }

    /// What it has accepted last, also if that is not on disk yet.
    pub fn accepted(&self) -> Option<&AcceptedValue> {
        self.newest.record()?.accepted.as_ref()
    }

    /// What the disk holds.
    pub fn synced_record(&self) -> Option<&AcceptorRecord> {
        self.synced.record()
    }

    /// The newest state; it equals the synced one when no write is under way.
    pub fn newest_record(&self) -> Option<&AcceptorRecord> {
        self.newest.record()
    }

    /// Whether the disk takes writes.
    pub fn disk(&self) -> DiskState {
        self.disk
    }

    /// A value is known to be chosen. That need not be synced.
    pub fn learn_value(&mut self, chosen: &AcceptedValue) {
        self.newest.learn_value(chosen);
        self.synced.learn_value(chosen);
    }

    /// Answers a request.
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
        // What an answer tells of promise or value is synced before it is told, whoever's write it was.
        let after = (self.outcome(self.newest_write) != WriteOutcome::Synced).then_some(self.newest_write);
        PendingReply { reply, after, write }
    }

    /// That a value was chosen is written some time, and the answer does not wait for it.
    fn poll(&mut self, chosen: Ballot) -> PendingReply {
        let newest_changed = self.newest.learn_chosen(chosen);
        let AcceptorResponse { reply, record_changed: synced_changed } =
            self.synced.handle(&RegisterRequest::Poll { chosen });
        let write = if newest_changed || synced_changed { self.write_newest() } else { None };
        PendingReply { reply, after: None, write }
    }

    /// A write of the newest state, if there is one: to find out whether the disk takes it.
    pub fn write_newest(&mut self) -> Option<PendingWrite> {
        let record = self.newest.record()?.clone();
        let write = self.begin(record);
        self.newest_write = write.number;
        Some(write)
    }

    /// A write of the state by which an acceptor without one may vote, once it is synced.
    pub fn recover(&mut self, record: AcceptorRecord) -> PendingWrite {
        self.begin(record)
    }

    fn begin(&mut self, record: AcceptorRecord) -> PendingWrite {
        self.last_write.number += 1;
        let number = self.last_write;
        self.under_way.insert(number, record.clone());
        PendingWrite { number, record }
    }

    /// A write has come to its end, and with it those before it that it was written in place of; tells whether the disk's
    /// state changed by it.
    pub fn on_write_completed(&mut self, number: WriteNumber, succeeded: bool) -> bool {
        let Some(record) = self.under_way.remove(&number) else { return false };
        self.under_way.retain(|other, _| *other > number);
        let was_refusing = self.disk.is_refusing;
        self.disk.is_refusing = !succeeded;
        if succeeded {
            self.synced_to(number, record);
        } else {
            self.disk.refusals += 1;
        }
        if self.under_way.is_empty() && self.newest_write != self.synced_write {
            self.return_to_synced();
        }
        self.disk.is_refusing != was_refusing
    }

    fn synced_to(&mut self, number: WriteNumber, record: AcceptorRecord) {
        self.synced_write = number;
        if self.newest.record().is_none() {
            self.newest.restore(record.clone());
            self.newest_write = number;
        }
        self.synced.restore(record);
    }

    fn return_to_synced(&mut self) {
        if let Some(record) = self.synced.record() {
            self.newest.restore(record.clone());
        }
        self.newest_write = self.synced_write;
        self.last_write = WriteNumber { generation: self.last_write.generation + 1, number: 0 };
    }

    /// How far a write is. Of one that was synced before a return to the synced state it may say that it failed.
    pub fn outcome(&self, number: WriteNumber) -> WriteOutcome {
        let is_synced =
            number.generation == self.synced_write.generation && number.number <= self.synced_write.number;
        if is_synced {
            WriteOutcome::Synced
        } else if self.under_way.contains_key(&number) {
            WriteOutcome::Pending
        } else {
            WriteOutcome::Failed
        }
    }

    /// Whether a write is under way.
    pub fn is_writing(&self) -> bool {
        !self.under_way.is_empty()
    }
}
