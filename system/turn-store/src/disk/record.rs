//! The records of a disk: keyspaces, writes, and records found damaged.

use super::DiskError;
use bytes::Bytes;

/// Longest key in bytes; fjall itself takes up to 65,535.
const MAX_KEY_BYTES: usize = 16 << 10;

/// A keyspace to be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyspaceConfig {
    /// Its name; `own` and `aside` are reserved.
    pub name: &'static str,
    /// Size of its memtable in bytes, from which on it is flushed to a table.
    pub memtable_bytes: u64,
}

/// A write of one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The keyspace.
    pub keyspace: &'static str,
    /// The key, not empty.
    pub key: Vec<u8>,
    /// The value; `None` removes the record.
    pub value: Option<Bytes>,
}

impl Write {
    /// A write that stores a record.
    pub fn put(keyspace: &'static str, key: impl Into<Vec<u8>>, value: impl Into<Bytes>) -> Self {
        Self { keyspace, key: key.into(), value: Some(value.into()) }
    }

    /// A write that removes a record.
    pub fn remove(keyspace: &'static str, key: impl Into<Vec<u8>>) -> Self {
        Self { keyspace, key: key.into(), value: None }
    }
}

/// A damaged record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DamagedRecord {
    /// Its keyspace.
    pub keyspace: &'static str,
    /// Its key.
    pub key: Vec<u8>,
    /// Why it is damaged.
    pub reason: DamageReason,
}

/// Why a record is damaged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DamageReason {
    /// It is shorter than its frame.
    #[error("cut short")]
    CutShort,
    /// Its checksum does not match.
    #[error("wrong checksum")]
    Checksum,
    /// Neither its version nor its checksum is one.
    #[error("version {0} of a record")]
    UnknownVersion(u8),
    /// The engine cannot read it.
    #[error("{0}")]
    Unreadable(String),
    /// Its frame is intact, and its content was refused.
    #[error("{0}")]
    Content(String),
}

pub(super) fn check_key(key: &[u8]) -> Result<(), DiskError> {
    if key.is_empty() || key.len() > MAX_KEY_BYTES { Err(DiskError::KeyLength(key.len())) } else { Ok(()) }
}
