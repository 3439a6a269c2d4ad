//! The frame of a stored value: format version, checksum, value.

use super::{DamageReason, DiskError};

/// Version of the frame.
pub(super) const RECORD_VERSION: u8 = 1;
/// Version byte and checksum.
const FRAME_BYTES: usize = 5;

/// Why a framed value cannot be read.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// It is damaged.
    Damaged(DamageReason),
    /// It is intact, in a frame of a version that is not known here.
    Version(u8),
}

impl Fault {
    pub(super) fn into_error(self, keyspace: &'static str, key: &[u8]) -> DiskError {
        match self {
            Self::Damaged(reason) => DiskError::Damaged(reason),
            Self::Version(found) => {
                DiskError::RecordVersion { keyspace, key: String::from_utf8_lossy(key).into_owned(), found }
            }
        }
    }
}

/// CRC-32 over version, key and value, little-endian.
pub(super) fn checksum(version: u8, key: &[u8], value: &[u8]) -> [u8; 4] {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&[version]);
    hasher.update(key);
    hasher.update(value);
    hasher.finalize().to_le_bytes()
}

/// The frame of a value: version, checksum, value.
pub(super) fn frame(key: &[u8], value: &[u8]) -> Vec<u8> {
    let mut framed = Vec::with_capacity(FRAME_BYTES + value.len());
    framed.push(RECORD_VERSION);
    framed.extend(checksum(RECORD_VERSION, key, value));
    framed.extend(value);
    framed
}

/// The value in a frame. A frame counts as one of another version only if its checksum matches with that version.
pub(super) fn unframe<'a>(key: &[u8], framed: &'a [u8]) -> Result<&'a [u8], Fault> {
    let Some((head, value)) = framed.split_first_chunk::<FRAME_BYTES>() else {
        return Err(Fault::Damaged(DamageReason::CutShort));
    };
    match (head[0], head[1..] == checksum(head[0], key, value)) {
        (RECORD_VERSION, true) => Ok(value),
        (RECORD_VERSION, false) => Err(Fault::Damaged(DamageReason::Checksum)),
        (version, true) => Err(Fault::Version(version)),
        (version, false) => Err(Fault::Damaged(DamageReason::UnknownVersion(version))),
    }
}
