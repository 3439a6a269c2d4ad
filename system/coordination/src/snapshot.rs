//! The snapshot format of the state.
//!
//! The first byte is the format version; the rest is encoded by `postcard`. Names are in strictly ascending order, so that each
//! state has exactly one encoding. The events of all groups are stored in one list, oldest first, and their revisions follow from
//! their positions.

use crate::counters::Counters;
use crate::keys::Keys;
use crate::locks::{Lock, Locks};
use crate::state::CoordinationState;
use fleet_model::KeyRevision;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Version of the snapshot format, which is the first byte of a snapshot.
pub const SNAPSHOT_FORMAT: u8 = 1;

/// Why bytes could not be decoded as a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The input has no bytes, not even the format version.
    #[error("the snapshot is empty")]
    Empty,
    /// This program does not support the format version.
    #[error("unknown snapshot format {0}")]
    UnknownFormat(u8),
    /// `postcard` cannot decode the bytes after the format version.
    #[error("malformed snapshot: {0}")]
    Malformed(#[from] postcard::Error),
    /// This many bytes follow the encoded state.
    #[error("{0} trailing bytes after the snapshot")]
    TrailingBytes(usize),
    /// The named section (locks, counters or keys) violates an invariant of the state.
    #[error("inconsistent {0} in the snapshot")]
    Inconsistent(&'static str),
}

/// The encoded state. The order of the fields is part of the format, here and in the types below.
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
                keys: keys.group_keys(name).map(encoded_key).collect(),
            })
            .collect(),
        events: keys
            .queued_events()
            .map(|(stored_at_ms, event)| EncodedEvent { key: &event.key, value: &event.value, stored_at_ms })
            .collect(),
    };
    postcard::to_extend(&encoded, vec![SNAPSHOT_FORMAT])
        .expect("encoding numbers, strings and sequences of known length into a vector cannot fail")
}

fn encoded_lock<'a>((name, lock): (&'a str, &'a Lock)) -> EncodedLock<'a> {
    EncodedLock { name, holder: &lock.holder, fence: lock.fence, hold_ms: lock.hold_ms, grant: lock.grant }
}

fn encoded_key<'a>((key, stored): (&'a str, &'a KeyRevision)) -> EncodedKey<'a> {
    EncodedKey { key, value: &stored.value, revision: stored.revision }
}

/// Decodes a snapshot and checks the invariants of the state.
pub(crate) fn decode(bytes: &[u8]) -> Result<CoordinationState, SnapshotError> {
    let (format, bytes) = bytes.split_first().ok_or(SnapshotError::Empty)?;
    if *format != SNAPSHOT_FORMAT {
        return Err(SnapshotError::UnknownFormat(*format));
    }
    let (encoded, trailing) = postcard::take_from_bytes::<EncodedState>(bytes)?;
    if !trailing.is_empty() {
        return Err(SnapshotError::TrailingBytes(trailing.len()));
    }
    let locks = collect_ascending(encoded.locks.iter().map(|lock| (lock.name, decoded_lock(lock))))
        .and_then(|locks| Locks::restore(locks, encoded.last_grant))
        .ok_or(SnapshotError::Inconsistent("locks"))?;
    let counters =
        collect_ascending(encoded.counters.iter().copied()).ok_or(SnapshotError::Inconsistent("counters"))?;
    let keys = decoded_keys(&encoded).ok_or(SnapshotError::Inconsistent("keys"))?;
    Ok(CoordinationState::new(locks, Counters::restore(counters), keys))
}

fn decoded_lock(lock: &EncodedLock) -> Lock {
    Lock { holder: lock.holder.to_owned(), fence: lock.fence, hold_ms: lock.hold_ms, grant: lock.grant }
}

fn decoded_keys(encoded: &EncodedState) -> Option<Keys> {
    if !encoded.groups.is_sorted_by(|left, right| left.name < right.name) {
        return None;
    }
    let mut keys = Keys::with_clock(encoded.clock_ms);
    for group in &encoded.groups {
        let stored = group.keys.iter().map(|key| (key.key, decoded_key(key)));
        keys.restore_group(group.name, group.pruned_revision, collect_ascending(stored)?)?;
    }
    for event in &encoded.events {
        keys.restore_event(event.key, event.value, event.stored_at_ms)?;
    }
    keys.is_consistent().then_some(keys)
}

fn decoded_key(key: &EncodedKey) -> KeyRevision {
    KeyRevision { value: key.value.to_owned(), revision: key.revision }
}

/// Collects entries into a map; `None` if the names are not in strictly ascending order.
fn collect_ascending<'a, Entry>(
    entries: impl Iterator<Item = (&'a str, Entry)>,
) -> Option<BTreeMap<String, Entry>> {
    let mut map: BTreeMap<String, Entry> = BTreeMap::new();
    for (name, entry) in entries {
        if map.last_key_value().is_some_and(|(last, _)| last.as_str() >= name) {
            return None;
        }
        map.insert(name.to_owned(), entry);
    }
    Some(map)
}
