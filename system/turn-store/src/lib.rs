//! What a storage machine keeps: immutable turns and the accounts of programs.
//!
//! [`ReplicaState`] decides, without I/O and with the time passed in: one call in, one answer and the writes that belong
//! to it out. [`Backfill`] is the asker's side of filling a store from others. [`Disk`] and [`Writer`] keep records on
//! fjall, synced in groups; they know nothing of turns. [`load`] joins the two. [`RecordLog`] keeps a single record.

mod backfill;
mod disk;
mod payload;
mod placement;
mod record_log;
mod records;
mod replica;
mod writer;

pub use backfill::Backfill;
pub use disk::{Damage, Disk, DiskError, Replaced, Space, Write};
pub use payload::{Payload, Payloads};
pub use placement::{
    AccountReplicas, copies_needed, copy_order, has_copies, is_surely_absent, merge_reservations,
};
pub use record_log::{Opened, RecordLog, RecoveredRecord};
pub use records::{ACCOUNTS, BackfillRecord, REPLICAS, SPACES, STATE, Stored, StoredTurn, TURNS, load};
pub use replica::{DiskCapacity, Durability, Outcome, RecordCounts, ReplicaState};
pub use writer::{Completion, WriteFailed, Writer};
