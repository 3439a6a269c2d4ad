//! The on-disk formats of an acceptor's record.
//!
//! The current format begins with [`MAGIC`] and its number. The first format, whose ballots had no nonce, had neither: it began
//! with the promised round as a varint, whose tenth byte is never above 1, so none of its records begins with the magic bytes.

use crate::acceptor::{AcceptorRecord, VoterState};
use fleet_model::{AcceptedValue, Ballot, RegisterValue};
use serde::{Deserialize, Serialize};

/// The first bytes of every record that states its format.
const MAGIC: [u8; 10] = [0xff; 10];
/// The number of the current format.
const FORMAT: u8 = 2;

/// The format of a stored record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordFormat {
    /// The current format: deserialize an [`AcceptorRecord`].
    Current,
    /// The first format: deserialize a [`RecordV1`].
    V1,
    /// A format that this program does not know, by its number.
    Unknown(u8),
}

impl RecordFormat {
    /// Detects the format of a record from its bytes.
    pub fn detect(bytes: &[u8]) -> Self {
        match bytes.strip_prefix(&MAGIC) {
            None => Self::V1,
            Some([FORMAT, ..]) => Self::Current,
            Some(rest) => Self::Unknown(rest.first().copied().unwrap_or_default()),
        }
    }
}

/// The record is not in the format as which it was deserialized.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a record of format {FORMAT}")]
pub(crate) struct UnsupportedFormat;

/// A record as it is written; the order of the fields is that of the bytes.
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

/// A record of the first format; it converts to an [`AcceptorRecord`] whose ballots have the nonce 0.
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
