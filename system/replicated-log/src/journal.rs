//! What a replica writes to its disk and finds there.

use bytes::Bytes;

/// A write to a replica's journal. Writes are done one after another, in their order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JournalWrite {
    /// Append these records.
    Append(Vec<Bytes>),
    /// Replace the journal by one that begins with this checkpoint and has no records yet.
    Checkpoint(Bytes),
}

/// The journal that a process finds at its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum RecoveredJournal {
    /// None, or one that cannot be read: the replica may have voted and forgotten it, so it is a new replica.
    #[default]
    Empty,
    /// The newest checkpoint and the records appended to it, in their order.
    Stored {
        /// The checkpoint.
        checkpoint: Bytes,
        /// The records.
        records: Vec<Bytes>,
    },
}
