//! The records of a disk: keyspaces, writes, and records found damaged.

use super::DiskError;
use bytes::Bytes;

/// Longest key; fjall itself takes up to 65,535 bytes.
const KEY_BYTES: usize = 16 << 10;

/// A keyspace to be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Space {
    /// Its name; `own` and `aside` are taken.
    pub name: &'static str,
    /// How much of it is gathered in memory before it goes to a file of its own.
    pub memtable_bytes: u64,
}

/// One record to be put or removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The keyspace.
    pub space: &'static str,
    /// The key, not empty.
    pub key: Vec<u8>,
    /// The value; `None` removes the record.
    pub value: Option<Bytes>,
}

impl Write {
    /// Put a record.
    pub fn put(space: &'static str, key: impl Into<Vec<u8>>, value: impl Into<Bytes>) -> Self {
        Self { space, key: key.into(), value: Some(value.into()) }
    }

    /// Remove a record.
    pub fn remove(space: &'static str, key: impl Into<Vec<u8>>) -> Self {
        Self { space, key: key.into(), value: None }
    }
}

/// A record that cannot be taken for truth.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    /// Its keyspace.
    pub space: &'static str,
    /// Its key.
    pub key: Vec<u8>,
    /// What is wrong.
    pub what: String,
}

pub(super) fn check_key(key: &[u8]) -> Result<(), DiskError> {
    if key.is_empty() || key.len() > KEY_BYTES { Err(DiskError::Key(key.len())) } else { Ok(()) }
}
