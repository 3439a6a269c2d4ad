//! What a storage machine keeps: immutable turns and the accounts of programs.
//!
//! [`StoreState`] decides, without I/O and with the time passed in: one call in, one answer and the writes that belong
//! to it out. [`Filling`] is the asker's side of filling a store from others. [`Disk`] and [`Writer`] keep records on
//! fjall, synced in groups; they know nothing of turns. [`load`] joins the two. [`RecordLog`] keeps a single record.

mod disk;
mod filling;
mod placement;
mod record_log;
mod records;
mod state;
mod writer;

pub use disk::{Damage, Disk, DiskError, Replaced, Space, Write};
pub use filling::Filling;
pub use placement::{
    AccountHolders, copies_needed, copy_order, has_copies, is_surely_absent, merge_reservations,
};
pub use record_log::{Found, Opened, RecordLog};
pub use records::{ACCOUNTS, FillRecord, HOLDERS, Kept, KeptTurn, SPACES, STATE, TURNS, load};
pub use state::{Bodies, Body, Durability, Outcome, Room, StoreState};
pub use writer::{Completion, WriteFailed, Writer};
