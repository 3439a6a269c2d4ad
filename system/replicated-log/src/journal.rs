//! The durable journal of a replica: a checkpoint followed by records.

use bytes::Bytes;
use fleet_model::{AcceptedEntry, Ballot, CommitPosition, LogMember, ReplicaId, SlotEntry};
use serde::{Deserialize, Serialize};

/// Version of the format of checkpoints and records. It is the first byte of a checkpoint.
const JOURNAL_FORMAT: u8 = 1;

/// A write to a replica's journal. The host must perform the writes one at a time and in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JournalWrite {
    /// Append these records.
    Append(Vec<Bytes>),
    /// Replace the journal by this checkpoint without records.
    Checkpoint(Bytes),
}

/// The journal that a process finds when it starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum RecoveredJournal {
    /// There is no journal, or it is unreadable. The replica may have lost votes that it had sent, so the node must start as a new
    /// replica.
    #[default]
    Empty,
    /// The last checkpoint and the records appended after it.
    Stored {
        /// The argument of the last [`JournalWrite::Checkpoint`].
        checkpoint: Bytes,
        /// All later records, oldest first.
        records: Vec<Bytes>,
    },
}

/// Why a journal could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JournalError {
    /// Another version of the program wrote the journal in a format that this one does not support.
    #[error("unknown format {0} of the coordination journal")]
    UnknownFormat(u8),
    /// The checkpoint or a record cannot be decoded; the text says why.
    #[error("undecodable coordination journal: {0}")]
    Undecodable(String),
}

/// The durable state of a replica. The order of the fields is part of the journal format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Checkpoint {
    pub(crate) replica: ReplicaId,
    pub(crate) promised: Ballot,
    pub(crate) applied: u64,
    pub(crate) members: Vec<LogMember>,
    pub(crate) pending: Option<AcceptedEntry>,
    pub(crate) state: Bytes,
}

/// A change of the durable state. The order of the variants is part of the journal format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Record {
    Promised(Ballot),
    /// An entry was accepted for the next slot.
    Accepted(AcceptedEntry),
    /// The accepted entry was chosen under this ballot and applied.
    Committed(CommitPosition),
    /// A chosen entry was received from another replica and applied.
    Learned(SlotEntry),
}

fn undecodable(error: &postcard::Error) -> JournalError {
    JournalError::Undecodable(error.to_string())
}

impl Checkpoint {
    /// Encodes the format version and the checkpoint. Serialization into memory cannot fail for its types.
    pub(crate) fn encode(&self) -> Bytes {
        postcard::to_extend(self, vec![JOURNAL_FORMAT]).unwrap_or_default().into()
    }

    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, JournalError> {
        match bytes.split_first() {
            Some((&JOURNAL_FORMAT, rest)) => postcard::from_bytes(rest).map_err(|error| undecodable(&error)),
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
