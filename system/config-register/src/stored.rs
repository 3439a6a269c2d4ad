//! The forms in which an acceptor's record is kept on disk.
//!
//! The present form begins with [`MARK`] and its number. The first form, whose ballots had no nonce, had neither: it began with
//! the promised round as a varint, whose tenth byte is never above 1, so none of its records begins with the mark.

use crate::acceptor::{AcceptorRecord, Standing};
use fleet_model::{AcceptedValue, Ballot, RegisterValue};
use serde::{Deserialize, Serialize};

/// How every record begins that tells its form.
const MARK: [u8; 10] = [0xff; 10];
/// The present form.
const FORM: u8 = 2;

/// In which form a record is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordForm {
    /// The present one: it is read as an [`AcceptorRecord`].
    Present,
    /// The first one: it is read as a [`FirstRecord`].
    First,
    /// One that this program does not know.
    Unknown(u8),
}

impl RecordForm {
    /// The form that a record's bytes are in.
    pub fn of(bytes: &[u8]) -> Self {
        match bytes.strip_prefix(&MARK) {
            None => Self::First,
            Some([FORM, ..]) => Self::Present,
            Some(rest) => Self::Unknown(rest.first().copied().unwrap_or_default()),
        }
    }
}

/// A record of another form than the one it is read as.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a record of form {FORM}")]
pub(crate) struct OtherForm;

/// A record as it is written.
#[derive(Serialize, Deserialize)]
pub(crate) struct StoredRecord {
    mark: [u8; MARK.len()],
    form: u8,
    promised: Ballot,
    accepted: Option<AcceptedValue>,
    standing: Standing,
    settled: Option<RegisterValue>,
}

impl From<AcceptorRecord> for StoredRecord {
    fn from(record: AcceptorRecord) -> Self {
        let AcceptorRecord { promised, accepted, standing, settled } = record;
        Self { mark: MARK, form: FORM, promised, accepted, standing, settled }
    }
}

impl TryFrom<StoredRecord> for AcceptorRecord {
    type Error = OtherForm;

    fn try_from(stored: StoredRecord) -> Result<Self, OtherForm> {
        let StoredRecord { mark, form, promised, accepted, standing, settled } = stored;
        match (mark, form) {
            (MARK, FORM) => Ok(Self { promised, accepted, standing, settled }),
            _ => Err(OtherForm),
        }
    }
}

#[derive(Deserialize)]
struct FirstBallot {
    round: u64,
    proposer: u32,
}

#[derive(Deserialize)]
struct FirstAccepted {
    ballot: FirstBallot,
    value: RegisterValue,
}

/// A record of the first form.
#[derive(Deserialize)]
pub struct FirstRecord {
    promised: FirstBallot,
    accepted: Option<FirstAccepted>,
    standing: Standing,
    settled: Option<RegisterValue>,
}

impl From<FirstBallot> for Ballot {
    fn from(FirstBallot { round, proposer }: FirstBallot) -> Self {
        Self { round, proposer, incarnation: 0 }
    }
}

impl From<FirstAccepted> for AcceptedValue {
    fn from(FirstAccepted { ballot, value }: FirstAccepted) -> Self {
        Self { ballot: ballot.into(), value }
    }
}

impl From<FirstRecord> for AcceptorRecord {
    fn from(record: FirstRecord) -> Self {
        let FirstRecord { promised, accepted, standing, settled } = record;
        Self { promised: promised.into(), accepted: accepted.map(Into::into), standing, settled }
    }
}
