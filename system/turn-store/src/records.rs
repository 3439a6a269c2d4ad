//! The records of a storage node: the keyspaces, and the encoding of keys and values.

use crate::disk::{DamagedRecord, Disk, DiskError, KeyspaceConfig, Write};
use crate::payload::{Payload, Payloads};
use bytes::Bytes;
use fleet_model::{Reservation, Turn};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
mod tests;

/// Turns by `Attempt-Id`, written once.
pub const TURNS: &str = "turns";
/// Disks that store a turn, by `Attempt-Id`, where they differ from those in the turn's own record.
pub const REPLICAS: &str = "holders";
/// Tokens by program and attempt.
pub const ACCOUNTS: &str = "accounts";
/// State of the replica itself.
pub const STATE: &str = "state";
/// The keyspaces of a storage node.
pub const KEYSPACES: &[KeyspaceConfig] = &[
    KeyspaceConfig { name: TURNS, memtable_bytes: 2 << 20 },
    KeyspaceConfig { name: REPLICAS, memtable_bytes: 256 << 10 },
    KeyspaceConfig { name: ACCOUNTS, memtable_bytes: 1 << 20 },
    KeyspaceConfig { name: STATE, memtable_bytes: 64 << 10 },
];

const BACKFILL_KEY: &[u8] = b"fill";
const ACCOUNT_RETENTION_KEY: &[u8] = b"account-retention";

/// For which sets of storage nodes a replica is in sync.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackfillRecord {
    /// Epochs at which it was in sync, with the disks of the set that it was in sync for.
    pub in_sync: Vec<(u64, BTreeSet<u64>)>,
    /// Whether a record was lost since the last backfill.
    pub damaged: bool,
}

impl BackfillRecord {
    pub(crate) fn write(&self) -> Write {
        Write::put(STATE, BACKFILL_KEY.to_vec(), encode(self))
    }
}

/// A turn without its text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredTurn {
    /// Its `Attempt-Id`.
    pub attempt: String,
    /// The turn it continues from.
    pub previous: Option<String>,
    /// Its retention, in milliseconds.
    pub retention_ms: u64,
    /// Bytes of input and output.
    pub length: u32,
    /// Disks that store it.
    pub replicas: Vec<u64>,
}

impl From<&Turn> for StoredTurn {
    fn from(turn: &Turn) -> Self {
        Self {
            attempt: turn.attempt.clone(),
            previous: turn.previous.clone(),
            retention_ms: turn.retention_ms,
            length: u32::try_from(turn.input.len() + turn.output.len()).unwrap_or(u32::MAX),
            replicas: turn.replicas.clone(),
        }
    }
}

/// The records of a disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stored {
    /// Turns.
    pub turns: Vec<StoredTurn>,
    /// Reservations with their programs.
    pub accounts: Vec<(String, Reservation)>,
    /// The longest retention that one of the accounts relies on, in milliseconds; 0 if none is stored.
    pub account_retention_ms: u64,
    /// For which sets it is in sync.
    pub backfill: BackfillRecord,
}

impl Stored {
    /// Takes a record of the keyspace [`STATE`]; those of later releases are ignored.
    ///
    /// # Errors
    ///
    /// The value of a known record cannot be decoded.
    pub fn read_state(&mut self, key: &[u8], value: &[u8]) -> Result<(), postcard::Error> {
        match key {
            BACKFILL_KEY => self.backfill = decode(value)?,
            ACCOUNT_RETENTION_KEY => self.account_retention_ms = decode(value)?,
            _ => {}
        }
        Ok(())
    }
}

/// Why the content of a record is not valid.
#[derive(Debug, thiserror::Error)]
enum InvalidRecord {
    #[error(transparent)]
    Encoding(#[from] postcard::Error),
    #[error("another turn's record")]
    OtherTurn,
    #[error("a key too short")]
    KeyTooShort,
    #[error(transparent)]
    ProgramName(#[from] std::str::Utf8Error),
    #[error("a count of another length")]
    CountLength,
}

/// Reads the records of a disk. Damaged records are quarantined and returned. A replica that lost one needs another
/// backfill, which is recorded in the same batch.
///
/// # Errors
///
/// A keyspace cannot be read, or the damaged records cannot be quarantined.
pub fn load(disk: &Disk) -> Result<(Stored, Vec<DamagedRecord>), DiskError> {
    let mut stored = Stored::default();
    let mut damaged = Vec::new();
    let mut turns = BTreeMap::new();
    damaged.extend(disk.scan(TURNS, |key, value| {
        let turn: Turn = decode(value)?;
        if turn.attempt.as_bytes() != key {
            return Err(InvalidRecord::OtherTurn);
        }
        turns.insert(turn.attempt.clone(), StoredTurn::from(&turn));
        Ok::<_, InvalidRecord>(())
    })?);
    let mut orphans = Vec::new();
    damaged.extend(disk.scan(REPLICAS, |key, value| {
        let replicas: Vec<u64> = decode(value)?;
        match std::str::from_utf8(key).ok().and_then(|attempt| turns.get_mut(attempt)) {
            Some(turn) => turn.replicas = replicas,
            None => orphans.push(Write::remove(REPLICAS, key.to_vec())),
        }
        Ok::<_, InvalidRecord>(())
    })?);
    damaged.extend(disk.scan(ACCOUNTS, |key, value| {
        stored.accounts.push(account_entry(key, value)?);
        Ok::<_, InvalidRecord>(())
    })?);
    damaged.extend(disk.scan(STATE, |key, value| {
        stored.read_state(key, value)?;
        Ok::<_, InvalidRecord>(())
    })?);
    stored.turns = turns.into_values().collect();
    if !damaged.is_empty() {
        stored.backfill = BackfillRecord { in_sync: Vec::new(), damaged: true };
        orphans.push(stored.backfill.write());
        disk.quarantine(&damaged, &orphans)?;
    } else if !orphans.is_empty() {
        disk.write(&orphans)?;
    }
    Ok((stored, damaged))
}

impl Payloads for Disk {
    fn get(&self, attempt: &str) -> Payload {
        match self.get(TURNS, attempt.as_bytes()) {
            Ok(None) => Payload::Pending,
            Ok(Some(value)) => match decode::<Turn>(&value) {
                Ok(turn) => Payload::Present(turn),
                Err(_) => Payload::Lost,
            },
            Err(error) => {
                log::error!("turn {attempt} cannot be read: {error}");
                Payload::Lost
            }
        }
    }
}

pub(crate) fn turn_write(turn: &Turn) -> Write {
    Write::put(TURNS, turn.attempt.as_bytes().to_vec(), encode(turn))
}

pub(crate) fn replicas_write(attempt: &str, replicas: &[u64]) -> Write {
    Write::put(REPLICAS, attempt.as_bytes().to_vec(), encode(replicas))
}

pub(crate) fn turn_removal(attempt: &str) -> [Write; 2] {
    let key = attempt.as_bytes();
    [Write::remove(TURNS, key.to_vec()), Write::remove(REPLICAS, key.to_vec())]
}

fn account_key(program: &str, attempt: u64) -> Vec<u8> {
    [program.as_bytes(), &attempt.to_be_bytes()].concat()
}

pub(crate) fn account_write(program: &str, attempt: u64, tokens: u32) -> Write {
    Write::put(ACCOUNTS, account_key(program, attempt), Bytes::copy_from_slice(&tokens.to_be_bytes()))
}

/// The longest retention that a stored account relies on, in milliseconds.
pub(crate) fn account_retention_write(retention_ms: u64) -> Write {
    Write::put(STATE, ACCOUNT_RETENTION_KEY.to_vec(), encode(&retention_ms))
}

pub(crate) fn account_removal(program: &str, attempt: u64) -> Write {
    Write::remove(ACCOUNTS, account_key(program, attempt))
}

fn account_entry(key: &[u8], value: &[u8]) -> Result<(String, Reservation), InvalidRecord> {
    let (program, attempt) = key.split_last_chunk::<8>().ok_or(InvalidRecord::KeyTooShort)?;
    let program = std::str::from_utf8(program)?;
    let tokens = value.try_into().map_err(|_| InvalidRecord::CountLength)?;
    let reservation =
        Reservation { attempt: u64::from_be_bytes(*attempt), tokens: u32::from_be_bytes(tokens) };
    Ok((program.to_owned(), reservation))
}

/// The postcard encoding, which does not fail for plain types in memory.
pub(crate) fn encode<T: Serialize + ?Sized>(value: &T) -> Bytes {
    postcard::to_allocvec(value).map(Bytes::from).unwrap_or_default()
}

pub(crate) fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, postcard::Error> {
    postcard::from_bytes(bytes)
}
