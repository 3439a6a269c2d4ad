//! What a replica writes to its disk and finds there.

use bytes::Bytes;
use fleet_model::{AcceptedEntry, Ballot, CommitPosition, LogMember, ReplicaId, SlotEntry};
use serde::{Deserialize, Serialize};

/// Format of the checkpoint and of the records that follow it.
const FORMAT: u8 = 1;

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

/// Why a journal could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JournalError {
    /// It was written by a program with another format.
    #[error("unknown format {0} of the coordination journal")]
    UnknownFormat(u8),
    /// The checkpoint, or the record with this index, cannot be decoded.
    #[error("undecodable coordination journal: {0}")]
    Undecodable(String),
}

/// The durable state of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Checkpoint {
    pub(crate) replica: ReplicaId,
    pub(crate) promised: Ballot,
    pub(crate) applied: u64,
    pub(crate) members: Vec<LogMember>,
    pub(crate) pending: Option<AcceptedEntry>,
    pub(crate) state: Bytes,
}

/// A change of the durable state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Record {
    /// A ballot was promised.
    Promised(Ballot),
    /// An entry was accepted for the slot after the applied ones.
    Accepted(AcceptedEntry),
    /// The accepted entry is chosen.
    Committed(CommitPosition),
    /// An entry is known to be chosen.
    Learned(SlotEntry),
}

fn undecodable(error: &postcard::Error) -> JournalError {
    JournalError::Undecodable(error.to_string())
}

impl Checkpoint {
    /// Encodes it after the format. Serialization into memory fails for none of its types.
    pub(crate) fn encode(&self) -> Bytes {
        postcard::to_extend(self, vec![FORMAT]).unwrap_or_default().into()
    }

    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, JournalError> {
        match bytes.split_first() {
            Some((&FORMAT, rest)) => postcard::from_bytes(rest).map_err(|error| undecodable(&error)),
            Some((format, _)) => Err(JournalError::UnknownFormat(*format)),
            None => Err(JournalError::Undecodable("the checkpoint is empty".to_owned())),
        }
    }
}

impl Record {
    pub(crate) fn encode(&self) -> Bytes {
        postcard::to_allocvec(self).unwrap_or_default().into()
    }

    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, JournalError> {
        postcard::from_bytes(bytes).map_err(|error| undecodable(&error))
    }
}
