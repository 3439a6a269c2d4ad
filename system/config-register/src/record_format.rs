//! The forms in which an acceptor's record is kept on disk.
//!
//! The present form begins with [`MAGIC`] and its number. The first format, whose ballots had no nonce, had neither: it began with
//! the promised round as a varint, whose tenth byte is never above 1, so none of its records begins with the mark.

use crate::acceptor::{AcceptorRecord, VoterState};
use fleet_model::{AcceptedValue, Ballot, RegisterValue};
use serde::{Deserialize, Serialize};

/// How every record begins that tells its form.
const MAGIC: [u8; 10] = [0xff; 10];
/// The present form.
const FORMAT: u8 = 2;

/// In which form a record is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordFormat {
    /// The present one: it is read as an [`AcceptorRecord`].
    Current,
    /// The first one: it is read as a [`RecordV1`].
    V1,
    /// One that this program does not know.
    Unknown(u8),
}

impl RecordFormat {
    /// The form that a record's bytes are in.
    pub fn of(bytes: &[u8]) -> Self {
        match bytes.strip_prefix(&MAGIC) {
            None => Self::V1,
            Some([FORMAT, ..]) => Self::Current,
            Some(rest) => Self::Unknown(rest.first().copied().unwrap_or_default()),
        }
    }
}

/// A record of another form than the one it is read as.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a record of form {FORMAT}")]
pub(crate) struct UnsupportedFormat;

/// A record as it is written.
#[derive(Serialize, Deserialize)]
pub(crate) struct StoredRecord {
    magic: [u8; MAGIC.len()],
    format: u8,
    promised: Ballot,
    accepted: Option<AcceptedValue>,
    voter_state: VoterState,
    chosen_voters: Option<RegisterValue>,
}

impl From<AcceptorRecord> for StoredRecord {
    fn from(record: AcceptorRecord) -> Self {
        let AcceptorRecord { promised, accepted, voter_state, chosen_voters } = record;
        Self { magic: MAGIC, format: FORMAT, promised, accepted, voter_state, chosen_voters }
    }
}

impl TryFrom<StoredRecord> for AcceptorRecord {
    type Error = UnsupportedFormat;

    fn try_from(stored: StoredRecord) -> Result<Self, UnsupportedFormat> {
        let StoredRecord { magic, format, promised, accepted, voter_state, chosen_voters } = stored;
        match (magic, format) {
            (MAGIC, FORMAT) => Ok(Self { promised, accepted, voter_state, chosen_voters }),
            _ => Err(UnsupportedFormat),
        }
    }
}

#[derive(Deserialize)]
struct BallotV1 {
    round: u64,
    proposer: u32,
}

#[derive(Deserialize)]
struct AcceptedValueV1 {
    ballot: BallotV1,
    value: RegisterValue,
}

/// A record of the first form.
#[derive(Deserialize)]
pub struct RecordV1 {
    promised: BallotV1,
    accepted: Option<AcceptedValueV1>,
    voter_state: VoterState,
    chosen_voters: Option<RegisterValue>,
}

impl From<BallotV1> for Ballot {
    fn from(BallotV1 { round, proposer }: BallotV1) -> Self {
        Self { round, proposer, incarnation: 0 }
    }
}

impl From<AcceptedValueV1> for AcceptedValue {
    fn from(AcceptedValueV1 { ballot, value }: AcceptedValueV1) -> Self {
        Self { ballot: ballot.into(), value }
    }
}

impl From<RecordV1> for AcceptorRecord {
    fn from(record: RecordV1) -> Self {
        let RecordV1 { promised, accepted, voter_state, chosen_voters } = record;
        Self { promised: promised.into(), accepted: accepted.map(Into::into), voter_state, chosen_voters }
    }
}
