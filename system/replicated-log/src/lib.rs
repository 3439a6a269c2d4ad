//! A replicated log: Multi-Paxos with one open slot.

mod journal;

pub use journal::{JournalWrite, RecoveredJournal};
