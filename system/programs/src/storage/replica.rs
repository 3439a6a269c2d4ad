//! A storage replica: the storage engine and the in-memory state that is built from it.

use crate::disk::Durable;
use crate::random::random_u64;
use crate::start::StartError;
use fleet_model::{Answer, Call, Roster, StorageNode};
use std::future::Future;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::sync::Arc;
use turn_store::{
    Disk, DiskError, Durability, KEYSPACES, OpenedDisk, Outcome, RecordCounts, ReplicaState, Stored, Write,
    WriteFailed, Writer, load,
};

/// Called once, on the writer's thread, when the first write or sync has failed.
pub(super) type OnFailure = Box<dyn FnOnce(WriteFailed) + Send>;

/// A data directory that was opened and read.
pub(super) struct OpenedDirectory {
    /// The engine.
    pub disk: Arc<Disk>,
    /// Writes to it.
    pub writer: std::io::Result<Writer>,
    /// What it keeps.
    pub kept: Stored,
    /// How many damages were found and set aside.
    pub damages: usize,
}

/// The data directory of a storage machine. Its functions block; they run on threads of their own.
pub(super) trait DataDirectory: Send + Sync {
    /// See whether the disk takes writes.
    fn probe(&self) -> Result<(), DiskError>;
    /// Open and read all of it. No two may be open at once.
    fn open(&self, on_failure: OnFailure) -> Result<OpenedDirectory, DiskError>;
}

/// The directory of this path.
pub(super) struct DirectoryAt(pub PathBuf);

impl DataDirectory for DirectoryAt {
    fn probe(&self) -> Result<(), DiskError> {
        Disk::probe(&self.0)
    }

    fn open(&self, on_failure: OnFailure) -> Result<OpenedDirectory, DiskError> {
        let OpenedDisk { disk, read: (kept, damages), lost } =
            Disk::open_or_replace(&self.0, KEYSPACES, random_u64, load)?;
        if !damages.is_empty() {
            log::error!("damaged records set aside, backfill needed: records={}", damages.len());
        }
        let disk = Arc::new(disk);
        let writer = Writer::start(disk.clone(), on_failure);
        Ok(OpenedDirectory { disk, writer, kept, damages: damages.len() + usize::from(lost.is_some()) })
    }
}

/// What stays the same of a machine whatever its disk.
#[derive(Clone, Debug)]
pub(super) struct Machine {
    /// Its name.
    pub name: String,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its zone.
    pub zone: String,
    /// `fault_tolerance.machines`.
    pub losses: usize,
}

/// A replica over an open engine. When the engine fails it is dropped as a whole, and another one is built from the disk.
pub(super) struct Replica {
    /// The state in memory.
    pub state: ReplicaState,
    /// The engine, to read from.
    pub disk: Arc<Disk>,
    /// Damages on disk that the opening has found.
    pub damages: usize,
    /// This machine with this disk, as the roster has it.
    pub me: StorageNode,
    durable: Durable,
}

/// What a call has come to.
pub(super) enum Progress<F> {
    /// The answer can go.
    Done(Answer),
    /// The answer can go when the future is ready with `Ok`.
    Syncing(Answer, F),
}

impl Replica {
    /// One with what was found on the disk.
    pub(super) fn new(now_ms: u64, machine: &Machine, opened: OpenedDirectory) -> Result<Self, StartError> {
        let OpenedDirectory { disk, writer, kept, damages } = opened;
        let number = disk.number();
        let me = StorageNode {
            name: machine.name.clone(),
            ip: machine.ip,
            zone: machine.zone.clone(),
            disk: number,
        };
        let state = ReplicaState::new(now_ms, number, machine.losses, kept);
        let RecordCounts { turns, accounts, turn_bytes, .. } = state.counts();
        log::info!("replica loaded: disk={number} turns={turns} accounts={accounts} bytes={turn_bytes}");
        Ok(Self { state, disk, damages, me, durable: Durable::with_writer(writer)? })
    }

    /// Whether a write or sync has failed: memory may have what the disk lacks, and nothing more is synced.
    pub(super) fn has_failed(&self) -> bool {
        self.durable.is_failing()
    }

    /// Answers a call. While the disk refuses, a call that changes anything is answered `NotReady` and changes nothing in memory.
    pub(super) fn handle(
        &mut self,
        now_ms: u64,
        call: &Call,
    ) -> Progress<impl Future<Output = Result<(), WriteFailed>> + use<>> {
        if self.has_failed() && changes_records(call) {
            return Progress::Done(Answer::NotReady);
        }
        let Outcome { answer, writes, durability } = self.state.handle(now_ms, call, &*self.disk);
        match durability {
            Durability::NoWrites => Progress::Done(answer),
            Durability::Deferred => {
                self.durable.write_lazily(writes);
                Progress::Done(answer)
            }
            Durability::Synced => Progress::Syncing(answer, self.durable.write(writes)),
        }
    }

    /// Applies a newer roster.
    pub(super) fn set_roster(&mut self, roster: &Roster) {
        let writes = self.state.set_roster(roster);
        self.durable.write_lazily(writes);
    }

    /// Retains accounts for the longest retention in force.
    pub(super) fn set_account_retention(&mut self, retention_ms: u64) {
        let writes = self.state.set_account_retention(retention_ms);
        self.durable.write_lazily(writes);
    }

    /// Drops what has expired.
    pub(super) fn expire(&mut self, now_ms: u64) {
        if !self.has_failed() {
            let writes = self.state.expire(now_ms);
            self.durable.write_lazily(writes);
        }
    }

    /// Writes these; they are synced, with all earlier writes, when the future is ready with `Ok`.
    pub(super) fn write(&self, writes: Vec<Write>) -> impl Future<Output = Result<(), WriteFailed>> + use<> {
        self.durable.write(writes)
    }
}

/// Whether the answer to a call promises something that is to be on disk.
fn changes_records(call: &Call) -> bool {
    matches!(
        call,
        Call::Reserve { .. } | Call::Settle { .. } | Call::StoreTurn { .. } | Call::BackfillDone { .. }
    )
}
