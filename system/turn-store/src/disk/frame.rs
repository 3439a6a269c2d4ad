//! The frame of a stored value: format version, checksum, value.

use super::DiskError;

pub(super) const RECORD_VERSION: u8 = 1;
const FRAME_BYTES: usize = 5;

/// Why the value of a record is not to be had.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Fault {
    Damage(String),
    Version(u8),
}

impl Fault {
    pub(super) fn of(self, space: &'static str, key: &[u8]) -> DiskError {
        match self {
            Self::Damage(what) => DiskError::Damaged(what),
            Self::Version(found) => {
                DiskError::RecordVersion { space, key: String::from_utf8_lossy(key).into_owned(), found }
            }
        }
    }
}

pub(super) fn checksum(version: u8, key: &[u8], value: &[u8]) -> [u8; 4] {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&[version]);
    hasher.update(key);
    hasher.update(value);
    hasher.finalize().to_le_bytes()
}

pub(super) fn frame(key: &[u8], value: &[u8]) -> Vec<u8> {
    let mut framed = Vec::with_capacity(FRAME_BYTES + value.len());
    framed.push(RECORD_VERSION);
    framed.extend(checksum(RECORD_VERSION, key, value));
    framed.extend(value);
    framed
}

/// A record of another version is one only if its checksum is that version's.
pub(super) fn unframe<'a>(key: &[u8], framed: &'a [u8]) -> Result<&'a [u8], Fault> {
    let Some((head, value)) = framed.split_first_chunk::<FRAME_BYTES>() else {
        return Err(Fault::Damage("cut short".into()));
    };
    match (head[0], head[1..] == checksum(head[0], key, value)) {
        (RECORD_VERSION, true) => Ok(value),
        (RECORD_VERSION, false) => Err(Fault::Damage("wrong checksum".into())),
        (version, true) => Err(Fault::Version(version)),
        (version, false) => Err(Fault::Damage(format!("version {version} of a record"))),
    }
}
