//! The format of an encoded state.
//!
//! A byte tells the format; the rest is encoded by `postcard`. Names are strictly rising, so that a state has one form only. The
//! events of all groups stand in the order of their puts: their revisions follow from their places.

use crate::counters::Counters;
use crate::keys::Keys;
use crate::locks::{Lock, Locks};
use crate::state::CoordinationState;
use fleet_model::KeyRevision;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The number of the current format.
pub const SNAPSHOT_FORMAT: u8 = 1;

/// Bytes that are not an encoded state.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// There are no bytes.
    #[error("the snapshot is empty")]
    Empty,
    /// The format is not one that this program knows.
    #[error("unknown snapshot format {0}")]
    UnknownFormat(u8),
    /// The bytes cannot be decoded.
    #[error("malformed snapshot: {0}")]
    Malformed(#[from] postcard::Error),
    /// Bytes follow the state.
    #[error("{0} surplus bytes after the snapshot")]
    SurplusBytes(usize),
    /// The parts do not fit together.
    #[error("inconsistent {0} in the snapshot")]
    Inconsistent(&'static str),
}

/// The encoded form; the order of the fields is that of the bytes.
#[derive(Serialize, Deserialize)]
struct EncodedState<'a> {
    last_grant: u64,
    #[serde(borrow)]
    locks: Vec<EncodedLock<'a>>,
    counters: Vec<(&'a str, u64)>,
    clock_ms: u64,
    groups: Vec<EncodedGroup<'a>>,
    events: Vec<EncodedEvent<'a>>,
}

#[derive(Serialize, Deserialize)]
struct EncodedLock<'a> {
    name: &'a str,
    holder: &'a str,
    fence: u64,
    hold_ms: u64,
    grant: u64,
}

#[derive(Serialize, Deserialize)]
struct EncodedGroup<'a> {
    name: &'a str,
    pruned_revision: u64,
    #[serde(borrow)]
    keys: Vec<EncodedKey<'a>>,
}

#[derive(Serialize, Deserialize)]
struct EncodedKey<'a> {
    key: &'a str,
    value: &'a str,
    revision: u64,
}

#[derive(Serialize, Deserialize)]
struct EncodedEvent<'a> {
    key: &'a str,
    value: &'a str,
    stored_at_ms: u64,
}

/// Encodes a state.
pub(crate) fn encode(locks: &Locks, counters: &Counters, keys: &Keys) -> Vec<u8> {
    let encoded = EncodedState {
        last_grant: locks.last_grant(),
        locks: locks.iter().map(encoded_lock).collect(),
        counters: counters.iter().collect(),
        clock_ms: keys.clock_ms(),
        groups: keys
            .groups()
            .map(|(name, summary)| EncodedGroup {
                name,
                pruned_revision: summary.revision.saturating_sub(summary.event_count as u64),
                keys: keys.keys_of(name).map(encoded_key).collect(),
            })
            .collect(),
        events: keys
            .queued_events()
            .map(|(stored_at_ms, event)| EncodedEvent { key: &event.key, value: &event.value, stored_at_ms })
            .collect(),
    };
    postcard::to_extend(&encoded, vec![SNAPSHOT_FORMAT])
        .expect("numbers, texts and sequences of known lengths are always encoded into a growing vector")
}

fn encoded_lock<'a>((name, lock): (&'a str, &'a Lock)) -> EncodedLock<'a> {
    EncodedLock { name, holder: &lock.holder, fence: lock.fence, hold_ms: lock.hold_ms, grant: lock.grant }
}

fn encoded_key<'a>((key, stored): (&'a str, &'a KeyRevision)) -> EncodedKey<'a> {
    EncodedKey { key, value: &stored.value, revision: stored.revision }
}

/// Decodes a state.
pub(crate) fn decode(bytes: &[u8]) -> Result<CoordinationState, SnapshotError> {
    let (format, bytes) = bytes.split_first().ok_or(SnapshotError::Empty)?;
    if *format != SNAPSHOT_FORMAT {
        return Err(SnapshotError::UnknownFormat(*format));
    }
    let (encoded, surplus) = postcard::take_from_bytes::<EncodedState>(bytes)?;
    if !surplus.is_empty() {
        return Err(SnapshotError::SurplusBytes(surplus.len()));
    }
    let locks = rising(encoded.locks.iter().map(|lock| (lock.name, decoded_lock(lock))))
        .and_then(|locks| Locks::restore(locks, encoded.last_grant))
        .ok_or(SnapshotError::Inconsistent("locks"))?;
    let counters = rising(encoded.counters.iter().copied()).ok_or(SnapshotError::Inconsistent("counters"))?;
    let keys = decoded_keys(&encoded).ok_or(SnapshotError::Inconsistent("keys"))?;
    Ok(CoordinationState::new(locks, Counters::restore(counters), keys))
}

fn decoded_lock(lock: &EncodedLock) -> Lock {
    Lock { holder: lock.holder.to_owned(), fence: lock.fence, hold_ms: lock.hold_ms, grant: lock.grant }
}

fn decoded_keys(encoded: &EncodedState) -> Option<Keys> {
    if !encoded.groups.is_sorted_by(|before, after| before.name < after.name) {
        return None;
    }
    let mut keys = Keys::at(encoded.clock_ms);
    for group in &encoded.groups {
        let stored = group.keys.iter().map(|key| (key.key, decoded_key(key)));
        keys.restore_group(group.name, group.pruned_revision, rising(stored)?)?;
    }
    for event in &encoded.events {
        keys.restore_event(event.key, event.value, event.stored_at_ms)?;
    }
    keys.is_consistent().then_some(keys)
}

fn decoded_key(key: &EncodedKey) -> KeyRevision {
    KeyRevision { value: key.value.to_owned(), revision: key.revision }
}

/// A map of entries whose names rise strictly; `None` if they do not.
fn rising<'a, Entry>(entries: impl Iterator<Item = (&'a str, Entry)>) -> Option<BTreeMap<String, Entry>> {
    let mut map: BTreeMap<String, Entry> = BTreeMap::new();
    for (name, entry) in entries {
        if map.last_key_value().is_some_and(|(last, _)| last.as_str() >= name) {
            return None;
        }
        map.insert(name.to_owned(), entry);
    }
    Some(map)
}
