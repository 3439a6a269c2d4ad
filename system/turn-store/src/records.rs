//! The records of a store: which keyspaces there are, and how keys and values look.

use crate::disk::{Damage, Disk, DiskError, Space, Write};
use crate::payload::{Payload, Payloads};
use bytes::Bytes;
use fleet_model::{Reservation, Turn};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
mod tests;

/// Turns by `Attempt-Id`, written once.
pub const TURNS: &str = "turns";
/// Disks that hold a turn, by `Attempt-Id`, where they are no longer those of the turn's own record.
pub const REPLICAS: &str = "holders";
/// Tokens by program and try.
pub const ACCOUNTS: &str = "accounts";
/// What the store knows of itself.
pub const STATE: &str = "state";
/// The keyspaces of a store.
pub const SPACES: &[Space] = &[
    Space { name: TURNS, memtable_bytes: 2 << 20 },
    Space { name: REPLICAS, memtable_bytes: 256 << 10 },
    Space { name: ACCOUNTS, memtable_bytes: 1 << 20 },
    Space { name: STATE, memtable_bytes: 64 << 10 },
];

const BACKFILL_KEY: &[u8] = b"fill";

/// What a store knows of its own completeness.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackfillRecord {
    /// Epochs of filling, with the disks of the set that was filled for.
    pub in_sync: Vec<(u64, BTreeSet<u64>)>,
    /// A record was lost, and the store has not filled since.
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
    /// How long it is held, in milliseconds.
    pub retention_ms: u64,
    /// Bytes of input and output.
    pub length: u32,
    /// Disks that hold it.
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

/// What was found on the disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stored {
    /// Turns.
    pub turns: Vec<StoredTurn>,
    /// Reservations with their programs.
    pub accounts: Vec<(String, Reservation)>,
    /// The store's completeness.
    pub backfill: BackfillRecord,
}

/// Read what a disk holds. Damaged records are set aside and told; a store that lost one has to fill again, and that is
/// kept before they go.
pub fn load(disk: &Disk) -> Result<(Stored, Vec<Damage>), DiskError> {
    let mut kept = Stored::default();
    let mut damages = Vec::new();
    let mut turns = BTreeMap::new();
    damages.extend(disk.scan(TURNS, |key, value| {
        let turn: Turn = decode(value)?;
        if turn.attempt.as_bytes() != key {
            return Err("another turn's record".into());
        }
        turns.insert(turn.attempt.clone(), StoredTurn::from(&turn));
        Ok(())
    })?);
    let mut orphans = Vec::new();
    damages.extend(disk.scan(REPLICAS, |key, value| {
        let replicas: Vec<u64> = decode(value)?;
        match std::str::from_utf8(key).ok().and_then(|attempt| turns.get_mut(attempt)) {
            Some(turn) => turn.replicas = replicas,
            None => orphans.push(Write::remove(REPLICAS, key.to_vec())),
        }
        Ok(())
    })?);
    damages.extend(disk.scan(ACCOUNTS, |key, value| {
        kept.accounts.push(account_entry(key, value)?);
        Ok(())
    })?);
    damages.extend(disk.scan(STATE, |key, value| {
        if key == BACKFILL_KEY {
            kept.backfill = decode(value)?;
        }
        Ok(())
    })?);
    kept.turns = turns.into_values().collect();
    if !damages.is_empty() {
        kept.backfill = BackfillRecord { in_sync: Vec::new(), damaged: true };
        orphans.push(kept.backfill.write());
        disk.set_aside(&damages, &orphans)?;
    } else if !orphans.is_empty() {
        disk.write(&orphans)?;
    }
    Ok((kept, damages))
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

pub(crate) fn account_removal(program: &str, attempt: u64) -> Write {
    Write::remove(ACCOUNTS, account_key(program, attempt))
}

fn account_entry(key: &[u8], value: &[u8]) -> Result<(String, Reservation), String> {
    let (program, attempt) = key.split_last_chunk::<8>().ok_or("a key too short")?;
    let program = std::str::from_utf8(program).map_err(|error| error.to_string())?;
    let tokens = value.try_into().map_err(|_| "a count of another length")?;
    let reservation =
        Reservation { attempt: u64::from_be_bytes(*attempt), tokens: u32::from_be_bytes(tokens) };
    Ok((program.to_owned(), reservation))
}

/// Postcard's form; plain types in memory do not fail to encode.
pub(crate) fn encode<T: Serialize + ?Sized>(value: &T) -> Bytes {
    postcard::to_allocvec(value).map(Bytes::from).unwrap_or_default()
}

pub(crate) fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, String> {
    postcard::from_bytes(bytes).map_err(|error| error.to_string())
}
