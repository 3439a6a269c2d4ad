//! The stored and sent form of a [`ControlState`]: a format byte, a length and postcard bytes compressed by LZ4.

use crate::Roster;
use crate::control_state::{CommittedVersion, ControlState, Lease};
use bytes::Bytes;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;

/// A payload that is no state.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PayloadError {
    /// It is in a form that this program does not know.
    #[error("a payload of form {0}")]
    UnknownFormat(u8),
    /// It says that it is longer than any state.
    #[error("a payload of {0} bytes")]
    TooLong(usize),
    /// Its compression is damaged.
    #[error("a payload that cannot be unpacked: {0}")]
    Decompression(String),
    /// What it holds cannot be read.
    #[error("a payload that cannot be read: {0}")]
    Decoding(postcard::Error),
}

/// Longest state that is taken from a payload: operators' bodies are shorter by far.
const MAX_STATE_BYTES: usize = 32 << 20;

/// The form of a payload: a [`ControlState`] by postcard, compressed by LZ4 behind its length. Configurations repeat
/// themselves, and a payload goes to every voter twice and to every sender once.
const FORMAT_CURRENT: u8 = 2;

/// The first form, packed alike: its states tell of no forgotten and no refused versions. It is read and no longer written.
const FORMAT_V1: u8 = 1;

/// So many versions taken the first form remembered, without a word of those that it forgot.
const V1_MAX_COMMITTED: usize = 512;

/// The state as the first form has it.
#[derive(Deserialize)]
struct ControlStateV1 {
    config: Bytes,
    committed: Vec<CommittedVersion>,
    leases: BTreeMap<String, Lease>,
    roster: Roster,
}

impl From<ControlStateV1> for ControlState {
    fn from(ControlStateV1 { config, committed, leases, roster }: ControlStateV1) -> Self {
        let before_oldest = committed.first().map_or(0, |oldest| oldest.version.saturating_sub(1));
        let highest_pruned = if committed.len() < V1_MAX_COMMITTED { 0 } else { before_oldest };
        Self { config, committed, leases, roster, highest_pruned, rejected: Vec::new() }
    }
}

impl ControlState {
    /// The state as the register holds it.
    pub fn to_payload(&self) -> Result<Bytes, PayloadError> {
        let plain = postcard::to_allocvec(self).map_err(PayloadError::Decoding)?;
        let mut payload = vec![FORMAT_CURRENT];
        payload.extend(lz4_flex::block::compress_prepend_size(&plain));
        Ok(payload.into())
    }

    /// Reads what the register holds; before the first change that is nothing.
    pub fn from_payload(payload: &[u8]) -> Result<Self, PayloadError> {
        match payload {
            [] => Ok(Self::default()),
            [FORMAT_CURRENT, packed @ ..] => unpack(packed),
            [FORMAT_V1, packed @ ..] => unpack::<ControlStateV1>(packed).map(Self::from),
            [form, ..] => Err(PayloadError::UnknownFormat(*form)),
        }
    }
}

fn unpack<T: DeserializeOwned>(packed: &[u8]) -> Result<T, PayloadError> {
    let unpacked = |e: lz4_flex::block::DecompressError| PayloadError::Decompression(e.to_string());
    let (length, packed) = lz4_flex::block::uncompressed_size(packed).map_err(unpacked)?;
    if length > MAX_STATE_BYTES {
        return Err(PayloadError::TooLong(length));
    }
    let plain = lz4_flex::block::decompress(packed, length).map_err(unpacked)?;
    postcard::from_bytes(&plain).map_err(PayloadError::Decoding)
}
