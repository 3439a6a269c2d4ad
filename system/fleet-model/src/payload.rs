//! The encoding of a [`ControlState`] on disk and on the wire: a format byte, the uncompressed length, and postcard bytes
//! compressed with LZ4.

use crate::Roster;
use crate::control_state::{CommittedVersion, ControlState, Lease};
use bytes::Bytes;
use serde::Deserialize;
use std::collections::BTreeMap;

/// Why a payload could not be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PayloadError {
    /// The format byte is none that this program supports.
    #[error("unknown payload format {0}")]
    UnknownFormat(u8),
    /// The uncompressed length in bytes exceeds the limit for a control state.
    #[error("uncompressed payload of {0} bytes exceeds the size limit")]
    TooLong(usize),
    /// LZ4 decompression failed.
    #[error("cannot decompress payload: {0}")]
    Decompression(String),
    /// The postcard encoding is invalid.
    #[error("cannot decode control state: {0}")]
    Decoding(postcard::Error),
}

/// Maximum uncompressed size in bytes of a control state; operators' configurations are far smaller.
const MAX_STATE_BYTES: usize = 32 << 20;

/// The current format: a [`ControlState`] encoded by postcard, compressed with LZ4, after its length. Configurations are
/// repetitive, and a payload is sent to every voter twice and to every sender once.
const FORMAT_CURRENT: u8 = 2;

/// The first format, compressed in the same way, without pruned and rejected versions. It is read but no longer written.
const FORMAT_V1: u8 = 1;

/// Number of committed versions that the first format retained; it did not record that it pruned older ones.
const V1_MAX_COMMITTED: usize = 512;

/// The control state in the first format.
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
    /// Encodes the state as the register stores it.
    ///
    /// # Errors
    ///
    /// [`PayloadError::Decoding`] if postcard cannot serialize the state.
    pub fn to_payload(&self) -> Result<Bytes, PayloadError> {
        let turnover = &self.roster.turnover;
        let plain = match turnover.is_empty() {
            true => postcard::to_allocvec(self),
            // Programs that do not know the turnover ignore what follows the state.
            false => postcard::to_allocvec(&(self, turnover)),
        };
        let plain = plain.map_err(PayloadError::Decoding)?;
        let mut payload = vec![FORMAT_CURRENT];
        payload.extend(lz4_flex::block::compress_prepend_size(&plain));
        Ok(payload.into())
    }

    /// Decodes what the register stores; an empty payload is the state before the first change.
    ///
    /// # Errors
    ///
    /// The variant of [`PayloadError`] tells which layer of the encoding is invalid.
    pub fn from_payload(payload: &[u8]) -> Result<Self, PayloadError> {
        match payload {
            [] => Ok(Self::default()),
            [FORMAT_CURRENT, compressed @ ..] => {
                let plain = decompress(compressed)?;
                let (mut state, rest) =
                    postcard::take_from_bytes::<Self>(&plain).map_err(PayloadError::Decoding)?;
                if !rest.is_empty() {
                    state.roster.turnover = postcard::from_bytes(rest).map_err(PayloadError::Decoding)?;
                }
                Ok(state)
            }
            [FORMAT_V1, compressed @ ..] => {
                let state = postcard::from_bytes::<ControlStateV1>(&decompress(compressed)?);
                state.map(Self::from).map_err(PayloadError::Decoding)
            }
            [format, ..] => Err(PayloadError::UnknownFormat(*format)),
        }
    }
}

fn decompress(compressed: &[u8]) -> Result<Vec<u8>, PayloadError> {
    let failed = |error: lz4_flex::block::DecompressError| PayloadError::Decompression(error.to_string());
    let (length, block) = lz4_flex::block::uncompressed_size(compressed).map_err(failed)?;
    if length > MAX_STATE_BYTES {
        return Err(PayloadError::TooLong(length));
    }
    lz4_flex::block::decompress(block, length).map_err(failed)
}
