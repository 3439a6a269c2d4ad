//! The storage of a storage node: immutable turns and the accounts of programs.
//!
//! Programs continue from turns that earlier requests completed, and spend tokens within the budget of their account. Both
//! have to survive the loss of as many storage nodes as the deployment tolerates. This crate decides what one replica
//! answers and writes, and which replicas a proxy has to reach.
//!
//! - [`ReplicaState`] is the state machine of a replica, without I/O and clock: one call in, one [`Outcome`] with the
//!   answer and its writes out. [`Backfill`] is the receiving side of copying records from other replicas.
//! - [`copy_order`], [`has_copies`], [`is_surely_absent`] and [`AccountReplicas`] are the placement and quorum rules.
//! - [`Disk`] stores records on fjall, verified and quarantined when they are damaged; it knows nothing of turns.
//!   [`Writer`] commits writes in groups. [`load`] reads a replica's records from a disk.
//! - [`RecordLog`] stores a single record as an append-only log. [`EntryLog`] stores a checkpoint and the entries appended
//!   to it.
//!
//! The host delivers calls and the roster, passes the time in, applies the writes, and sends an answer when its
//! [`Durability`] permits.

mod backfill;
mod directory_lock;
mod disk;
mod entry_log;
mod log_files;
mod payload;
mod placement;
mod record_log;
mod records;
mod replica;
mod writer;

pub use backfill::Backfill;
pub use directory_lock::DirectoryLock;
pub use disk::{DamageReason, DamagedRecord, Disk, DiskError, KeyspaceConfig, OpenedDisk, Write};
pub use entry_log::{EntryLog, EntryWrite, OpenedEntryLog, RecoveredEntries};
pub use payload::{Payload, Payloads};
pub use placement::{
    AccountReplicas, NodePreference, copies_needed, copy_order, has_copies, is_surely_absent,
    merge_reservations,
};
pub use record_log::{Opened, RecordLog, RecoveredRecord};
pub use records::{ACCOUNTS, BackfillRecord, KEYSPACES, REPLICAS, STATE, Stored, StoredTurn, TURNS, load};
pub use replica::{DiskCapacity, Durability, Outcome, RecordCounts, ReplicaState};
pub use writer::{Completion, WriteFailed, Writer};
