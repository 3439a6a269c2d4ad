//! The records of a store: which keyspaces there are, and how keys and values look.

use crate::disk::{Damage, Disk, DiskError, Space, Write};
use crate::state::{Bodies, Body};
use bytes::Bytes;
use fleet_model::{Reservation, Turn};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
mod tests;

/// Turns by `Attempt-Id`, written once.
pub const TURNS: &str = "turns";
/// Disks that hold a turn, by `Attempt-Id`, where they are no longer those of the turn's own record.
pub const HOLDERS: &str = "holders";
/// Tokens by program and try.
pub const ACCOUNTS: &str = "accounts";
/// What the store knows of itself.
pub const STATE: &str = "state";
/// The keyspaces of a store.
pub const SPACES: &[Space] = &[
    Space { name: TURNS, memtable_bytes: 2 << 20 },
    Space { name: HOLDERS, memtable_bytes: 256 << 10 },
    Space { name: ACCOUNTS, memtable_bytes: 1 << 20 },
    Space { name: STATE, memtable_bytes: 64 << 10 },
];

const FILL_KEY: &[u8] = b"fill";

/// What a store knows of its own completeness.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FillRecord {
    /// Epochs of filling, with the disks of the set that was filled for.
    pub filled: Vec<(u64, BTreeSet<u64>)>,
    /// A record was lost, and the store has not filled since.
    pub damaged: bool,
}

impl FillRecord {
    pub(crate) fn write(&self) -> Write {
        Write::put(STATE, FILL_KEY.to_vec(), encode(self))
    }
}

/// A turn without its text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptTurn {
    /// Its `Attempt-Id`.
    pub attempt: String,
    /// The turn it continues from.
    pub previous: Option<String>,
    /// How long it is held, in milliseconds.
    pub retention_ms: u64,
    /// Bytes of input and output.
    pub length: u32,
    /// Disks that hold it.
    pub holders: Vec<u64>,
}

impl KeptTurn {
    pub(crate) fn of(turn: &Turn) -> Self {
        Self {
            attempt: turn.attempt.clone(),
            previous: turn.previous.clone(),
            retention_ms: turn.retention_ms,
            length: u32::try_from(turn.input.len() + turn.output.len()).unwrap_or(u32::MAX),
            holders: turn.replicas.clone(),
        }
    }
}

/// What was found on the disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Kept {
    /// Turns.
    pub turns: Vec<KeptTurn>,
    /// Reservations with their programs.
    pub accounts: Vec<(String, Reservation)>,
    /// The store's completeness.
    pub fill: FillRecord,
}

/// Read what a disk holds. Damaged records are set aside and told; a store that lost one has to fill again, and that is
/// kept before they go.
pub fn load(disk: &Disk) -> Result<(Kept, Vec<Damage>), DiskError> {
    let mut kept = Kept::default();
    let mut damages = Vec::new();
    let mut turns = BTreeMap::new();
    damages.extend(disk.scan(TURNS, |key, value| {
        let turn: Turn = decode(value)?;
        if turn.attempt.as_bytes() != key {
            return Err("another turn's record".into());
        }
        turns.insert(turn.attempt.clone(), KeptTurn::of(&turn));
        Ok(())
    })?);
    let mut orphans = Vec::new();
    damages.extend(disk.scan(HOLDERS, |key, value| {
        let holders: Vec<u64> = decode(value)?;
        match std::str::from_utf8(key).ok().and_then(|attempt| turns.get_mut(attempt)) {
            Some(turn) => turn.holders = holders,
            None => orphans.push(Write::remove(HOLDERS, key.to_vec())),
        }
        Ok(())
    })?);
    damages.extend(disk.scan(ACCOUNTS, |key, value| {
        kept.accounts.push(account_entry(key, value)?);
        Ok(())
    })?);
    damages.extend(disk.scan(STATE, |key, value| {
        if key == FILL_KEY {
            kept.fill = decode(value)?;
        }
        Ok(())
    })?);
    kept.turns = turns.into_values().collect();
    if !damages.is_empty() {
        kept.fill = FillRecord { filled: Vec::new(), damaged: true };
        orphans.push(kept.fill.write());
        disk.set_aside(&damages, &orphans)?;
    } else if !orphans.is_empty() {
        disk.write(&orphans)?;
    }
    Ok((kept, damages))
}

impl Bodies for Disk {
    fn get(&self, attempt: &str) -> Body {
        match self.get(TURNS, attempt.as_bytes()) {
            Ok(None) => Body::Pending,
            Ok(Some(value)) => match decode::<Turn>(&value) {
                Ok(turn) => Body::Held(turn),
                Err(_) => Body::Lost,
            },
            Err(error) => {
                log::error!("turn {attempt} cannot be read: {error}");
                Body::Lost
            }
        }
    }
}

pub(crate) fn turn_write(turn: &Turn) -> Write {
    Write::put(TURNS, turn.attempt.as_bytes().to_vec(), encode(turn))
}

pub(crate) fn holders_write(attempt: &str, holders: &[u64]) -> Write {
    Write::put(HOLDERS, attempt.as_bytes().to_vec(), encode(holders))
}

pub(crate) fn turn_removal(attempt: &str) -> [Write; 2] {
    let key = attempt.as_bytes();
    [Write::remove(TURNS, key.to_vec()), Write::remove(HOLDERS, key.to_vec())]
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
